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

// Network is a TCP network in memory, for tests with a fake clock. Its connections
// are pipes. Hosts can be partitioned from each other, which silences the open
// connections between them. The zero value is ready to use.
type Network struct {
	mu        sync.Mutex
	lastPort  uint16
	listeners map[netip.AddrPort]*pipeListener
	// blocked holds the pairs of hosts such that nothing passes from the first to the
	// second.
	blocked map[[2]netip.Addr]bool
	// delay holds how long each write from the first host to the second takes.
	delay map[[2]netip.Addr]time.Duration
	pipes map[*pipe]struct{}
}

// ForHost returns the network as seen by the host with that address.
func (n *Network) ForHost(host netip.Addr) network.Network {
	return &hostNetwork{net: n, host: host}
}

// hostNetwork is the network of one host.
type hostNetwork struct {
	net  *Network
	host netip.Addr
}

// Listen opens a listener on an address; port 0 selects a free port.
func (h *hostNetwork) Listen(a netip.AddrPort) (net.Listener, error) {
	n := h.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if a.Port() == 0 {
		n.lastPort++
		a = netip.AddrPortFrom(a.Addr(), n.lastPort)
	}
	if n.listeners == nil {
		n.listeners = make(map[netip.AddrPort]*pipeListener)
		n.pipes = make(map[*pipe]struct{})
		n.blocked = make(map[[2]netip.Addr]bool)
		n.delay = make(map[[2]netip.Addr]time.Duration)
	}
	if n.listeners[a] != nil {
		return nil, &network.ListenError{Address: a, Cause: syscall.EADDRINUSE}
	}
	l := &pipeListener{net: n, address: a, conns: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[a] = l
	return l, nil
}

// DialContext opens a connection from the host. If the hosts are partitioned, it
// blocks until ctx ends.
func (h *hostNetwork) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
	}
	n := h.net
	n.mu.Lock()
	l := n.listeners[to]
	// A TCP handshake needs both directions.
	isBlocked := n.blocked[[2]netip.Addr{h.host, to.Addr()}] || n.blocked[[2]netip.Addr{to.Addr(), h.host}]
	n.mu.Unlock()
	if isBlocked {
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
	if l == nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	client, server := n.newPipe(h.host, to)
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
}

// Partition blocks everything between two hosts, in both directions. Open connections
// are silenced permanently, and new ones block until [Network.Heal].
func (n *Network) Partition(a, b netip.Addr) {
	n.PartitionOneWay(a, b)
	n.PartitionOneWay(b, a)
}

// PartitionOneWay blocks everything from one host to another. What open connections
// carry in that direction is lost, and new connections block in both directions.
func (n *Network) PartitionOneWay(from, to netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[[2]netip.Addr{from, to}] = true
	for p := range n.pipes {
		if p.from == from && p.to.Addr() == to {
			p.client.silence()
		}
		if p.from == to && p.to.Addr() == from {
			p.server.silence()
		}
	}
}

// SetDelay sets how long each write between two hosts takes.
func (n *Network) SetDelay(a, b netip.Addr, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay[[2]netip.Addr{a, b}] = delay
	n.delay[[2]netip.Addr{b, a}] = delay
}

func (n *Network) writeDelay(from, to netip.Addr) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delay[[2]netip.Addr{from, to}]
}

// Heal ends all partitions and delays. Silenced connections stay silenced.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.blocked)
	clear(n.delay)
}

// newPipe returns the client's and the server's end of a new connection.
func (n *Network) newPipe(from netip.Addr, to netip.AddrPort) (client, server net.Conn) {
	a, b := net.Pipe()
	p := &pipe{net: n, from: from, to: to}
	p.client = &pipeEnd{Conn: a, pipe: p, from: from, to: to.Addr(), silenced: make(chan struct{})}
	p.server = &pipeEnd{Conn: b, pipe: p, from: to.Addr(), to: from, silenced: make(chan struct{})}
	n.mu.Lock()
	n.pipes[p] = struct{}{}
	n.mu.Unlock()
	return p.client, p.server
}

// pipe is one connection, from the dialing host to the listener's address.
type pipe struct {
	net    *Network
	from   netip.Addr
	to     netip.AddrPort
	client *pipeEnd
	server *pipeEnd
}

func (p *pipe) untrack() {
	p.net.mu.Lock()
	defer p.net.mu.Unlock()
	delete(p.net.pipes, p)
}

// pipeEnd is one end of a connection. Once it is silenced, what it writes is lost, and
// so is what the other end has not read yet.
type pipeEnd struct {
	net.Conn
	pipe     *pipe
	from     netip.Addr
	to       netip.Addr
	once     sync.Once
	silenced chan struct{}
}

func (e *pipeEnd) silence() {
	e.once.Do(func() { close(e.silenced) })
}

func (e *pipeEnd) otherEnd() *pipeEnd {
	if e == e.pipe.client {
		return e.pipe.server
	}
	return e.pipe.client
}

func (e *pipeEnd) Read(b []byte) (int, error) {
	return readUnlessSilenced(e.otherEnd().silenced, e.Conn, b)
}

func (e *pipeEnd) Write(b []byte) (int, error) {
	if isClosed(e.silenced) {
		return len(b), nil
	}
	if d := e.pipe.net.writeDelay(e.from, e.to); d > 0 {
		time.Sleep(d)
	}
	return e.Conn.Write(b)
}

func (e *pipeEnd) Close() error {
	e.pipe.untrack()
	return e.Conn.Close()
}

// LocalAddr returns the address of the listener, on both ends.
func (e *pipeEnd) LocalAddr() net.Addr { return net.TCPAddrFromAddrPort(e.pipe.to) }

// RemoteAddr returns the address of the dialing host, on both ends. Its port has no
// meaning.
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
