package carrier

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"almondcove/delay"
)

const (
	// batchDelay is how long calls and replies are gathered before they are sent.
	batchDelay = 8 * time.Millisecond
	// heartbeatInterval is the time after which a carrier without replies sends an empty
	// batch.
	heartbeatInterval = 150 * time.Millisecond
	// silenceTimeout is how long nothing may come from a carrier before its link is closed,
	// so that its VMs are called in another way. It is far below the timeout of a call.
	silenceTimeout = 600 * time.Millisecond
	// checkInterval is the interval of the checks for silence.
	checkInterval = 100 * time.Millisecond
	// redialDelay is the pause before a closed link is opened again.
	redialDelay = 500 * time.Millisecond
)

// Stream is a stream to a carrier. Send and Receive may be called from two goroutines. Both
// fail once the stream's context has ended.
type Stream interface {
	Send(calls []Call) error
	Receive() ([]Reply, error)
}

// Silent reports a carrier from which nothing came for a time.
type Silent struct {
	For time.Duration
}

func (e *Silent) Error() string { return "carrier: nothing received for " + e.For.String() }

// link passes calls on to one carrier. It is up from the first batch of a stream to the end
// of that stream.
type link struct {
	entry Entry
	dial  DialFunc
	log   hclog.Logger
	// changed is called when the link has gone up or down.
	changed func()
	// queued wakes the goroutine that sends the calls.
	queued chan struct{}

	mu      sync.Mutex
	up      bool
	heardAt time.Time
	// calls holds the calls without a reply by number, and queue those that are not sent.
	calls  map[uint64]*pendingCall
	queue  []Call
	number uint64
}

// pendingCall is a call without a reply.
type pendingCall struct {
	sent bool
	done chan outcome
}

// outcome is what becomes of a call.
type outcome struct {
	state outcomeState
	reply Reply
}

type outcomeState int

const (
	// answered means that the carrier has replied.
	answered outcomeState = iota
	// lost means that the link went down and the carrier may have the call.
	lost
	// unsent means that the carrier doesn't have the call.
	unsent
)

// run opens streams to the carrier, one after the other, until ctx ends.
func (l *link) run(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		err := l.serve(ctx)
		l.close()
		if ctx.Err() == nil {
			l.log.Info("link to carrier closed", "entry", l.entry.Name, "centre", l.entry.Centre, "after", time.Since(began), "reason", err)
		}
		delay.Sleep(ctx, redialDelay)
	}
}

// serve opens a stream and passes calls and replies on until the stream fails.
func (l *link) serve(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	var workers sync.WaitGroup
	defer workers.Wait()
	defer cancel(nil)
	stream, err := l.dial(ctx, l.entry.Address)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.heardAt = time.Now()
	l.mu.Unlock()
	workers.Go(func() { cancel(l.receive(stream)) })
	workers.Go(func() { cancel(l.send(ctx, stream)) })
	return l.watch(ctx)
}

// watch returns the reason for which the stream ends. If the checks themselves are late, this
// entry was busy or suspended, and the carrier's silence is counted anew.
func (l *link) watch(ctx context.Context) error {
	checkedAt := time.Now()
	for delay.Sleep(ctx, checkInterval) {
		now := time.Now()
		l.mu.Lock()
		if now.Sub(checkedAt) > 2*checkInterval {
			l.heardAt = now
		}
		silence := now.Sub(l.heardAt)
		l.mu.Unlock()
		checkedAt = now
		if silence > silenceTimeout {
			return &Silent{For: silence}
		}
	}
	return context.Cause(ctx)
}

// receive handles the replies until the stream fails.
func (l *link) receive(s Stream) error {
	for {
		replies, err := s.Receive()
		if err != nil {
			return err
		}
		l.mu.Lock()
		l.heardAt = time.Now()
		goesUp := !l.up
		l.up = true
		for _, r := range replies {
			if p := l.calls[r.Number]; p != nil {
				delete(l.calls, r.Number)
				p.done <- outcome{answered, r}
			}
		}
		l.mu.Unlock()
		if goesUp {
			l.log.Info("link to carrier open", "entry", l.entry.Name, "centre", l.entry.Centre)
			l.changed()
		}
	}
}

// send sends the queued calls in batches until the stream fails.
func (l *link) send(ctx context.Context, s Stream) error {
	for {
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-l.queued:
		}
		if !delay.Sleep(ctx, batchDelay) {
			return context.Cause(ctx)
		}
		for _, batch := range divide(l.takeQueue(), Call.size) {
			if err := s.Send(batch); err != nil {
				return err
			}
		}
	}
}

// takeQueue returns the calls in the queue, which then count as sent.
func (l *link) takeQueue() []Call {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := l.queue[:0]
	for _, c := range l.queue {
		if p := l.calls[c.Number]; p != nil {
			p.sent = true
			batch = append(batch, c)
		}
	}
	l.queue = nil
	return batch
}

// close takes the link down and ends all calls without a reply.
func (l *link) close() {
	l.mu.Lock()
	wasUp := l.up
	l.up = false
	for number, p := range l.calls {
		delete(l.calls, number)
		p.done <- outcome{state: p.lostState()}
	}
	l.queue = nil
	l.mu.Unlock()
	if wasUp {
		l.changed()
	}
}

// lostState returns what becomes of the call if no reply comes.
func (p *pendingCall) lostState() outcomeState {
	if p.sent {
		return lost
	}
	return unsent
}

// isUp reports whether the link is up.
func (l *link) isUp() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.up
}

// call passes a call on and waits for its outcome. It sets the call's number. A call that has
// no reply when ctx ends counts as lost, unless it is not sent yet.
func (l *link) call(ctx context.Context, c Call) outcome {
	l.mu.Lock()
	if !l.up {
		l.mu.Unlock()
		return outcome{state: unsent}
	}
	l.number++
	c.Number = l.number
	p := &pendingCall{done: make(chan outcome, 1)}
	l.calls[c.Number] = p
	l.queue = append(l.queue, c)
	l.mu.Unlock()
	select {
	case l.queued <- struct{}{}:
	default:
	}
	select {
	case o := <-p.done:
		return o
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.calls[c.Number] == nil {
		return <-p.done
	}
	delete(l.calls, c.Number)
	return outcome{state: p.lostState()}
}
