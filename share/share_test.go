package share_test

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"almondcove/share"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		// CI runs the same cases every time; a longer manual run sets its own seed.
		_ = flag.Set("rapid.seed", "20261204")
		_ = flag.Set("rapid.checks", "1000")
	}
	os.Exit(m.Run())
}

var weights = map[string]int{"a": 3, "b": 2, "c": 1}

func queue() *share.Queue {
	return share.New(share.Config{Share: func(team string) int { return weights[team] }})
}

func always(string, int) bool { return true }

// TestOrder guards against starts that are not in proportion to the shares while
// all teams have tasks waiting.
func TestOrder(t *testing.T) {
	g := gomega.NewWithT(t)
	q := queue()
	push := func(team string, rank int) {
		q.Push(&share.Item{Team: team, Rank: rank, Cost: 0.1})
	}
	for range 1000 {
		for team := range weights {
			push(team, 1)
		}
	}
	got := make(map[string]int)
	for range 600 {
		got[q.Next(share.NumRanks, always).Team]++
	}
	for team, w := range weights {
		g.Expect(got[team]).To(gomega.BeNumerically("~", 100*w, 1))
	}
}

// TestClasses guards against classes that are served out of order, and against
// deferrable tasks that starve, while tasks of all classes wait.
func TestClasses(t *testing.T) {
	g := gomega.NewWithT(t)
	q := queue()
	for range 1000 {
		for rank := range share.NumRanks {
			q.Push(&share.Item{Team: "a", Rank: rank, Cost: 0.1})
		}
	}
	got := make([]int, share.NumRanks)
	for range 400 {
		got[q.Next(share.NumRanks, always).Rank]++
	}
	g.Expect(got).To(gomega.Equal([]int{380, 0, 20}))
	for range 100 {
		// A preset that holds back deferrable tasks serves only the first two classes.
		g.Expect(q.Next(share.NumRanks-1, always).Rank).To(gomega.BeNumerically("<", 2))
	}
}

// TestIdleTeamSavesNothing guards against a team that gains credit while idle and
// takes more than its share when its tasks arrive.
func TestIdleTeamSavesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	q := queue()
	for range 2000 {
		q.Push(&share.Item{Team: "a", Cost: 0.1})
	}
	for range 1000 {
		q.Next(share.NumRanks, always)
	}
	for range 1000 {
		q.Push(&share.Item{Team: "b", Cost: 0.1})
	}
	got := make(map[string]int)
	for range 500 {
		got[q.Next(share.NumRanks, always).Team]++
	}
	g.Expect(got["a"]).To(gomega.BeNumerically("~", 300, 2))
}

// TestNothingIsLostOrDoubled guards against items that are lost, returned twice or
// not served, after pushes, removals, parking and waking in random order.
func TestNothingIsLostOrDoubled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue()
		waiting := make(map[*share.Item]bool)
		var order []*share.Item
		blocked := make(map[string]bool)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			team := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "team")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0, 1:
				it := &share.Item{Team: team, Rank: rapid.IntRange(0, 2).Draw(t, "rank"), Cost: 0.1}
				q.Push(it)
				waiting[it] = true
				order = append(order, it)
			case 2:
				if len(order) > 0 {
					it := order[rapid.IntRange(0, len(order)-1).Draw(t, "item")]
					if q.Remove(it) != waiting[it] {
						t.Fatal("Remove misreports whether the item was waiting")
					}
					delete(waiting, it)
				}
			case 3:
				blocked[team] = !blocked[team]
				q.Wake(team)
			case 4:
				it := q.Next(share.NumRanks, func(team string, _ int) bool { return !blocked[team] })
				if it == nil {
					for w := range waiting {
						if !blocked[w.Team] {
							t.Fatalf("Next returned no item although team %s waits and is ready", w.Team)
						}
					}
					continue
				}
				if !waiting[it] || blocked[it.Team] {
					t.Fatal("Next returned an item that was not waiting or whose team is not ready")
				}
				delete(waiting, it)
			}
			if q.Len() != len(waiting) {
				t.Fatalf("%d items wait, Len returns %d", len(waiting), q.Len())
			}
		}
	})
}

// TestFill guards against allocations that are negative, exceed a claim's demand or
// leave slots unused while a claim wants more.
func TestFill(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(0, 100).Draw(t, "slots")
		claims := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) share.Claim {
			return share.Claim{
				Team: "t", Rank: rapid.IntRange(0, 2).Draw(t, "rank"),
				Weight: rapid.IntRange(0, 9).Draw(t, "weight"), Want: rapid.IntRange(0, 50).Draw(t, "want"),
			}
		}), 0, 12).Draw(t, "claims")
		used, want := 0.0, 0
		for i, part := range share.Fill(float64(slots), claims) {
			if part < 0 || part > float64(claims[i].Want)+1e-9 {
				t.Fatalf("claim %d for %d slots gets %f", i, claims[i].Want, part)
			}
			used += part
			want += claims[i].Want
		}
		if expected := math.Min(float64(slots), float64(want)); math.Abs(used-expected) > 1e-6 {
			t.Fatalf("%f slots are allocated, want %f", used, expected)
		}
	})
}

func ExampleFill() {
	parts := share.Fill(12, []share.Claim{
		{Team: "large", Rank: 1, Weight: 3, Want: 100},
		{Team: "small", Rank: 1, Weight: 1, Want: 100},
		{Team: "modest", Rank: 1, Weight: 2, Want: 1},
	})
	fmt.Printf("%.2f\n", parts)
	// Output: [8.25 2.75 1.00]
}
