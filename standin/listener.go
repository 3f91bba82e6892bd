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
// received on it is discarded. New connections work.
func (c *connections) silenceAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k := range c.open {
		k.silence()
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
	k := &conn{Conn: inner, conns: l.conns, silenced: make(chan struct{})}
	l.conns.mu.Lock()
	defer l.conns.mu.Unlock()
	if l.conns.open == nil {
		l.conns.open = make(map[*conn]struct{})
	}
	l.conns.open[k] = struct{}{}
	return k, nil
}

// conn is a connection that can be silenced.
type conn struct {
	net.Conn
	conns    *connections
	once     sync.Once
	silenced chan struct{}
}

func (k *conn) silence() {
	k.once.Do(func() { close(k.silenced) })
}

func (k *conn) Read(b []byte) (int, error) {
	return readUnlessSilenced(k.silenced, k.Conn, b)
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

func (k *conn) Write(b []byte) (int, error) {
	if isClosed(k.silenced) {
		return len(b), nil
	}
	return k.Conn.Write(b)
}

func (k *conn) Close() error {
	k.conns.mu.Lock()
	delete(k.conns.open, k)
	k.conns.mu.Unlock()
	return k.Conn.Close()
}
