package carrier

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"almondcove/schedule"
)

const (
	// replyMargin is the part of a call's time that is left for its way to the carrier and
	// for the way of the reply.
	replyMargin = 50 * time.Millisecond
	// maxDetours bounds the VMs for which a way other than the first is kept.
	maxDetours = 4096
)

// DialFunc opens a stream to the carrier at an address. The stream ends with ctx.
type DialFunc func(ctx context.Context, to netip.AddrPort) (Stream, error)

// Config configures a client.
type Config struct {
	// Direct makes the calls that no carrier makes.
	Direct VMs
	Dial   DialFunc
	Log    hclog.Logger
}

// Client makes the calls of an owner to its VMs, through carriers where there are any. Its
// methods may be called from any goroutine.
type Client struct {
	config Config
	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu sync.Mutex
	// links holds the links to all carriers.
	links map[Entry]*carrierLink
	// byCentre holds the links that are up, by data centre.
	byCentre map[string][]*link
	// detours holds, by VM, how many of its ways have failed. The next call takes the next
	// way. It is forgotten when a link goes up or down.
	detours map[string]int
}

// carrierLink is a link with the function that ends it.
type carrierLink struct {
	*link
	stop context.CancelFunc
}

var _ VMs = (*Client)(nil)

// New returns a client without carriers, which calls all VMs directly.
func New(c Config) *Client {
	ctx, cancel := context.WithCancel(context.Background())
	return &Client{
		config: c, ctx: ctx, cancel: cancel,
		links: make(map[Entry]*carrierLink), byCentre: make(map[string][]*link), detours: make(map[string]int),
	}
}

// Close closes the links to all carriers. Later calls are made directly.
func (c *Client) Close() {
	c.SetEntries(nil)
	c.cancel()
	c.done.Wait()
}

// SetEntries sets the entries that carry the calls. It keeps the links to those that did
// before, and closes those to all others.
func (c *Client) SetEntries(entries []Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for e, l := range c.links {
		if !slices.Contains(entries, e) {
			c.config.Log.Info("carrier removed", "entry", e.Name, "run", e.Run, "centre", e.Centre)
			l.stop()
			delete(c.links, e)
		}
	}
	for _, e := range entries {
		if c.links[e] != nil || c.ctx.Err() != nil {
			continue
		}
		c.config.Log.Info("carrier added", "entry", e.Name, "run", e.Run, "centre", e.Centre, "power", e.Power)
		ctx, stop := context.WithCancel(c.ctx)
		l := &link{
			entry: e, dial: c.config.Dial, log: c.config.Log, changed: c.updateLinks,
			queued: make(chan struct{}, 1), calls: make(map[uint64]*pendingCall),
		}
		c.links[e] = &carrierLink{l, stop}
		c.done.Go(func() { l.run(ctx) })
	}
	c.updateLinksLocked()
}

// updateLinks finds out anew which links are up.
func (c *Client) updateLinks() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateLinksLocked()
}

func (c *Client) updateLinksLocked() {
	clear(c.byCentre)
	clear(c.detours)
	for e, l := range c.links {
		if l.isUp() {
			c.byCentre[e.Centre] = append(c.byCentre[e.Centre], l.link)
		}
	}
}

// Links returns the number of carriers in use.
func (c *Client) Links() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, links := range c.byCentre {
		n += len(links)
	}
	return n
}

// Carrier returns the name of the entry that carries the calls to a VM; empty means that the
// VM is called directly.
func (c *Client) Carrier(vm schedule.VM) string {
	if l := c.way(vm); l != nil {
		return l.entry.Name
	}
	return ""
}

// way returns the link for the next call to a VM; nil means a direct call. The ways of a VM
// are the carriers of its data centre in the order of their scores, and a direct call at last.
func (c *Client) way(vm schedule.VM) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	links := c.byCentre[vm.Centre]
	if len(links) == 0 {
		return nil
	}
	skip := c.detours[vm.ID] % (len(links) + 1)
	if skip == len(links) {
		return nil
	}
	if skip == 0 {
		return slices.MaxFunc(links, func(a, b *link) int { return compareScores(a, b, vm.ID) })
	}
	sorted := slices.SortedFunc(slices.Values(links), func(a, b *link) int { return compareScores(b, a, vm.ID) })
	return sorted[skip]
}

// compareScores compares the scores of two links for a VM.
func compareScores(a, b *link, vm string) int {
	x, y := score(a.entry, vm), score(b.entry, vm)
	switch {
	case x < y:
		return -1
	case x > y:
		return 1
	}
	return 0
}

// observe notes the result of a call to a VM. After a call that did not reach the VM or got
// no answer, the next call takes another way. It reports whether this is the first such call
// since the ways have changed.
func (c *Client) observe(vm schedule.VM, r schedule.Result) (first bool) {
	if r != schedule.Unsent && r != schedule.Unanswered {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.byCentre[vm.Centre]) == 0 {
		return false
	}
	if len(c.detours) >= maxDetours {
		clear(c.detours)
	}
	c.detours[vm.ID]++
	return c.detours[vm.ID] == 1
}

// Hold implements [VMs].
func (c *Client) Hold(ctx context.Context, vm schedule.VM, h schedule.Hold) (schedule.Report, schedule.Result) {
	return c.send(ctx, vm, Hold{h})
}

// Start implements [VMs].
func (c *Client) Start(ctx context.Context, vm schedule.VM, o schedule.Start) schedule.Result {
	_, result := c.send(ctx, vm, Start{o})
	return result
}

// Stop implements [VMs].
func (c *Client) Stop(ctx context.Context, vm schedule.VM, o schedule.Stop) schedule.Result {
	_, result := c.send(ctx, vm, Stop{o})
	return result
}

// Pace implements [VMs].
func (c *Client) Pace(ctx context.Context, vm schedule.VM, o schedule.Pace) schedule.Result {
	_, result := c.send(ctx, vm, Pace{o})
	return result
}

// send makes a call. What a carrier certainly didn't get is sent directly. So is a hold whose
// reply is lost, because a VM may get a hold twice; the VM then answers it at once. Any other
// call whose reply is lost counts as unanswered, since the VM may have carried it out.
func (c *Client) send(ctx context.Context, vm schedule.VM, o Order) (schedule.Report, schedule.Result) {
	l := c.way(vm)
	if l == nil {
		report, result := execute(ctx, c.config.Direct, vm, o)
		c.observe(vm, result)
		return report, result
	}
	out := l.call(ctx, Call{VM: vm.ID, Address: vm.Address, Timeout: remaining(ctx), Order: o})
	hold, isHold := o.(Hold)
	switch {
	case out.state == answered:
		first := c.observe(vm, out.reply.Result)
		if !first || !isHold || out.reply.Result != schedule.Unsent {
			return out.reply.Report, out.reply.Result
		}
		// A carrier that can't reach a VM doesn't show that nothing listens there.
	case ctx.Err() != nil, out.state == lost && !isHold:
		c.observe(vm, schedule.Unanswered)
		return schedule.Report{}, schedule.Unanswered
	}
	if isHold {
		hold.Wait = 0
		o = hold
	}
	return execute(ctx, c.config.Direct, vm, o)
}

// remaining returns how long a carrier may wait for a VM's answer.
func remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return maxTimeout
	}
	return max(time.Until(deadline)-replyMargin, replyMargin)
}
