package intake

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// writePartBytes is the size of the parts in which responses are written. Each has
// Limits.WriteStall.
const writePartBytes = 64 << 10

// past is a deadline that ends a read in progress.
var past = time.Unix(1, 0)

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// phase is what a connection is used for.
type phase int

const (
	// unused is a connection without a request whose header has been read.
	unused phase = iota
	// reading is a connection whose request has a body that has not been read whole.
	reading
	// serving is a connection whose request has been read whole.
	serving
)

// receiveBufferBytes bounds what a connection receives before it is read. The kernel lets
// this buffer grow to several megabytes.
const receiveBufferBytes = 32 << 10

// Listener returns a listener whose connections are *[Conn]. It closes one of them before
// their number exceeds limit; zero means no limit.
func (in *Intake) Listener(l net.Listener, limit int) net.Listener {
	if tcp, ok := l.(*net.TCPListener); ok {
		boundReceiveBuffers(tcp)
	}
	return &listener{Listener: l, intake: in, limit: limit, open: make(map[*Conn]struct{})}
}

// boundReceiveBuffers sets the size of the receive buffers of the connections that l accepts.
func boundReceiveBuffers(l *net.TCPListener) {
	raw, err := l.SyscallConn()
	if err != nil {
		// The listener is closed.
		return
	}
	// On failure the kernel's own bound remains.
	_ = raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
	})
}

type listener struct {
	net.Listener
	intake *Intake
	limit  int

	mu   sync.Mutex
	open map[*Conn]struct{}
}

// Accept implements [net.Listener].
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.makeRoom() {
			return l.admit(inner), nil
		}
		l.intake.count(Refused)
		// The connection is given up, whatever the error.
		_ = inner.Close()
	}
}

// makeRoom closes a connection if there are as many as the limit allows. It reports false
// if the requests of all are being carried out.
func (l *listener) makeRoom() bool {
	l.mu.Lock()
	full := l.limit > 0 && len(l.open) >= l.limit
	l.mu.Unlock()
	if !full {
		return true
	}
	for {
		victim := l.longestIdle(time.Now())
		if victim == nil {
			return false
		}
		if !victim.endIfIdle(Replaced) {
			// Its request has just been read.
			continue
		}
		// The connection is given up, whatever the error.
		_ = victim.Close()
		return true
	}
}

func (l *listener) admit(inner net.Conn) *Conn {
	c := &Conn{Conn: inner, listener: l, intake: l.intake, ended: make(chan struct{}), since: time.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
	l.intake.connections.Add(1)
	return c
}

func (l *listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
	l.intake.connections.Add(-1)
}

// longestIdle returns the connection that has been unused or without progress for the
// longest time, or nil if there is none.
func (l *listener) longestIdle(now time.Time) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found *Conn
	longest := time.Duration(-1)
	for conn := range l.open {
		if idle, ok := conn.idle(now); ok && idle > longest {
			found, longest = conn, idle
		}
	}
	return found
}

// Conn is an accepted connection. It ends reads and writes that make no progress.
type Conn struct {
	net.Conn
	listener *listener
	intake   *Intake
	// ended is closed when the connection is ended early.
	ended chan struct{}

	mu sync.Mutex
	// why is empty until the connection is ended early.
	why    Reason
	closed bool
	phase  phase
	// since is when the phase began or the body last made progress.
	since time.Time
	// awaitingRoom is set while the body waits for room in a budget.
	awaitingRoom bool
	// writing is when the write in progress began; zero if there is none.
	writing time.Time
}

// WithConn returns the context for the requests of a connection. It has the type of
// [net/http.Server.ConnContext].
func WithConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// idle returns how long the connection has been unused or without progress, and false if
// its request is being carried out or its body waits for room.
func (c *Conn) idle(now time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleLocked(now)
}

// writeGrace is how long a part of a response may be written before the connection counts as
// without progress.
const writeGrace = time.Second

// idleLocked is idle for a caller that holds c.mu.
func (c *Conn) idleLocked(now time.Time) (time.Duration, bool) {
	switch {
	case !c.writing.IsZero():
		idle := now.Sub(c.writing)
		return idle, idle > writeGrace
	case c.phase == serving, c.awaitingRoom:
		return 0, false
	}
	return now.Sub(c.since), true
}

// reason returns why the connection was ended early; empty if it was not.
func (c *Conn) reason() Reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.why
}

// end makes the reads of the connection fail, now and later. A response can still be
// written.
func (c *Conn) end(r Reason) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endLocked(r)
}

// endIfIdle is end for a connection that is idle. It reports false if it no longer is.
func (c *Conn) endIfIdle(r Reason) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, idle := c.idleLocked(time.Now()); !idle {
		return false
	}
	c.endLocked(r)
	return true
}

// endLocked is end for a caller that holds c.mu.
func (c *Conn) endLocked(r Reason) {
	if c.why != "" {
		return
	}
	c.why = r
	close(c.ended)
	// A connection without deadlines is broken; its read fails anyway.
	_ = c.Conn.SetReadDeadline(past)
}

// EndUnfinished ends the connection if the body of its request has not been read whole and
// has made no progress for the given time.
func (c *Conn) EndUnfinished(r Reason, grace time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == reading && time.Since(c.since) >= grace {
		c.endLocked(r)
	}
}

// Rest notes that the connection has no request any more.
func (c *Conn) Rest() { c.enter(unused) }

// setAwaitingRoom sets whether the body waits for room. The wait is not the client's.
func (c *Conn) setAwaitingRoom(waits bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingRoom, c.since = waits, time.Now()
}

func (c *Conn) lastProgress() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since
}

func (c *Conn) enter(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since = p, time.Now()
}

// SetReadDeadline implements [net.Conn]. It has no effect on a connection that was ended.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.why != "" {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements [net.Conn].
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.Conn.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// Write implements [net.Conn].
func (c *Conn) Write(data []byte) (int, error) {
	written := 0
	for {
		n, err := c.writePart(data[written:min(len(data), written+writePartBytes)])
		written += n
		if err != nil || written == len(data) {
			return written, err
		}
	}
}

func (c *Conn) writePart(data []byte) (int, error) {
	begin := time.Now()
	c.setWriting(begin)
	defer c.setWriting(time.Time{})
	// A connection without deadlines is broken; its write fails anyway.
	_ = c.Conn.SetWriteDeadline(begin.Add(c.intake.limits.WriteStall))
	n, err := c.Conn.Write(data)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		c.end(Unread)
	}
	return n, err
}

func (c *Conn) setWriting(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writing = t
}

// CloseWrite closes the writing side, if the connection has one, so that the client reads
// its response before the connection is reset.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close implements [net.Conn].
func (c *Conn) Close() error {
	c.mu.Lock()
	first, why := !c.closed, c.why
	c.closed = true
	c.mu.Unlock()
	if first {
		c.listener.remove(c)
		if why != "" {
			c.intake.count(why)
		}
	}
	return c.Conn.Close()
}
