// Package network opens the listeners and connections between processes: over
// TCP between IP addresses, or over an in-memory substitute in tests.
//
// # Usage
//
//	var n network.Network = network.TCP{}
//	l, err := n.Listen(netip.MustParseAddrPort("127.0.0.1:0"))
//	conn, err := n.DialContext(ctx, "tcp", l.Addr().String())
package network

import (
	"context"
	"net"
	"net/netip"
	"time"
)

// dialTimeout is the time limit for opening a connection.
const dialTimeout = 2 * time.Second

// Network opens listeners and connections.
type Network interface {
	// Listen opens a listener; port 0 selects a free port. The error is *ListenError.
	Listen(a netip.AddrPort) (net.Listener, error)
	// DialContext opens a connection. If nothing listens on the address, the
	// error wraps syscall.ECONNREFUSED.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// ListenError reports that a listener could not be opened on an address.
type ListenError struct {
	Address netip.AddrPort
	Cause   error
}

func (e *ListenError) Error() string {
	return "network: listen on " + e.Address.String() + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// TCP is the TCP network of the host.
type TCP struct{}

// Listen opens a TCP listener.
func (TCP) Listen(a netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", a.String())
	if err != nil {
		return nil, &ListenError{Address: a, Cause: err}
	}
	return l, nil
}

// DialContext opens a TCP connection.
func (TCP) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, network, address)
}

// AddrPort returns the address of a listener or connection.
func AddrPort(a net.Addr) netip.AddrPort {
	if tcp, ok := a.(*net.TCPAddr); ok {
		return tcp.AddrPort()
	}
	// Other implementations of Network format their addresses as IP:port too.
	out, _ := netip.ParseAddrPort(a.String())
	return out
}
