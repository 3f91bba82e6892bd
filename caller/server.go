package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"almondcove/intake"
)

const (
	// drainPollInterval is how often a server that shuts down looks for connections
	// without a request.
	drainPollInterval = 10 * time.Millisecond
	// firstRequestTimeout is how long a server that shuts down waits for the first
	// request on a connection that it has accepted.
	firstRequestTimeout = 500 * time.Millisecond
	// bodyDrainTimeout is how long a server that shuts down reads bodies that make
	// progress.
	bodyDrainTimeout = time.Second
	// bodyDrainStall is how long a body may make no progress meanwhile.
	bodyDrainStall = 500 * time.Millisecond
)

// ServerConfig configures a server.
type ServerConfig struct {
	Handler http.Handler
	// HeaderTimeout limits the reading of a request's header; it must not be zero.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a request is kept open.
	IdleTimeout time.Duration
	// Intake holds the limits on what is being read, which servers may share; nil means
	// the defaults.
	Intake *intake.Intake
	// MaxConnections is the number of connections; zero means no limit.
	MaxConnections int
}

// Server is an HTTP server that answers every request it has read, also while it shuts
// down. [http.Server.Shutdown] drops the requests whose header is read after its call.
type Server struct {
	http           http.Server
	intake         *intake.Intake
	maxConnections int
	// draining is set once every response closes its connection, and closing once the
	// listener is closed.
	draining, closing atomic.Bool
	// inProgress is the number of requests in progress.
	inProgress atomic.Int64
	// served is closed when Serve has returned.
	served chan struct{}

	mu       sync.Mutex
	listener net.Listener
	// connections holds the open connections that are not hijacked.
	connections map[net.Conn]connection
}

// connection is the state of a connection since a time.
type connection struct {
	state http.ConnState
	since time.Time
}

// NewServer returns a server for one listener, which [Server.Serve] takes.
func NewServer(c ServerConfig) *Server {
	if c.Intake == nil {
		c.Intake = intake.New(intake.Config{})
	}
	s := &Server{
		intake: c.Intake, maxConnections: c.MaxConnections, served: make(chan struct{}), connections: make(map[net.Conn]connection),
	}
	s.http = http.Server{
		ReadHeaderTimeout: c.HeaderTimeout,
		IdleTimeout:       c.IdleTimeout,
		MaxHeaderBytes:    c.Intake.Limits().HeaderBytes,
		ConnContext:       intake.WithConn,
		ConnState:         s.setState,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			s.inProgress.Add(1)
			defer s.inProgress.Add(-1)
			serveWithLinger(c.Handler, &responseWriter{ResponseWriter: w, server: s}, r)
		}),
	}
	return s
}

// Serve accepts connections until [Server.Shutdown] or [Server.Close], and then returns
// nil. Any other error is that of the listener.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	defer close(s.served)
	err := s.http.Serve(s.intake.Listener(l, s.maxConnections))
	if s.closing.Load() || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Drain makes every further response close its connection, so that callers open their
// next one elsewhere. The server still accepts connections.
func (s *Server) Drain() { s.draining.Store(true) }

// Shutdown closes the listener, and returns once every request that has been read has its
// answer and all connections are closed. A request whose header has not been read whole on
// an idle connection gets no answer, and one whose body makes no progress is not read to
// its end. If ctx ends first, it aborts the requests that are still in
// progress and returns their number.
func (s *Server) Shutdown(ctx context.Context) int {
	s.Drain()
	s.closing.Store(true)
	s.mu.Lock()
	l := s.listener
	s.mu.Unlock()
	if l != nil {
		// The listener is not used again, whatever the error.
		_ = l.Close()
		<-s.served
	}
	began := time.Now()
	tick := time.NewTicker(drainPollInterval)
	defer tick.Stop()
	// A handler that has hijacked its connection may not have registered its answer yet.
	for s.endUnused(time.Since(began)) > 0 || s.inProgress.Load() > 0 {
		select {
		case <-ctx.Done():
			aborted := int(s.inProgress.Load())
			s.Close()
			return aborted
		case <-tick.C:
		}
	}
	s.Close()
	return 0
}

// Close closes the listener and all connections at once.
func (s *Server) Close() {
	// The connections are given up, whatever the error.
	_ = s.http.Close()
}

// InProgress returns the number of requests in progress.
func (s *Server) InProgress() int64 { return s.inProgress.Load() }

func (s *Server) setState(c net.Conn, state http.ConnState) {
	if state == http.StateIdle {
		c.(*intake.Conn).Rest()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(s.connections, c)
		return
	}
	s.connections[c] = connection{state, time.Now()}
	if state == http.StateActive && s.closing.Load() {
		// endUnused may have set a deadline after the request's header was read. A
		// connection without deadlines is broken; its read fails anyway.
		_ = c.SetReadDeadline(time.Time{})
	}
}

// endUnused lets the reads of connections without a request fail, and those of bodies that
// take too long, and returns the number of open connections. Closing them instead could end
// a connection whose request has just been read.
func (s *Server) endUnused(elapsed time.Duration) int {
	stall := bodyDrainStall
	if elapsed >= bodyDrainTimeout {
		stall = 0
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, current := range s.connections {
		unused := current.state == http.StateIdle ||
			current.state == http.StateNew && time.Since(current.since) > firstRequestTimeout
		if unused {
			// A connection without deadlines is broken; its read fails anyway.
			_ = c.SetReadDeadline(time.Unix(1, 0))
			continue
		}
		c.(*intake.Conn).EndUnfinished(intake.Shutdown, stall)
	}
	return len(s.connections)
}

// responseWriter closes the connection after a response that is written while the server
// drains, and tells the caller so.
type responseWriter struct {
	http.ResponseWriter
	server *Server
	// wroteHeader is set once the header has been written.
	wroteHeader bool
}

// WriteHeader implements http.ResponseWriter.
func (w *responseWriter) WriteHeader(code int) {
	if !w.wroteHeader && w.server.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	w.wroteHeader = true
	w.ResponseWriter.WriteHeader(code)
}

// Write implements http.ResponseWriter.
func (w *responseWriter) Write(data []byte) (int, error) {
	if !w.wroteHeader {
		w.WriteHeader(http.StatusOK)
	}
	return w.ResponseWriter.Write(data)
}

// Unwrap returns the writer for [http.ResponseController].
func (w *responseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
