// Package node runs one entry with its listeners for callers and operators.
//
// # Usage
//
//	n, err := node.Start(node.Config{Entry: entryConfig, Callers: callersAddr, Operators: operatorsAddr})
//	...
//	err = n.Stop(ctx) // graceful: cuts no request before ctx ends
package node

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"almondcove/caller"
	"almondcove/entry"
	"almondcove/network"
	"almondcove/operator"
)

// The defaults of a node.
const (
	DefaultLinger = 2 * time.Second
	// leaveTimeout bounds the time for giving seats back.
	leaveTimeout = 4 * time.Second
	// headerTimeout bounds the time to read a request's header.
	headerTimeout = 10 * time.Second
	// idleTimeout bounds the time that an idle connection is kept.
	idleTimeout = 2 * time.Minute
)

// Config configures a node.
type Config struct {
	Entry entry.Config
	// Callers and Operators are the addresses to listen on; port 0 takes any.
	Callers   netip.AddrPort
	Operators netip.AddrPort
	// Token is the SHA-256 of the operators' token, in hex.
	Token string
	// MaxBody bounds the body of a task in bytes.
	MaxBody int64
	// Linger is how long the node goes on taking requests after it has said
	// that it is leaving, so that the balancer can notice; zero means DefaultLinger.
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

// Start returns a running node, or *network.ListenError.
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
	handler := caller.New(caller.Config{Backend: e, MaxBody: c.MaxBody})
	return &Node{
		entry:     e,
		linger:    c.Linger,
		handler:   handler,
		callers:   serve(callers, handler),
		operators: serve(operators, operator.New(operator.Config{Backend: e, TokenHash: c.Token})),
	}, nil
}

// Entry returns the node's entry.
func (n *Node) Entry() *entry.Entry { return n.entry }

// Callers returns the address for callers.
func (n *Node) Callers() net.Addr { return n.callers.address }

// Operators returns the address for operators.
func (n *Node) Operators() net.Addr { return n.operators.address }

// Stop shuts the node down: it says that it is leaving, goes on for the
// linger, finishes every request, gives its seats back and ends. When ctx ends
// first, what is left is cut, and the time line and the error *Cut say so.
func (n *Node) Stop(ctx context.Context) error {
	n.entry.Drain()
	timer := time.NewTimer(n.linger)
	select {
	case <-timer.C:
	case <-ctx.Done():
		timer.Stop()
	}
	cut := n.callers.shutdown(ctx)
	cut = max(cut, n.handler.Wait(ctx))
	if cut > 0 {
		n.entry.RecordAborted(cut)
	}
	leaving, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	n.entry.Release(leaving)
	n.operators.shutdown(leaving)
	n.entry.Close()
	if cut > 0 {
		return &Cut{Requests: cut}
	}
	return nil
}

// Kill ends the node at once, as a crash would, except that sockets close.
func (n *Node) Kill() {
	_ = n.callers.http.Close()
	_ = n.operators.http.Close()
	n.entry.Close()
}

// Cut reports requests that a shutdown did not wait for.
type Cut struct {
	Requests int
}

func (e *Cut) Error() string {
	return "node: the shutdown ran out of time and cut requests"
}

// server is one HTTP server that counts its requests.
type server struct {
	http    *http.Server
	address net.Addr
	active  atomic.Int64
	done    chan struct{}
}

func serve(l net.Listener, h http.Handler) *server {
	s := &server{address: l.Addr(), done: make(chan struct{})}
	s.http = &http.Server{
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.active.Add(1)
			defer s.active.Add(-1)
			h.ServeHTTP(w, r)
		}),
	}
	go func() {
		defer close(s.done)
		// Serve returns when the server is shut down.
		_ = s.http.Serve(l)
	}()
	return s
}

// shutdown waits for all requests and returns how many were cut when ctx ended first.
func (s *server) shutdown(ctx context.Context) int {
	err := s.http.Shutdown(ctx)
	cut := 0
	if err != nil {
		cut = int(s.active.Load())
		_ = s.http.Close()
	}
	<-s.done
	return cut
}
