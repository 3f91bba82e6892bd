package congestion_test

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"almondcove/congestion"
)

// The load of the simulated link: holds of vms VMs and starts per second, with the bytes
// of each.
const (
	vms           = 130
	startsWanted  = 300
	holdBytes     = 900
	startBytes    = 2000
	baseInterval  = 100 * time.Millisecond
	baseTimeout   = 500 * time.Millisecond
	linkBytes     = 250_000
	step          = 10 * time.Millisecond
	simulatedTime = 30 * time.Second
)

// simulateLink plays the load on a link of linkBytes a second, whose queue delays all
// calls. It returns the starts per second whose answers came in time, and the longest
// time for which calls took too long without a break, both after a warm-up of five
// seconds.
func simulateLink(c *congestion.Controller) (startsPerSecond float64, longestOutage time.Duration) {
	now := time.Unix(1_700_000_000, 0)
	begin := now
	queue, inFlight, started := 0.0, 0.0, 0.0
	var outage time.Duration
	for now.Sub(begin) < simulatedTime {
		delay := time.Duration(queue / linkBytes * float64(time.Second))
		interval, timeout, window := baseInterval, baseTimeout, 1e9
		if c != nil {
			interval, timeout, window = c.Interval(baseInterval), c.Timeout(baseTimeout), float64(c.Window())
		}
		// Whatever times out is sent again, so the load does not depend on the answers.
		holds := vms * step.Seconds() / max(interval, delay).Seconds()
		starts := min(startsWanted*step.Seconds(), max(window-inFlight, 0))
		inFlight += starts
		queue = max(queue+holds*holdBytes+starts*startBytes-linkBytes*step.Seconds(), 0)
		answered := inFlight * min(step.Seconds()/max(delay, step).Seconds(), 1)
		inFlight -= answered
		inTime := delay < timeout
		if c != nil && inTime {
			c.Observe(delay+2*time.Millisecond, now)
		} else if c != nil {
			c.ObserveLost(timeout, now)
		}
		if now.Sub(begin) > 5*time.Second {
			if inTime {
				started += answered
				outage = 0
			} else {
				outage += step
			}
			longestOutage = max(longestOutage, outage)
		}
		now = now.Add(step)
	}
	return started / (simulatedTime - 5*time.Second).Seconds(), longestOutage
}

// TestFullLink plays more load than a link carries. Without control, calls time out for
// good. With it, the link stays usable, and more than half of it carries start orders.
func TestFullLink(t *testing.T) {
	g := gomega.NewWithT(t)
	without, outage := simulateLink(nil)
	t.Logf("without control: %.0f starts a second, calls time out for %v", without, outage)
	g.Expect(outage).To(gomega.BeNumerically(">", 20*time.Second))
	with, outage := simulateLink(congestion.New())
	t.Logf("with control: %.0f starts a second, calls time out for %v", with, outage)
	g.Expect(outage).To(gomega.BeZero())
	g.Expect(with * startBytes).To(gomega.BeNumerically(">", linkBytes/2))
}

// TestRecovery checks that nothing stays limited after the congestion has ended.
func TestRecovery(t *testing.T) {
	g := gomega.NewWithT(t)
	c := congestion.New()
	now := time.Unix(1_700_000_000, 0)
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		c.Observe(600*time.Millisecond, now)
	}
	g.Expect(c.Interval(baseInterval)).To(gomega.BeNumerically(">", baseInterval))
	g.Expect(c.Timeout(baseTimeout)).To(gomega.BeNumerically(">", baseTimeout))
	g.Expect(c.Window()).To(gomega.BeNumerically("<", congestion.New().Window()))
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		c.Observe(3*time.Millisecond, now)
	}
	g.Expect(c.Interval(baseInterval)).To(gomega.Equal(baseInterval))
	g.Expect(c.Timeout(baseTimeout)).To(gomega.Equal(baseTimeout))
	g.Expect(c.Window()).To(gomega.Equal(congestion.New().Window()))
}

