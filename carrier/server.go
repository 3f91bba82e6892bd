package carrier

import (
	"context"
	"sync"
	"time"

	"almondcove/delay"
	"almondcove/schedule"
)

const (
	// maxTimeout bounds the timeout of a call.
	maxTimeout = 10 * time.Second
	// maxCalls bounds the calls of a stream without an answer. An owner makes far fewer.
	maxCalls = 8192
)

// ServerStream is the carrier's end of a [Stream].
type ServerStream interface {
	Send(replies []Reply) error
	Receive() ([]Call, error)
}

// Serve makes the calls of a stream until the stream fails, and returns its error. Calls
// without an answer are then abandoned.
func Serve(ctx context.Context, vms VMs, s ServerStream) error {
	ctx, cancel := context.WithCancelCause(ctx)
	server := &server{vms: vms, queued: make(chan struct{}, 1)}
	var workers sync.WaitGroup
	defer workers.Wait()
	defer cancel(nil)
	workers.Go(func() { cancel(server.send(ctx, s)) })
	for {
		calls, err := s.Receive()
		if err != nil {
			return err
		}
		for _, c := range calls {
			if !server.admit() {
				server.reply(Reply{Number: c.Number, Result: schedule.Unsent})
				continue
			}
			workers.Go(func() { server.execute(ctx, c) })
		}
	}
}

// server is the state of one call of [Serve].
type server struct {
	vms VMs
	// queued wakes the goroutine that sends the replies.
	queued chan struct{}

	mu      sync.Mutex
	calls   int
	replies []Reply
}

// admit reports whether one more call may be made.
func (s *server) admit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls >= maxCalls {
		return false
	}
	s.calls++
	return true
}

// execute makes a call and queues its reply.
func (s *server) execute(ctx context.Context, c Call) {
	ctx, cancel := context.WithTimeout(ctx, min(c.Timeout, maxTimeout))
	defer cancel()
	report, result := execute(ctx, s.vms, schedule.VM{ID: c.VM, Address: c.Address}, c.Order)
	s.mu.Lock()
	s.calls--
	s.mu.Unlock()
	s.reply(Reply{Number: c.Number, Result: result, Report: report})
}

// reply queues a reply.
func (s *server) reply(r Reply) {
	s.mu.Lock()
	s.replies = append(s.replies, r)
	s.mu.Unlock()
	select {
	case s.queued <- struct{}{}:
	default:
	}
}

// takeReplies returns the queued replies.
func (s *server) takeReplies() []Reply {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.replies
	s.replies = nil
	return out
}

// send sends the queued replies in batches, or an empty batch while there are none, until the
// stream fails. The first one tells the owner that the carrier is there.
func (s *server) send(ctx context.Context, stream ServerStream) error {
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for {
		batches := divide(s.takeReplies(), Reply.size)
		if len(batches) == 0 {
			batches = append(batches, nil)
		}
		for _, batch := range batches {
			if err := stream.Send(batch); err != nil {
				return err
			}
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-heartbeat.C:
		case <-s.queued:
			if !delay.Sleep(ctx, batchDelay) {
				return context.Cause(ctx)
			}
			heartbeat.Reset(heartbeatInterval)
		}
	}
}
