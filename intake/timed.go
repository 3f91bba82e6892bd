package intake

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"
)

// BeginRequest notes that a request is being carried out on the connection with the given
// context, which [WithConn] has made. It returns the request with limits on the time of
// its body, and this body, which is nil if the request has none.
func BeginRequest(r *http.Request) (*http.Request, *TimedBody) {
	c := r.Context().Value(connKey{}).(*Conn)
	if r.ContentLength == 0 {
		c.enter(serving)
		return r, nil
	}
	body := &TimedBody{ReadCloser: r.Body, conn: c, length: r.ContentLength, began: time.Now()}
	c.enter(reading)
	body.extend()
	// The server looks at the body of its own request.
	timed := *r
	timed.Body = body
	return &timed, body
}

// TimedBody is a body whose reads fail once it makes no progress, or too slowly.
type TimedBody struct {
	io.ReadCloser
	conn  *Conn
	began time.Time
	// length is the length of the body; -1 if it is not known.
	length int64
	bytes  int64
	ended  bool
	// last is the time by which reads end; zero if there is none.
	last time.Time
}

// Ended reports whether the body has been read whole.
func (b *TimedBody) Ended() bool { return b.ended }

// Limit makes the reads of the rest of the body end after d.
func (b *TimedBody) Limit(d time.Duration) {
	b.last = time.Now().Add(d)
	b.extend()
}

// extend sets the deadline of the next read.
func (b *TimedBody) extend() {
	limits := b.conn.intake.limits
	stall := time.Now().Add(limits.Stall)
	floor := b.began.Add(limits.RateGrace + time.Duration(float64(b.bytes)/float64(limits.Rate)*float64(time.Second)))
	deadline := stall
	for _, t := range []time.Time{floor, b.last} {
		if !t.IsZero() && t.Before(deadline) {
			deadline = t
		}
	}
	// A connection without deadlines is broken; its read fails anyway.
	_ = b.conn.SetReadDeadline(deadline)
}

// Read implements [io.Reader].
func (b *TimedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.bytes += int64(n)
	switch {
	case err == io.EOF || b.bytes == b.length:
		b.finish()
	case errors.Is(err, os.ErrDeadlineExceeded):
		b.conn.end(b.reason())
	case err == nil:
		b.conn.enter(reading)
		b.extend()
	}
	return n, err
}

// reason returns why a read has passed its deadline.
func (b *TimedBody) reason() Reason {
	limits := b.conn.intake.limits
	if time.Since(b.began) >= limits.RateGrace && time.Since(b.conn.lastProgress()) < limits.Stall {
		return Slow
	}
	return Stalled
}

// finish notes that the body has been read whole.
func (b *TimedBody) finish() {
	if b.ended {
		return
	}
	b.ended = true
	b.conn.enter(serving)
	// The server reads on to notice that the client closes the connection.
	_ = b.conn.SetReadDeadline(time.Time{})
}
