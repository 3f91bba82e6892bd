// Package network is how the processes reach each other: TCP by IP numbers, or
// in tests something that behaves like it.
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

// dialTimeout bounds the time to open a connection.
const dialTimeout = 2 * time.Second

// Network opens listeners and connections.
type Network interface {
	// Listen opens a listener; port 0 takes any. The error is *ListenError.
	Listen(a netip.AddrPort) (net.Listener, error)
	// DialContext opens a connection. An address without a listener gives an
	// error that wraps syscall.ECONNREFUSED.
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// ListenError reports an address that can't be listened on.
type ListenError struct {
	Address netip.AddrPort
	Cause   error
}

func (e *ListenError) Error() string {
	return "network: listen on " + e.Address.String() + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// TCP is the network of the machine.
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
	// Other networks print their addresses in the same form.
	out, _ := netip.ParseAddrPort(a.String())
	return out
}
