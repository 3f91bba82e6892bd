package standin

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"

	"almondcove/network"
)

// Network stands in for TCP inside one process, for tests with a paused clock.
// Connections are pipes in memory. Addresses can be cut off from each other
// and open connections can go silent. The zero value is ready to use.
type Network struct {
	mu        sync.Mutex
	port      uint16
	listeners map[netip.AddrPort]*pipeListener
	// cut holds the pairs of hosts between which nothing passes.
	cut   map[[2]netip.Addr]bool
	pipes map[*pipe]struct{}
}

// From returns the network as the host with that address sees it.
func (n *Network) From(host netip.Addr) network.Network {
	return &hostNetwork{net: n, host: host}
}

// hostNetwork is the network of one host.
type hostNetwork struct {
	net  *Network
	host netip.Addr
}

// Listen opens a listener on the host.
func (h *hostNetwork) Listen(a netip.AddrPort) (net.Listener, error) {
	n := h.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if a.Port() == 0 {
		n.port++
		a = netip.AddrPortFrom(a.Addr(), n.port)
	}
	if n.listeners == nil {
		n.listeners = make(map[netip.AddrPort]*pipeListener)
		n.pipes = make(map[*pipe]struct{})
		n.cut = make(map[[2]netip.Addr]bool)
	}
	if n.listeners[a] != nil {
		return nil, &network.ListenError{Address: a, Cause: syscall.EADDRINUSE}
	}
	l := &pipeListener{net: n, address: a, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[a] = l
	return l, nil
}

// DialContext opens a connection from the host. Across a cut it hangs until
// ctx ends.
func (h *hostNetwork) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
	}
	n := h.net
	n.mu.Lock()
	l := n.listeners[to]
	isCut := n.cut[[2]netip.Addr{h.host, to.Addr()}]
	n.mu.Unlock()
	if isCut {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	near, far := n.pipe(h.host, to)
	select {
	case l.conns <- far:
		return near, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
}

// Cut stops everything between two hosts, in both directions: open connections
// go silent and new ones hang. Heal ends it for new connections.
func (n *Network) Cut(a, b netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]netip.Addr{a, b}] = true
	n.cut[[2]netip.Addr{b, a}] = true
	for p := range n.pipes {
		if p.from == a && p.to.Addr() == b || p.from == b && p.to.Addr() == a {
			p.kill()
		}
	}
}

// Heal ends all cuts.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
}

// pipe returns the two ends of a new connection.
func (n *Network) pipe(from netip.Addr, to netip.AddrPort) (near, far net.Conn) {
	a, b := net.Pipe()
	p := &pipe{from: from, to: to, dead: make(chan struct{})}
	p.forget = func() {
		n.mu.Lock()
		delete(n.pipes, p)
		n.mu.Unlock()
	}
	n.mu.Lock()
	n.pipes[p] = struct{}{}
	n.mu.Unlock()
	return &pipeEnd{Conn: a, pipe: p}, &pipeEnd{Conn: b, pipe: p}
}

// pipe is one connection.
type pipe struct {
	from   netip.Addr
	to     netip.AddrPort
	once   sync.Once
	dead   chan struct{}
	forget func()
}

func (p *pipe) kill() {
	p.once.Do(func() { close(p.dead) })
}

// pipeEnd is one end of a connection. On a dead connection writes vanish and
// reads find nothing until an end is closed.
type pipeEnd struct {
	net.Conn
	pipe *pipe
}

func (e *pipeEnd) Read(b []byte) (int, error) {
	return readUnless(e.pipe.dead, e.Conn, b)
}

func (e *pipeEnd) Write(b []byte) (int, error) {
	if closed(e.pipe.dead) {
		return len(b), nil
	}
	return e.Conn.Write(b)
}

func (e *pipeEnd) Close() error {
	e.pipe.forget()
	return e.Conn.Close()
}

// LocalAddr returns the address of the listener.
func (e *pipeEnd) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(e.pipe.to) }

// RemoteAddr returns the address of the dialing host.
func (e *pipeEnd) RemoteAddr() net.Addr {
	return net.TCPAddrFromAddrPort(netip.AddrPortFrom(e.pipe.from, 1))
}

type pipeListener struct {
	net     *Network
	address netip.AddrPort
	conns   chan net.Conn
	once    sync.Once
	closed  chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() {
		close(l.closed)
		l.net.mu.Lock()
		delete(l.net.listeners, l.address)
		l.net.mu.Unlock()
	})
	return nil
}

func (l *pipeListener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.address) }
