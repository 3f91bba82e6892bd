package standin

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"almondcove/network"
)

// Network stands in for TCP inside one process, for tests with a paused clock.
// Connections are pipes in memory. Addresses can be cut off from each other
// and open connections can go silent. The zero value is ready to use.
type Network struct {
	mu        sync.Mutex
	port      uint16
	listeners map[netip.AddrPort]*pipeListener
	// cut holds the pairs of hosts between which nothing passes in that direction.
	cut map[[2]netip.Addr]bool
	// delay holds how long each write between a pair of hosts takes.
	delay map[[2]netip.Addr]time.Duration
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
		n.delay = make(map[[2]netip.Addr]time.Duration)
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
	// Opening a connection takes a message each way.
	isCut := n.cut[[2]netip.Addr{h.host, to.Addr()}] || n.cut[[2]netip.Addr{to.Addr(), h.host}]
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
	n.CutOneWay(a, b)
	n.CutOneWay(b, a)
}

// CutOneWay stops everything from one host to another: what open connections
// carry that way is lost, and new ones hang in both directions.
func (n *Network) CutOneWay(from, to netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]netip.Addr{from, to}] = true
	for p := range n.pipes {
		if p.from == from && p.to.Addr() == to {
			p.near.kill()
		}
		if p.from == to && p.to.Addr() == from {
			p.far.kill()
		}
	}
}

// Slow makes each write between two hosts take a time.
func (n *Network) Slow(a, b netip.Addr, each time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay[[2]netip.Addr{a, b}] = each
	n.delay[[2]netip.Addr{b, a}] = each
}

func (n *Network) delayOf(from, to netip.Addr) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delay[[2]netip.Addr{from, to}]
}

// Heal ends all cuts and delays.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
	clear(n.delay)
}

// pipe returns the two ends of a new connection.
func (n *Network) pipe(from netip.Addr, to netip.AddrPort) (near, far net.Conn) {
	a, b := net.Pipe()
	p := &pipe{net: n, from: from, to: to}
	p.near = &pipeEnd{Conn: a, pipe: p, from: from, to: to.Addr(), dead: make(chan struct{})}
	p.far = &pipeEnd{Conn: b, pipe: p, from: to.Addr(), to: from, dead: make(chan struct{})}
	n.mu.Lock()
	n.pipes[p] = struct{}{}
	n.mu.Unlock()
	return p.near, p.far
}

// pipe is one connection.
type pipe struct {
	net  *Network
	from netip.Addr
	to   netip.AddrPort
	near *pipeEnd
	far  *pipeEnd
}

func (p *pipe) forget() {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	delete(p.net.pipes, p)
}

// pipeEnd is one end of a connection. Once it is dead, what it writes vanishes,
// also what has been written and not been read.
type pipeEnd struct {
	net.Conn
	pipe *pipe
	from netip.Addr
	to   netip.Addr
	once sync.Once
	dead chan struct{}
}

func (e *pipeEnd) kill() {
	e.once.Do(func() { close(e.dead) })
}

// other returns the other end.
func (e *pipeEnd) other() *pipeEnd {
	if e == e.pipe.near {
		return e.pipe.far
	}
	return e.pipe.near
}

func (e *pipeEnd) Read(b []byte) (int, error) {
	return readUnless(e.other().dead, e.Conn, b)
}

func (e *pipeEnd) Write(b []byte) (int, error) {
	if closed(e.dead) {
		return len(b), nil
	}
	if d := e.pipe.net.delayOf(e.from, e.to); d > 0 {
		time.Sleep(d)
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
