package job_test

import (
	"encoding/json"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/onsi/gomega"

	"almondcove/job"
)

// TestCheckTimes guards against jobs whose times can't be recorded. A commit that
// contains such a job fails as a whole, with the jobs of other callers.
func TestCheckTimes(t *testing.T) {
	for _, c := range []struct {
		name     string
		times    int
		first    time.Time
		interval time.Duration
		field    string
	}{
		{"once", 0, time.Time{}, 0, ""},
		{"daily", 365, time.Unix(1_800_000_000, 0), 24 * time.Hour, ""},
		{"no interval", 2, time.Unix(1_800_000_000, 0), 0, "every"},
		{"longest span", 2, time.Unix(1_800_000_000, 0), job.MaxSpan / 2, ""},
		{"span too long", 10000, time.Unix(1_800_000_000, 0), job.MaxSpan / 2, "every"},
		{"last year", 1, time.Date(job.MaxYear, 12, 31, 0, 0, 0, 0, time.UTC), 0, ""},
		{"far future", 1, time.UnixMilli(900_000_000_000_000), 0, "first"},
		{"far past", 1, time.UnixMilli(-900_000_000_000_000), 0, "first"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			j := &job.Job{
				ID: "1", Steps: []job.Step{{Count: 1}}, ScheduledOccurrences: c.times, FirstDue: c.first, Interval: c.interval,
			}
			err := j.Check()
			if c.field != "" {
				invalid, _ := errors.Into[*job.Invalid](err)
				g.Expect(invalid).NotTo(gomega.BeNil())
				g.Expect(invalid.Field).To(gomega.Equal(c.field))
				return
			}
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = json.Marshal(j)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = json.Marshal(j.Due(j.Occurrences() - 1))
			g.Expect(err).NotTo(gomega.HaveOccurred())
		})
	}
}

// TestStoredCrashes guards against crashes of VMs that the next owner doesn't know of.
func TestStoredCrashes(t *testing.T) {
	g := gomega.NewWithT(t)
	j := &job.Job{ID: "1", Steps: []job.Step{{Count: 2}}}
	s := job.NewState(j)
	known := job.Task{Job: "1", Index: 1}
	s.SetCrashes(known, job.Crashes{Count: 2, Suspect: true})
	s.SetCrashes(job.Task{Job: "1", Index: 7}, job.Crashes{Count: 1})
	data, err := json.Marshal(s)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	loaded := job.NewState(j)
	g.Expect(loaded.Load(data)).To(gomega.Succeed())
	g.Expect(loaded.Crashes(known)).To(gomega.Equal(job.Crashes{Count: 2, Suspect: true}))
	g.Expect(loaded.Crashes(job.Task{Job: "1"})).To(gomega.Equal(job.Crashes{}))
	loaded.SetCrashes(known, job.Crashes{})
	g.Expect(loaded.Crashes(known)).To(gomega.Equal(job.Crashes{}))
}

// TestMaxEncodedBytes guards against jobs that are accepted by a bound that their record exceeds.
func TestMaxEncodedBytes(t *testing.T) {
	g := gomega.NewWithT(t)
	text := strings.Repeat("<\x01\u2028\xff\"", 100)
	full := job.Step{
		Count: math.MinInt, Need: job.Resources{CPU: math.MinInt64, Memory: math.MinInt64, GPU: math.MinInt64}, Estimate: math.MinInt64,
		After: []int{math.MinInt, math.MinInt}, Gang: true, SingleRack: true, Label: text, PreferredRack: text, MaxPerVM: math.MinInt, Speculative: true,
		Service: true, WritesCheckpoints: true, Image: text, LatencyTarget: math.MinInt64, Filler: true, MaxUnavailable: math.MinInt, Budgeted: true,
	}
	for _, j := range []job.Job{
		{},
		{Steps: make([]job.Step, 1000)},
		{
			ID: "0123456789abcdef", Queue: text, Team: text, Spec: text, Steps: slices.Repeat([]job.Step{full}, 10), ScheduledOccurrences: math.MinInt,
			FirstDue: time.Date(job.MaxYear, 12, 31, 23, 59, 59, 123456789, time.FixedZone("", -3600)), Interval: math.MinInt64,
			Accepted: time.Date(job.MaxYear, 12, 31, 23, 59, 59, 123456789, time.FixedZone("", -3600)), Epoch: math.MinInt64,
		},
	} {
		data, err := json.Marshal(j)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(len(data)).To(gomega.BeNumerically("<=", j.MaxEncodedBytes()))
	}
}
