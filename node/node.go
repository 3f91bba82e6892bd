// Package node runs one entry with its HTTP servers for callers and operators.
//
// # Usage
//
//	n, err := node.Start(node.Config{Entry: entryConfig, Callers: callersAddr, Operators: operatorsAddr})
//	...
//	err = n.Stop(ctx) // graceful: aborts no request before ctx ends
package node

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"almondcove/caller"
	"almondcove/entry"
	"almondcove/intake"
	"almondcove/network"
	"almondcove/operator"
)

const (
	// DefaultLinger is the default of Config.Linger.
	DefaultLinger = 2 * time.Second
	// leaveTimeout is the time limit for releasing the entry's seats and for
	// closing the operators' server.
	leaveTimeout = 4 * time.Second
	// headerTimeout is the time limit for reading a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 2 * time.Minute
	// operatorConnections is the number of connections of the operators' server.
	operatorConnections = 128
)

// Config configures a node.
type Config struct {
	Entry entry.Config
	// Callers and Operators are the addresses to listen on; port 0 selects a free port.
	Callers   netip.AddrPort
	Operators netip.AddrPort
	// TokenHash is the SHA-256 of the operators' token, in hex.
	TokenHash string
	// MaxBody is the maximum size of a task's body in bytes.
	MaxBody int64
	// Intake bounds what clients make the node hold. Its connections are those of callers.
	Intake intake.Limits
	// Linger is how long the node still accepts requests after it has announced
	// its shutdown, so that the load balancer can take it out of rotation; zero
	// means DefaultLinger.
	Linger time.Duration
}

// Node is a running node.
type Node struct {
	entry     *entry.Entry
	linger    time.Duration
	callers   *server
	operators *server
	handler   *caller.Handler
}

// Start opens the listeners and starts the node. The error is
// *network.ListenError.
func Start(c Config) (*Node, error) {
	if c.Linger == 0 {
		c.Linger = DefaultLinger
	}
	if c.Entry.Network == nil {
		c.Entry.Network = network.TCP{}
	}
	callers, err := c.Entry.Network.Listen(c.Callers)
	if err != nil {
		return nil, err
	}
	operators, err := c.Entry.Network.Listen(c.Operators)
	if err != nil {
		_ = callers.Close()
		return nil, err
	}
	e, err := entry.New(c.Entry)
	if err != nil {
		_ = callers.Close()
		_ = operators.Close()
		return nil, err
	}
	in := intake.New(intake.Config{Limits: c.Intake, Log: c.Entry.Log})
	handler := caller.New(caller.Config{Backend: e, MaxBodyBytes: c.MaxBody, Intake: in})
	return &Node{
		entry:     e,
		linger:    c.Linger,
		handler:   handler,
		callers:   serve(callers, handler, in, c.Intake.Connections),
		operators: serve(operators, operator.New(operator.Config{Backend: e, TokenHash: c.TokenHash}), in, operatorConnections),
	}, nil
}

// Entry returns the node's entry.
func (n *Node) Entry() *entry.Entry { return n.entry }

// Callers returns the address that the callers' server listens on.
func (n *Node) Callers() net.Addr { return n.callers.address }

// Operators returns the address that the operators' server listens on.
func (n *Node) Operators() net.Addr { return n.operators.address }

// Stop shuts the node down gracefully: it announces the shutdown, accepts
// requests for Config.Linger, waits for every open request, releases the
// entry's seats and closes. If ctx ends first, Stop aborts the requests that are
// still open, records their number in the timeline and returns *ShutdownError.
func (n *Node) Stop(ctx context.Context) error {
	n.entry.Drain()
	n.callers.Drain()
	timer := time.NewTimer(n.linger)
	select {
	case <-timer.C:
	case <-ctx.Done():
		timer.Stop()
	}
	aborted := n.callers.Shutdown(ctx)
	// Both counts may include the same requests, so the larger one is taken.
	aborted = max(aborted, n.handler.Wait(ctx))
	if aborted > 0 {
		n.entry.RecordAborted(aborted)
	}
	leaveCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	n.entry.Release(leaveCtx)
	n.operators.Shutdown(leaveCtx)
	n.entry.Close()
	if aborted > 0 {
		return &ShutdownError{Requests: aborted}
	}
	return nil
}

// Kill stops the node at once, like a crash, except that its sockets are closed.
func (n *Node) Kill() {
	n.callers.Close()
	n.operators.Close()
	n.entry.Close()
}

// ShutdownError reports that a shutdown aborted open requests because its
// context ended.
type ShutdownError struct {
	// Requests is the number of aborted requests.
	Requests int
}

func (e *ShutdownError) Error() string {
	return "node: the shutdown ran out of time and cut requests"
}

// server is an HTTP server and the address that it listens on.
type server struct {
	*caller.Server
	address net.Addr
}

// serve starts a server on a listener.
func serve(l net.Listener, h http.Handler, in *intake.Intake, maxConnections int) *server {
	s := &server{caller.NewServer(caller.ServerConfig{
		Handler: h, HeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, Intake: in, MaxConnections: maxConnections,
	}), l.Addr()}
	go func() {
		// A listener that fails leaves the node without this address until it stops.
		_ = s.Serve(l)
	}()
	return s
}
