package intake

import (
	"context"
	"errors"
	"io"
	"sync"
)

// The sizes of the chunks into which a body is read. The first one holds a usual body.
const (
	firstChunkBytes = 4 << 10
	chunkBytes      = 16 << 10
)

var (
	firstChunks = sync.Pool{New: func() any { return new([firstChunkBytes]byte) }}
	chunks      = sync.Pool{New: func() any { return new([chunkBytes]byte) }}
)

// Body is a body that has been read whole. The zero value is an empty one.
type Body struct {
	// Data is the body. It may be used after Release.
	Data   []byte
	claim  *Claim
	intake *Intake
	// conn is nil if the body did not arrive on a connection of a listener.
	conn *Conn
}

// Grow takes n bytes for what is made of the body, which it holds until Release. It waits
// for room if need be. The error is *EndedError if there is none.
func (b *Body) Grow(n int64) error {
	if take(b.claim, b.conn, n) {
		return nil
	}
	b.intake.count(Full)
	return &EndedError{Reason: Full}
}

// Keep moves a body from the budget of those that are being read to that of the requests
// that wait for their answers, in which it holds n bytes until Release. It does not wait for
// room. The error is *EndedError if there is none; the body then holds nothing.
func (b *Body) Keep(n int64) error {
	b.claim.Close()
	b.claim = b.intake.waiting.Open(func() {}, nil)
	if b.claim.tryTake(n) {
		return nil
	}
	b.claim.Close()
	b.intake.count(Backlog)
	return &EndedError{Reason: Backlog}
}

// Release returns what the body holds of its budget.
func (b *Body) Release() {
	if b.claim != nil {
		b.claim.Close()
	}
}

// Read reads a body to its end. The context is that of the request. A limit of the body's
// own size is up to r. The error is *EndedError if the body was ended or refused because
// of a limit, and otherwise that of r.
func (in *Intake) Read(ctx context.Context, r io.Reader) (*Body, error) {
	evict, ended := func() {}, (<-chan struct{})(nil)
	conn, _ := ctx.Value(connKey{}).(*Conn)
	if conn != nil {
		evict, ended = func() { conn.EndUnfinished(Evicted, 0) }, conn.ended
	}
	claim := in.budget.Open(evict, ended)
	chunked := buffer{claim: claim, conn: conn}
	defer chunked.free()
	data, err := chunked.readAll(r)
	if err != nil {
		claim.Close()
		return nil, in.readError(conn, err)
	}
	return &Body{Data: data, claim: claim, intake: in, conn: conn}, nil
}

// take takes n bytes for a body. While it waits for room, its connection, if there is one, is
// not without progress.
func take(c *Claim, conn *Conn, n int64) bool {
	if conn != nil {
		conn.setAwaitingRoom(true)
		defer conn.setAwaitingRoom(false)
	}
	return c.Take(n)
}

// readError returns the error for a body that was not read to its end.
func (in *Intake) readError(conn *Conn, err error) error {
	if conn != nil && conn.reason() != "" {
		return &EndedError{Reason: conn.reason()}
	}
	if _, ok := errors.AsType[*EndedError](err); ok {
		in.count(Full)
	}
	return err
}

// buffer holds the chunks of a body that is being read.
type buffer struct {
	claim *Claim
	conn  *Conn
	// chunks are full but for the last one.
	chunks [][]byte
	bytes  int
}

// readAll reads r to its end and returns what it has read, in memory of its own.
func (b *buffer) readAll(r io.Reader) ([]byte, error) {
	for {
		n := len(b.chunks)
		if n == 0 || len(b.chunks[n-1]) == cap(b.chunks[n-1]) {
			if err := b.grow(); err != nil {
				return nil, err
			}
			n = len(b.chunks)
		}
		last := b.chunks[n-1]
		read, err := r.Read(last[len(last):cap(last)])
		b.chunks[n-1] = last[:len(last)+read]
		b.bytes += read
		if read > 0 {
			b.claim.Progress()
		}
		if err == io.EOF {
			return b.join()
		}
		if err != nil {
			return nil, err
		}
	}
}

// grow adds an empty chunk.
func (b *buffer) grow() error {
	size := int64(chunkBytes)
	if len(b.chunks) == 0 {
		size = firstChunkBytes
	}
	if !take(b.claim, b.conn, size) {
		return &EndedError{Reason: Full}
	}
	if len(b.chunks) == 0 {
		chunk := firstChunks.Get().(*[firstChunkBytes]byte)
		b.chunks = append(b.chunks, chunk[:0])
		return nil
	}
	b.chunks = append(b.chunks, chunks.Get().(*[chunkBytes]byte)[:0])
	return nil
}

// join returns the chunks as one, which the claim holds instead of them.
func (b *buffer) join() ([]byte, error) {
	b.claim.Complete()
	if !take(b.claim, b.conn, int64(b.bytes)) {
		return nil, &EndedError{Reason: Full}
	}
	out := make([]byte, 0, b.bytes)
	for _, chunk := range b.chunks {
		out = append(out, chunk...)
	}
	b.claim.Return(b.free())
	return out, nil
}

// free gives the chunks up and returns their size.
func (b *buffer) free() int64 {
	size := int64(0)
	for i, chunk := range b.chunks {
		size += int64(cap(chunk))
		if i == 0 {
			firstChunks.Put((*[firstChunkBytes]byte)(chunk[:firstChunkBytes]))
		} else {
			chunks.Put((*[chunkBytes]byte)(chunk[:chunkBytes]))
		}
	}
	b.chunks = nil
	return size
}
