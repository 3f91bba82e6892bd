package standin

import (
	"net"
	"sync"
)

// connections tracks the open connections of a stand-in, so that they can be
// silenced.
type connections struct {
	mu   sync.Mutex
	open map[*conn]struct{}
}

// silenceAll silences every open connection: it stays open, but what is sent and
// received on it is discarded. New connections are not affected.
func (c *connections) silenceAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for each := range c.open {
		each.silence()
	}
}

// Listener wraps l so that the fault "silent" applies to its connections.
func (u *Upstream) Listener(l net.Listener) net.Listener {
	return &listener{Listener: l, conns: &u.conns}
}

type listener struct {
	net.Listener
	conns *connections
}

func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, conns: l.conns, silenced: make(chan struct{})}
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	if l.conns.open == nil {
		l.conns.open = make(map[*conn]struct{})
	}
	l.conns.open[c] = struct{}{}
	return c, nil
}

// conn is a connection that can be silenced.
type conn struct {
	net.Conn
	conns    *connections
	once     sync.Once
	silenced chan struct{}
}

func (c *conn) silence() {
	c.once.Do(func() { close(c.silenced) })
}

func (c *conn) Read(b []byte) (int, error) {
	return readUnlessSilenced(c.silenced, c.Conn, b)
}

// readUnlessSilenced reads from c. Once silenced is closed, it discards what arrives
// and returns only when reading fails.
func readUnlessSilenced(silenced <-chan struct{}, c net.Conn, b []byte) (int, error) {
	for {
		n, err := c.Read(b)
		if !isClosed(silenced) {
			return n, err
		}
		if err != nil {
			return 0, err
		}
	}
}

func (c *conn) Write(b []byte) (int, error) {
	if isClosed(c.silenced) {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *conn) Close() error {
	c.conns.mu.Lock()
	delete(c.conns.open, c)
	c.conns.mu.Unlock()
	return c.Conn.Close()
}
