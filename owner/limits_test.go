package owner_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"almondcove/job"
	"almondcove/owner"
	"almondcove/schedule"
	"almondcove/standin"
	"almondcove/store"
)

// limitedPlay plays an owner over a store with small limits, among entries, jobs and states of random
// sizes, and checks that ordinary requests are served all the while.
type limitedPlay struct {
	*fixture
	g      *gomega.WithT
	rand   *rand.Rand
	limits store.Limits
	serial int
}

// text returns a text of random length up to most, with signs that need escapes or not.
func (p *limitedPlay) text(most int) string {
	sign := []string{"x", "<", "&", "\x02", "\u2028", `"`, "é"}[p.rand.IntN(7)]
	return strings.Repeat(sign, p.rand.IntN(max(most/len(sign), 1)))
}

// odd returns an entry of another writer in the list of VMs.
func (p *limitedPlay) odd() schedule.VM {
	p.serial++
	v := schedule.VM{
		ID: fmt.Sprint("odd-", p.serial), Pool: "p", Address: p.listed[0].Address, Capacity: p.listed[0].Capacity, Draining: p.rand.IntN(3) == 0,
	}
	most := p.limits.ValueBytes
	switch p.rand.IntN(4) {
	case 0:
		v.Labels = slices.Repeat([]string{p.text(30)}, p.rand.IntN(most/8))
	case 1:
		v.Centre = p.text(most)
	case 2:
		v.Pool = p.text(most)
	case 3:
		v.ID += p.text(150)
	}
	return v
}

// disturb lists other entries, submits a job of random size, or does both.
func (p *limitedPlay) disturb() {
	list := slices.Clone(p.listed)
	for range p.rand.IntN(12) {
		list = append(list, p.odd())
	}
	p.SetVMs(list)
	p.serial++
	j := plainJob(fmt.Sprint("size-", p.serial), 1+p.rand.IntN(40), time.Duration(p.rand.IntN(300))*time.Millisecond)
	j.Steps[0].Image = p.text(2 * p.limits.ValueBytes)
	if p.rand.IntN(3) == 0 {
		j.Steps[0].Image, j.ScheduledOccurrences, j.FirstDue, j.Interval = "", 1+p.rand.IntN(200), time.Now(), time.Duration(1+p.rand.IntN(100))*time.Millisecond
	}
	for _, id := range []string{"vm-0", "vm-1"} {
		p.vms.worker(id).SetRunsFail(p.rand.IntN(4) == 0)
	}
	answers := make(chan owner.Answer, 1)
	go func() { answers <- p.submit(j) }()
	p.checkOrdinary()
	p.g.Expect(<-answers).NotTo(gomega.HaveField("Outcome", owner.Unsettled), "job of %d bytes", j.TextBytes())
}

// checkOrdinary submits two ordinary jobs, cancels the first and waits for the end of the second.
func (p *limitedPlay) checkOrdinary() {
	p.serial++
	cancelled, completed := job.ID(fmt.Sprint("cancelled-", p.serial)), job.ID(fmt.Sprint("completed-", p.serial))
	for _, id := range []job.ID{cancelled, completed} {
		j := plainJob(string(id), 1, 300*time.Millisecond)
		j.Queue = "urgent"
		p.g.Expect(p.submit(j).Outcome).To(gomega.Equal(owner.Done), "%s", id)
	}
	p.g.Expect(p.cancel(cancelled).Outcome).To(gomega.Equal(owner.Done), "%s", cancelled)
	for range 60 {
		if p.phase(completed).Final() {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	p.g.Expect(p.phase(completed)).To(gomega.Or(gomega.Equal(job.Completed), gomega.Equal(job.Failed)), "%s", completed)
}

// TestRecordsWithinLimits guards against records that the store never takes and that hold up others:
// whatever other writers list and callers submit, no transaction exceeds a limit of the store, jobs
// of ordinary size are accepted, their cancels are acknowledged and their ends recorded.
func TestRecordsWithinLimits(t *testing.T) {
	for seed := range uint64(10) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := rand.New(rand.NewPCG(seed, 67))
				limits := store.Limits{KeyBytes: 200, ValueBytes: 8<<10 + r.IntN(24<<10)}
				k := standin.NewKeyValue()
				k.SetLimits(limits)
				f := newFixture(t, k, k, limits, 6)
				f.SetView(schedule.View{Queues: map[string]schedule.Queue{
					"q": {Name: "q", Pool: "p", Attempts: 3, Priority: 1}, "urgent": {Name: "urgent", Pool: "p", Attempts: 50},
				}})
				p := &limitedPlay{fixture: f, g: gomega.NewWithT(t), rand: r, limits: limits}
				for epoch := range int64(3) {
					for range 6 {
						p.disturb()
					}
					if r.IntN(2) == 0 {
						f.HandOver(t.Context())
					}
					f.Deposed(epoch + 1)
					elect(t, f.Owner, k, epoch+2)
					f.SetVMs(f.listed)
					time.Sleep(7 * time.Second)
				}
				p.checkOrdinary()
				p.g.Expect(k.Invalid()).To(gomega.BeZero())
				p.g.Expect(f.Deferred()).To(gomega.BeZero())
				synctest.Wait()
			})
		})
	}
}