// TestStartsLeaveTimeForCommits guards against bursts of start orders behind which commits, and so new jobs, wait.
func TestStartsLeaveTimeForCommits(t *testing.T) {
	g := gomega.NewWithT(t)
	const (
		// startTime is the processor time of an order, from sending it to its answer.
		startTime = 150 * time.Microsecond
		// passes is how often a commit waits behind the burst: to be sent, for its answer,
		// and to be applied.
		passes = 3
		// maxCommitTime leaves about 30 commits a second.
		maxCommitTime = 30 * time.Millisecond
	)
	burst := time.Duration(congestion.New().Window()) * startTime
	g.Expect(passes * burst).To(gomega.BeNumerically("<=", maxCommitTime))
}

// TestWindowReopens guards against a fleet that stands idle for many seconds after a short
// congestion, because few start orders may be in flight.
func TestWindowReopens(t *testing.T) {
	g := gomega.NewWithT(t)
	c := congestion.New()
	now := time.Unix(1_700_000_000, 0)
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		c.Observe(600*time.Millisecond, now)
	}
	g.Expect(c.Window()).To(gomega.Equal(8))
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		c.Observe(5*time.Millisecond, now)
	}
	// Within five seconds, as many as without congestion.
	g.Expect(c.Window()).To(gomega.Equal(congestion.New().Window()))
}

// TestBounds checks that holds stay frequent enough to renew leases, and that some starts
// are always possible.
func TestBounds(t *testing.T) {
	g := gomega.NewWithT(t)
	c := congestion.New()
	now := time.Unix(1_700_000_000, 0)
	for range 1000 {
		now = now.Add(100 * time.Millisecond)
		c.Observe(10*time.Second, now)
	}
	g.Expect(c.Interval(baseInterval)).To(gomega.Equal(time.Second))
	g.Expect(c.Interval(2 * time.Second)).To(gomega.Equal(2 * time.Second))
	g.Expect(c.Timeout(baseTimeout)).To(gomega.Equal(1500 * time.Millisecond))
	g.Expect(c.Window()).To(gomega.Equal(8))
}

// TestSuddenDelay guards against a load that is never reduced because no call is answered
// in time any more, so that no delay is observed.
func TestSuddenDelay(t *testing.T) {
	g := gomega.NewWithT(t)
	c := congestion.New()
	now := time.Unix(1_700_000_000, 0)
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		c.Observe(3*time.Millisecond, now)
	}
	for range 300 {
		now = now.Add(10 * time.Millisecond)
		c.ObserveLost(c.Timeout(baseTimeout), now)
	}
	g.Expect(c.Interval(baseInterval)).To(gomega.Equal(time.Second))
	g.Expect(c.Timeout(baseTimeout)).To(gomega.Equal(1500 * time.Millisecond))
	g.Expect(c.Window()).To(gomega.Equal(8))
}

// TestPartCutOff checks that a third of the VMs, cut off with their data centre, does not
// slow down the calls to the others.
func TestPartCutOff(t *testing.T) {
	g := gomega.NewWithT(t)
	c := congestion.New()
	now := time.Unix(1_700_000_000, 0)
	for i := range 3000 {
		now = now.Add(time.Millisecond)
		if i%3 == 0 {
			c.ObserveLost(c.Timeout(baseTimeout), now)
		} else {
			c.Observe(3*time.Millisecond, now)
		}
	}
	g.Expect(c.Congested()).To(gomega.BeFalse())
	g.Expect(c.Interval(baseInterval)).To(gomega.Equal(baseInterval))
	g.Expect(c.Timeout(baseTimeout)).To(gomega.Equal(baseTimeout))
}

// TestCheaperCalls checks that more start orders may be in flight while each costs less, that
// congestion still reduces them, and that nothing of this lasts once each costs as much again.
func TestCheaperCalls(t *testing.T) {
	g := gomega.NewWithT(t)
	c := congestion.New()
	c.SetCost(0.2)
	g.Expect(c.Window()).To(gomega.Equal(5 * congestion.New().Window()))
	now := time.Unix(1_700_000_000, 0)
	for range 100 {
		now = now.Add(50 * time.Millisecond)
		c.Observe(600*time.Millisecond, now)
	}
	g.Expect(c.Window()).To(gomega.Equal(8))
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		c.Observe(3*time.Millisecond, now)
	}
	g.Expect(c.Window()).To(gomega.Equal(5 * congestion.New().Window()))
	c.SetCost(1)
	g.Expect(c.Window()).To(gomega.Equal(congestion.New().Window()))
}
