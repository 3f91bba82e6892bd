// Package congestion keeps the calls of an owner to its VMs within what its link and its
// processor carry.
//
// It answers a load that grows with the VMs and with the tasks that start: all of these
// calls go through one entry. Once a link is full, calls wait in its queue until they time
// out, are sent again, and fill the link further, while healthy VMs count as silent. The
// delay of the calls that are answered shows this early, and so does a majority of calls
// without an answer. A [Controller] then lets holds become rarer, fewer start orders be in
// flight, and calls take longer before they count as lost. Single VMs that don't answer
// change nothing, nor does a part of the fleet that is cut off.
//
// A controller does no I/O and reads no clock. It is not safe for concurrent use.
//
// # Usage
//
//	c := congestion.New()
//	c.Observe(answeredAt.Sub(sentAt), answeredAt)
//	pause := c.Interval(50 * time.Millisecond)
//	ctx, cancel := context.WithTimeout(ctx, c.Timeout(500*time.Millisecond))
package congestion

import "time"

// The parameters of the control.
const (
	// highDelay is the mean delay above which the load is reduced, and severeDelay the one
	// above which it is reduced at twice the rate. Below lowDelay the window grows faster. On
	// an idle link calls take a few milliseconds.
	lowDelay    = 60 * time.Millisecond
	highDelay   = 120 * time.Millisecond
	severeDelay = 300 * time.Millisecond
	// adjustInterval is the time between two adjustments. It is longer than a call takes
	// on a link with little delay, so that the effect of one is seen before the next.
	adjustInterval = 100 * time.Millisecond
	// minLost is how many calls without an answer in one adjustInterval count, if they are
	// the majority.
	minLost = 4
	// delayGain is the weight of one more observation in the mean.
	delayGain = 1.0 / 16
	// staleAfter is the time without an observation after which the mean counts for
	// nothing.
	staleAfter = 2 * time.Second

	// maxStretch bounds how much longer than usual the interval between two holds becomes,
	// and maxInterval the interval itself: leases must be renewed and reports stay fresh.
	maxStretch  = 16.0
	maxInterval = time.Second
	// raiseStretch and lowerStretch are the factors of one adjustment.
	raiseStretch = 1.2
	lowerStretch = 0.95

	// minWindow and maxWindow bound the start orders in flight, if the entry makes all calls
	// itself. The calls of one plan are sent in one burst, behind which all else waits for the processor, commits among it: with
	// 64, at about 150 microseconds each, for 10 ms.
	minWindow = 8
	maxWindow = 64
	// shrinkWindow is the factor of one reduction, and growWindow what is added otherwise.
	// Below lowDelay the window grows by the factor reopenWindow instead if that is more:
	// after a short congestion a large fleet must not wait for many seconds.
	shrinkWindow = 0.8
	growWindow   = 4
	reopenWindow = 1.25

	// timeoutDelays is how many mean delays a call may take before it counts as lost, and
	// maxTimeout bounds that time.
	timeoutDelays = 4
	maxTimeout    = 1500 * time.Millisecond
)

// Controller adapts the load to the observed delay of calls.
type Controller struct {
	// delay is the mean delay, weighted towards the last observations.
	delay      time.Duration
	observedAt time.Time
	adjustedAt time.Time
	// answered and lost count the calls since the last adjustment.
	answered, lost int
	// stretch is the factor of the interval between two holds of a VM.
	stretch float64
	// window is the greatest number of start orders in flight, and maxWindow its bound.
	window, maxWindow float64
}

// New returns a controller that does not limit anything yet.
func New() *Controller {
	return &Controller{stretch: 1, window: maxWindow, maxWindow: maxWindow}
}

// SetCost sets what a call costs this entry, as a fraction of what one costs that it makes
// itself. The window may become the larger the less a call costs.
func (c *Controller) SetCost(fraction float64) {
	unlimited := c.window == c.maxWindow
	c.maxWindow = maxWindow / fraction
	if unlimited {
		c.window = c.maxWindow
	}
	c.window = min(c.window, c.maxWindow)
}

// Observe records that a call was answered, and how long after it was sent, without the
// time for which the VM was asked to wait.
func (c *Controller) Observe(delay time.Duration, now time.Time) {
	if now.Sub(c.observedAt) > staleAfter {
		c.delay = delay
	}
	c.observedAt = now
	c.answered++
	c.delay += time.Duration(delayGain * float64(delay-c.delay))
	c.adjust(now)
}

// ObserveLost records that a call got no answer within timeout.
func (c *Controller) ObserveLost(timeout time.Duration, now time.Time) {
	c.lost++
	if c.lost > c.answered && c.lost >= minLost {
		// The answers that came in time no longer tell how late the others are.
		c.delay = max(c.delay, timeout)
		c.observedAt = now
	}
	c.adjust(now)
}

// adjust adapts the load to the mean delay, once in adjustInterval.
func (c *Controller) adjust(now time.Time) {
	if now.Sub(c.adjustedAt) < adjustInterval {
		return
	}
	c.adjustedAt = now
	c.answered, c.lost = 0, 0
	if c.delay <= highDelay {
		c.stretch = max(c.stretch*lowerStretch, 1)
		grown := c.window + growWindow
		if c.delay <= lowDelay {
			grown = max(grown, c.window*reopenWindow)
		}
		c.window = min(grown, c.maxWindow)
		return
	}
	c.reduce()
	if c.delay > severeDelay {
		c.reduce()
	}
}

func (c *Controller) reduce() {
	c.stretch = min(c.stretch*raiseStretch, maxStretch)
	c.window = max(c.window*shrinkWindow, minWindow)
}

// Delay returns the mean delay of calls.
func (c *Controller) Delay() time.Duration { return c.delay }

// Congested reports whether calls take so long that the load is reduced.
func (c *Controller) Congested() bool { return c.delay > highDelay }

// Interval returns the least time between two holds of a VM, where base is the one on an
// idle link.
func (c *Controller) Interval(base time.Duration) time.Duration {
	return max(base, min(time.Duration(c.stretch*float64(base)), maxInterval))
}

// Timeout returns how long a call may take, where base is the time on an idle link.
func (c *Controller) Timeout(base time.Duration) time.Duration {
	return max(base, min(timeoutDelays*c.delay, maxTimeout))
}

// Window returns how many start orders may be in flight.
func (c *Controller) Window() int { return int(c.window) }
