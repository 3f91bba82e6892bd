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

// newTable returns a table with VMs a and b in its own data centre and VM c in
// another one, each with two slots. One VM may be quarantined.
func newTable() *route.Table {
	t := route.New(route.Config{Centre: "near", Seed: 1})
	t.SetBudget("p", 1)
	for name, centre := range map[string]string{"a": "near", "b": "near", "c": "far"} {
		t.Set(route.VM{Name: name, Centre: centre, Pool: "p", Slots: 2, Serves: true})
	}
	return t
}

// countChoices chooses a VM n times and returns how often it chose each one. Every
// task ends at once: with the given result on the VM bad, and with success on the
// others.
func countChoices(t *route.Table, n int, result route.Result, bad string) map[string]int {
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
		t := newTable()
		change(t)
		gomega.Expect(countChoices(t, 200, route.Succeeded, "")).NotTo(gomega.HaveKey("a"))
	},
	ginkgo.Entry("that doesn't serve", func(t *route.Table) { t.Set(route.VM{Name: "a", Centre: "near", Pool: "p", Slots: 2}) }),
	ginkgo.Entry("of another pool", func(t *route.Table) {
		t.Set(route.VM{Name: "a", Centre: "near", Pool: "q", Slots: 2, Serves: true})
	}),
	ginkgo.Entry("without slots", func(t *route.Table) { t.Set(route.VM{Name: "a", Centre: "near", Pool: "p", Serves: true}) }),
	ginkgo.Entry("that is suspect", func(t *route.Table) { t.Suspect("a") }),
	ginkgo.Entry("that was removed", func(t *route.Table) { t.Remove("a") }),
	ginkgo.Entry("that is delisted while others are free", func(t *route.Table) {
		t.Set(route.VM{Name: "a", Centre: "near", Pool: "p", Slots: 2, Serves: true, Delisted: true})
	}),
)

var _ = ginkgo.Describe("a table", func() {
	ginkgo.It("prefers its own data centre and uses others when that is full", func() {
		t := newTable()
		gomega.Expect(countChoices(t, 200, route.Succeeded, "")).NotTo(gomega.HaveKey("c"))
		var names []string
		for range 6 {
			name, ok := t.Choose("p", nil, start)
			gomega.Expect(ok).To(gomega.BeTrue())
			names = append(names, name)
		}
		gomega.Expect(names[4:]).To(gomega.Equal([]string{"c", "c"}))
		_, ok := t.Choose("p", nil, start)
		gomega.Expect(ok).To(gomega.BeFalse())
		gomega.Expect(t.HasCandidate("p")).To(gomega.BeFalse())
	})

	ginkgo.It("quarantines a VM that fails every task, and ends the quarantine after a successful probe", func() {
		t := newTable()
		counts := countChoices(t, 2000, route.Failed, "a")
		gomega.Expect(counts["a"]).To(gomega.BeNumerically("<", 50))
		gomega.Expect(t.Quarantined("a")).To(gomega.BeTrue())
		now := start.Add(time.Hour)
		for range 100 {
			name, _ := t.Choose("p", nil, now)
			t.Finish(name, route.Report{Load: -1}, now)
		}
		gomega.Expect(t.Quarantined("a")).To(gomega.BeFalse())
	})

	ginkgo.It("quarantines no more VMs than the budget allows", func() {
		t := newTable()
		now := start
		for range 500 {
			now = now.Add(10 * time.Millisecond)
			name, ok := t.Choose("p", nil, now)
			if !ok {
				continue
			}
			result := route.Failed
			if name == "c" {
				result = route.Succeeded
			}
			t.Finish(name, route.Report{Result: result, Load: -1}, now)
		}
		quarantined := 0
		for _, name := range t.Names() {
			if t.Quarantined(name) {
				quarantined++
			}
		}
		gomega.Expect(quarantined).To(gomega.BeNumerically("<=", 1))
	})

	ginkgo.It("avoids VMs on which the task failed", func() {
		t := newTable()
		for range 50 {
			name, ok := t.Choose("p", []string{"a", "c"}, start)
			gomega.Expect(ok).To(gomega.BeTrue())
			gomega.Expect(name).To(gomega.Equal("b"))
			t.Finish(name, route.Report{Load: -1}, start)
		}
	})

	ginkgo.It("counts the slots of VMs that serve", func() {
		t := newTable()
		gomega.Expect([]int{t.Slots("p"), t.LocalSlots("p")}).To(gomega.Equal([]int{6, 4}))
		t.Set(route.VM{Name: "a", Centre: "near", Pool: "p", Slots: 2})
		t.Remove("c")
		gomega.Expect([]int{t.Slots("p"), t.LocalSlots("p")}).To(gomega.Equal([]int{2, 2}))
	})
})

func ExampleTable() {
	t := route.New(route.Config{Centre: "east", Seed: 1})
	t.Set(route.VM{Name: "vm-1", Centre: "east", Pool: "till", Slots: 8, Serves: true})
	now := time.Unix(0, 0)
	name, ok := t.Choose("till", nil, now)
	fmt.Println(name, ok, t.OwnTasks(name))
	t.Finish(name, route.Report{Result: route.Succeeded, Load: 0}, now)
	fmt.Println(t.OwnTasks(name))
	// Output:
	// vm-1 true 1
	// 0
}
