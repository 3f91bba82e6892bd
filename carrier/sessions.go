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

// Config configures sessions.
type Config struct {
	// Direct makes the calls that no carrier makes.
	Direct VMs
	Dial   DialFunc
	Log    hclog.Logger
}

// Sessions makes the calls of an owner to its VMs, through carriers where there are any. Its
// methods may be called from any goroutine.
type Sessions struct {
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

var _ VMs = (*Sessions)(nil)

// New returns sessions without carriers, which call all VMs directly.
func New(c Config) *Sessions {
	ctx, cancel := context.WithCancel(context.Background())
	return &Sessions{
		config: c, ctx: ctx, cancel: cancel,
		links: make(map[Entry]*carrierLink), byCentre: make(map[string][]*link), detours: make(map[string]int),
	}
}

// Close closes the links to all carriers. Later calls are made directly.
func (s *Sessions) Close() {
	s.SetEntries(nil)
	s.cancel()
	s.done.Wait()
}

// SetEntries sets the entries that carry the calls. It keeps the links to those that did
// before, and closes those to all others.
func (s *Sessions) SetEntries(entries []Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for e, l := range s.links {
		if !slices.Contains(entries, e) {
			s.config.Log.Info("carrier removed", "entry", e.Name, "run", e.Run, "centre", e.Centre)
			l.stop()
			delete(s.links, e)
		}
	}
	for _, e := range entries {
		if s.links[e] != nil || s.ctx.Err() != nil {
			continue
		}
		s.config.Log.Info("carrier added", "entry", e.Name, "run", e.Run, "centre", e.Centre, "power", e.Power)
		ctx, stop := context.WithCancel(s.ctx)
		l := &link{
			entry: e, dial: s.config.Dial, log: s.config.Log, changed: s.updateLinks,
			queued: make(chan struct{}, 1), calls: make(map[uint64]*pendingCall),
		}
		s.links[e] = &carrierLink{l, stop}
		s.done.Go(func() { l.run(ctx) })
	}
	s.updateLinksLocked()
}

// updateLinks finds out anew which links are up.
func (s *Sessions) updateLinks() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.updateLinksLocked()
}

func (s *Sessions) updateLinksLocked() {
	clear(s.byCentre)
	clear(s.detours)
	for e, l := range s.links {
		if l.isUp() {
			s.byCentre[e.Centre] = append(s.byCentre[e.Centre], l.link)
		}
	}
}

// Links returns the number of carriers in use.
func (s *Sessions) Links() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, links := range s.byCentre {
		n += len(links)
	}
	return n
}

// Carrier returns the name of the entry that carries the calls to a VM; empty means that the
// VM is called directly.
func (s *Sessions) Carrier(vm schedule.VM) string {
	if l := s.way(vm); l != nil {
		return l.entry.Name
	}
	return ""
}

// way returns the link for the next call to a VM; nil means a direct call. The ways of a VM
// are the carriers of its data centre in the order of their scores, and a direct call at last.
func (s *Sessions) way(vm schedule.VM) *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	links := s.byCentre[vm.Centre]
	if len(links) == 0 {
		return nil
	}
	skip := s.detours[vm.ID] % (len(links) + 1)
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
func (s *Sessions) observe(vm schedule.VM, r schedule.Result) (first bool) {
	if r != schedule.Unsent && r != schedule.Unanswered {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.byCentre[vm.Centre]) == 0 {
		return false
	}
	if len(s.detours) >= maxDetours {
		clear(s.detours)
	}
	s.detours[vm.ID]++
	return s.detours[vm.ID] == 1
}

// Hold implements [VMs].
func (s *Sessions) Hold(ctx context.Context, vm schedule.VM, h schedule.Hold) (schedule.Report, schedule.Result) {
	return s.send(ctx, vm, Hold{h})
}

// Start implements [VMs].
func (s *Sessions) Start(ctx context.Context, vm schedule.VM, o schedule.Start) schedule.Result {
	_, result := s.send(ctx, vm, Start{o})
	return result
}

// Stop implements [VMs].
func (s *Sessions) Stop(ctx context.Context, vm schedule.VM, o schedule.Stop) schedule.Result {
	_, result := s.send(ctx, vm, Stop{o})
	return result
}

// Pace implements [VMs].
func (s *Sessions) Pace(ctx context.Context, vm schedule.VM, o schedule.Pace) schedule.Result {
	_, result := s.send(ctx, vm, Pace{o})
	return result
}

// send makes a call. What a carrier certainly didn't get is sent directly. So is a hold whose
// reply is lost, because a VM may get a hold twice; the VM then answers it at once. Any other
// call whose reply is lost counts as unanswered, since the VM may have carried it out.
func (s *Sessions) send(ctx context.Context, vm schedule.VM, o Order) (schedule.Report, schedule.Result) {
	l := s.way(vm)
	if l == nil {
		report, result := execute(ctx, s.config.Direct, vm, o)
		s.observe(vm, result)
		return report, result
	}
	out := l.call(ctx, Call{VM: vm.ID, Address: vm.Address, Timeout: remaining(ctx), Order: o})
	hold, isHold := o.(Hold)
	switch {
	case out.state == answered:
		first := s.observe(vm, out.reply.Result)
		if !first || !isHold || out.reply.Result != schedule.Unsent {
			return out.reply.Report, out.reply.Result
		}
		// A carrier that can't reach a VM doesn't show that nothing listens there.
	case ctx.Err() != nil, out.state == lost && !isHold:
		s.observe(vm, schedule.Unanswered)
		return schedule.Report{}, schedule.Unanswered
	}
	if isHold {
		hold.Wait = 0
		o = hold
	}
	return execute(ctx, s.config.Direct, vm, o)
}

// remaining returns how long a carrier may wait for a VM's answer.
func remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return maxTimeout
	}
	return max(time.Until(deadline)-replyMargin, replyMargin)
}
