package route_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"almondcove/route"
)

func TestRoute(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "route")
}

var start = time.Unix(1_000_000, 0)

// table returns a table with VMs a and b near and c far, two slots each.
func table() *route.Table {
	t := route.New(route.Config{Centre: "near", Seed: 1})
	t.SetBudget("p", 1)
	for name, centre := range map[string]string{"a": "near", "b": "near", "c": "far"} {
		t.Set(route.VM{Name: name, Centre: centre, Pool: "p", Slots: 2, Serves: true})
	}
	return t
}

// chosen returns how often each VM is chosen when every task ends at once.
func chosen(t *route.Table, n int, result route.Result, bad string) map[string]int {
	out := make(map[string]int)
	now := start
	for range n {
		now = now.Add(10 * time.Millisecond)
		name, ok := t.Choose("p", nil, now)
		gomega.Expect(ok).To(gomega.BeTrue())
		out[name]++
		r := route.Report{Load: -1}
		if name == bad {
			r.Result = result
		}
		t.Finish(name, r, now)
	}
	return out
}

var _ = ginkgo.DescribeTable("a VM takes no task",
	func(change func(*route.Table)) {
		t := table()
		change(t)
		gomega.Expect(chosen(t, 200, route.Good, "")).NotTo(gomega.HaveKey("a"))
	},
	ginkgo.Entry("that doesn't serve", func(t *route.Table) { t.Set(route.VM{Name: "a", Centre: "near", Pool: "p", Slots: 2}) }),
	ginkgo.Entry("of another pool", func(t *route.Table) {
		t.Set(route.VM{Name: "a", Centre: "near", Pool: "q", Slots: 2, Serves: true})
	}),
	ginkgo.Entry("without slots", func(t *route.Table) { t.Set(route.VM{Name: "a", Centre: "near", Pool: "p", Serves: true}) }),
	ginkgo.Entry("that is suspect", func(t *route.Table) { t.Suspect("a") }),
	ginkgo.Entry("that was removed", func(t *route.Table) { t.Remove("a") }),
	ginkgo.Entry("that is unseen while others are free", func(t *route.Table) {
		t.Set(route.VM{Name: "a", Centre: "near", Pool: "p", Slots: 2, Serves: true, Unseen: true})
	}),
)

var _ = ginkgo.Describe("a table", func() {
	ginkgo.It("prefers its own data centre and spills over when that is full", func() {
		t := table()
		gomega.Expect(chosen(t, 200, route.Good, "")).NotTo(gomega.HaveKey("c"))
		var names []string
		for range 6 {
			name, ok := t.Choose("p", nil, start)
			gomega.Expect(ok).To(gomega.BeTrue())
			names = append(names, name)
		}
		gomega.Expect(names[4:]).To(gomega.Equal([]string{"c", "c"}))
		_, ok := t.Choose("p", nil, start)
		gomega.Expect(ok).To(gomega.BeFalse())
		gomega.Expect(t.Ready("p")).To(gomega.BeFalse())
	})

	ginkgo.It("sets a VM aside that fails everything, and takes it back after a good probe", func() {
		t := table()
		counts := chosen(t, 2000, route.Bad, "a")
		gomega.Expect(counts["a"]).To(gomega.BeNumerically("<", 50))
		gomega.Expect(t.Aside("a")).To(gomega.BeTrue())
		now := start.Add(time.Hour)
		for range 100 {
			name, _ := t.Choose("p", nil, now)
			t.Finish(name, route.Report{Load: -1}, now)
		}
		gomega.Expect(t.Aside("a")).To(gomega.BeFalse())
	})

	ginkgo.It("sets no more VMs aside than the budget", func() {
		t := table()
		now := start
		for range 500 {
			now = now.Add(10 * time.Millisecond)
			name, ok := t.Choose("p", nil, now)
			if !ok {
				continue
			}
			result := route.Bad
			if name == "c" {
				result = route.Good
			}
			t.Finish(name, route.Report{Result: result, Load: -1}, now)
		}
		aside := 0
		for _, name := range t.Names() {
			if t.Aside(name) {
				aside++
			}
		}
		gomega.Expect(aside).To(gomega.BeNumerically("<=", 1))
	})

	ginkgo.It("goes round VMs that a task failed on", func() {
		t := table()
		for range 50 {
			name, ok := t.Choose("p", []string{"a", "c"}, start)
			gomega.Expect(ok).To(gomega.BeTrue())
			gomega.Expect(name).To(gomega.Equal("b"))
			t.Finish(name, route.Report{Load: -1}, start)
		}
	})

	ginkgo.It("counts the slots of VMs that serve", func() {
		t := table()
		gomega.Expect([]int{t.Slots("p"), t.Near("p")}).To(gomega.Equal([]int{6, 4}))
		t.Set(route.VM{Name: "a", Centre: "near", Pool: "p", Slots: 2})
		t.Remove("c")
		gomega.Expect([]int{t.Slots("p"), t.Near("p")}).To(gomega.Equal([]int{2, 2}))
	})
})

func ExampleTable() {
	t := route.New(route.Config{Centre: "east", Seed: 1})
	t.Set(route.VM{Name: "vm-1", Centre: "east", Pool: "till", Slots: 8, Serves: true})
	now := time.Unix(0, 0)
	name, ok := t.Choose("till", nil, now)
	fmt.Println(name, ok, t.Own(name))
	t.Finish(name, route.Report{Result: route.Good, Load: 0}, now)
	fmt.Println(t.Own(name))
	// Output:
	// vm-1 true 1
	// 0
}
