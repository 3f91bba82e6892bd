// Package intake bounds what clients make a process hold: bytes of bodies that are being
// read, open connections, and the time for which a body or a response makes no progress.
//
// A body takes its memory from a [Budget] as it arrives, in chunks. When the budget is
// used up, bodies that make no progress are ended first and then those that have taken
// longer than a client waits; a body that still finds no room is refused. A request
// whose body was not read whole has not been carried out, and its response says so.
//
// A [Intake.Listener] bounds its connections. At the bound, the connection that has
// been unused or without progress for the longest time is closed; one whose request is
// being carried out is not.
//
// # Usage
//
//	in := intake.New(intake.Config{Limits: intake.LimitsFor(memory, descriptors)})
//	err := server.Serve(in.Listener(listener, in.Limits().Connections))
//
// and in a handler, with a request's context that [WithConn] has made:
//
//	body, err := in.Read(r.Context(), http.MaxBytesReader(w, r.Body, maxBytes))
//	if err != nil { ... } // *EndedError: respond with 503 and Retry-After
//	defer body.Release()
//
// Before it hands the request on, a handler calls [Body.Keep] with the bytes that the request
// holds until it has its answer.
package intake

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
)

// The defaults of Limits. Clients wait a few seconds for a response.
const (
	defaultStall      = 10 * time.Second
	defaultWriteStall = 15 * time.Second
	defaultRate       = 1 << 10
	defaultRateGrace  = 30 * time.Second
	// DefaultHeaderBytes is the default of Limits.HeaderBytes.
	DefaultHeaderBytes = 16 << 10
)

const (
	// bodyShare and connectionShare are the parts of the memory of a process that bodies
	// and connections may take, as divisors.
	bodyShare       = 10
	connectionShare = 8
	// connectionBytes is what a connection takes besides its header: buffers and stacks.
	connectionBytes = 24 << 10
	// fileDescriptors is the number of descriptors that connections don't get.
	fileDescriptors = 200
	// acceptedShare is the part of the other descriptors that accepted connections may
	// take, as a divisor; connections to other processes need the rest.
	acceptedShare = 2
	// minConnections is the least bound on connections.
	minConnections = 16
)

// RetryAfter is the retry delay of a request that was refused or ended for want of room.
const RetryAfter = time.Second

// Limits bounds what clients make a process hold. A zero field has its default.
type Limits struct {
	// Bytes is the budget of the bodies that are being read; zero means no bound. A
	// single body may exceed it.
	Bytes int64
	// Waiting is the budget of the requests that were read whole and wait for their answers;
	// zero means no bound. A single request may exceed it.
	Waiting int64
	// Connections is the number of connections of a listener for callers; zero means no
	// bound.
	Connections int
	// HeaderBytes is the size of a request's header.
	HeaderBytes int
	// Stall is how long a body may make no progress.
	Stall time.Duration
	// WriteStall is how long the writing of a part of a response may take.
	WriteStall time.Duration
	// Rate is the least mean rate of a body in bytes a second, once it has been read for
	// RateGrace.
	Rate      int64
	RateGrace time.Duration
}

// LimitsFor returns the limits of a process that may use the given memory in bytes and
// number of descriptors. Zero means that it is not known, and sets no bound.
func LimitsFor(memory int64, descriptors int) Limits {
	var l Limits
	if memory > 0 {
		l.Bytes = memory / bodyShare
		l.Connections = int(memory / connectionShare / (connectionBytes + DefaultHeaderBytes))
	}
	if descriptors > 0 {
		n := max((descriptors-fileDescriptors)/acceptedShare, minConnections)
		if l.Connections == 0 || n < l.Connections {
			l.Connections = n
		}
	}
	return l
}

func (l Limits) withDefaults() Limits {
	if l.HeaderBytes == 0 {
		l.HeaderBytes = DefaultHeaderBytes
	}
	if l.Stall == 0 {
		l.Stall = defaultStall
	}
	if l.WriteStall == 0 {
		l.WriteStall = defaultWriteStall
	}
	if l.Rate == 0 {
		l.Rate = defaultRate
	}
	if l.RateGrace == 0 {
		l.RateGrace = defaultRateGrace
	}
	return l
}

// Config configures an [Intake].
type Config struct {
	Limits Limits
	// Log receives at most one line a second. It may be nil.
	Log hclog.Logger
}

// Intake holds the limits of a process, which all its servers share. It is safe for
// concurrent use.
type Intake struct {
	limits Limits
	// budget is that of the bodies that are being read, and waiting that of the requests
	// that wait for their answers.
	budget, waiting *Budget

	connections atomic.Int64
	log         hclog.Logger

	mu sync.Mutex
	// ended counts by reason what was ended or refused.
	ended map[Reason]int64
	// logged is when the last line was logged.
	logged time.Time
}

// logInterval is the least time between two lines of the log.
const logInterval = time.Second

// New returns an intake.
func New(c Config) *Intake {
	if c.Log == nil {
		c.Log = hclog.NewNullLogger()
	}
	limits := c.Limits.withDefaults()
	return &Intake{
		limits: limits, budget: NewBudget(limits.Bytes), waiting: NewBudget(limits.Waiting), log: c.Log,
		ended: make(map[Reason]int64),
	}
}

// Limits returns the limits in force.
func (in *Intake) Limits() Limits { return in.limits }

// Budget returns the budget of the bodies that are being read.
func (in *Intake) Budget() *Budget { return in.budget }

// Waiting returns the budget of the requests that wait for their answers.
func (in *Intake) Waiting() *Budget { return in.waiting }

// count counts a body or connection that was ended, and logs the sums.
func (in *Intake) count(r Reason) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.ended[r]++
	now := time.Now()
	if !in.logged.IsZero() && now.Sub(in.logged) < logInterval {
		return
	}
	in.logged = now
	held, bodies := in.budget.Held()
	waiting, requests := in.waiting.Held()
	args := []any{
		"held", held, "bodies", bodies, "waiting", waiting, "requests", requests, "connections", in.connections.Load(),
	}
	for _, reason := range reasons {
		args = append(args, string(reason), in.ended[reason])
	}
	in.log.Warn("clients beyond a limit were ended or refused; the counts are since the start", args...)
}

// Reason says why a body or connection was ended.
type Reason string

// The reasons.
const (
	// Stalled means that a body made no progress for Limits.Stall.
	Stalled Reason = "stalled"
	// Slow means that a body was slower than Limits.Rate.
	Slow Reason = "slow"
	// Evicted means that a body gave way to others.
	Evicted Reason = "evicted"
	// Full means that a body found no room.
	Full Reason = "full"
	// Backlog means that the requests that wait for their answers left no room.
	Backlog Reason = "backlog"
	// Refused means that there were too many connections whose requests are being carried
	// out.
	Refused Reason = "refused"
	// Replaced means that a connection gave way to a new one.
	Replaced Reason = "replaced"
	// Unread means that a client did not read its response.
	Unread Reason = "unread"
	// Shutdown means that the server shuts down.
	Shutdown Reason = "shutdown"
)

var reasons = []Reason{Stalled, Slow, Evicted, Full, Backlog, Refused, Replaced, Unread, Shutdown}

// EndedError reports a request that a limit has ended: its body was not read to its end, or
// found no room afterwards. The request has not been carried out.
type EndedError struct{ Reason Reason }

func (e *EndedError) Error() string {
	return "intake: request ended by a limit: " + string(e.Reason)
}

// The descriptions of the metrics.
var (
	heldDesc        = prometheus.NewDesc("almondcove_body_bytes", "Bytes held for bodies that are being read.", nil, nil)
	bodiesDesc      = prometheus.NewDesc("almondcove_bodies", "Bodies that are being read.", nil, nil)
	waitingDesc     = prometheus.NewDesc("almondcove_waiting_bytes", "Bytes held for requests that wait for their answers.", nil, nil)
	requestsDesc    = prometheus.NewDesc("almondcove_waiting_requests", "Requests with a body that wait for their answers.", nil, nil)
	connectionsDesc = prometheus.NewDesc("almondcove_connections", "Accepted connections that are open.", nil, nil)
	endedDesc       = prometheus.NewDesc("almondcove_intake_ended_total", "Bodies and connections that were ended or refused, by reason.", []string{"reason"}, nil)
)

// Describe implements [prometheus.Collector].
func (in *Intake) Describe(out chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{heldDesc, bodiesDesc, waitingDesc, requestsDesc, connectionsDesc, endedDesc} {
		out <- d
	}
}

// Collect implements [prometheus.Collector].
func (in *Intake) Collect(out chan<- prometheus.Metric) {
	held, bodies := in.budget.Held()
	out <- prometheus.MustNewConstMetric(heldDesc, prometheus.GaugeValue, float64(held))
	out <- prometheus.MustNewConstMetric(bodiesDesc, prometheus.GaugeValue, float64(bodies))
	waiting, requests := in.waiting.Held()
	out <- prometheus.MustNewConstMetric(waitingDesc, prometheus.GaugeValue, float64(waiting))
	out <- prometheus.MustNewConstMetric(requestsDesc, prometheus.GaugeValue, float64(requests))
	out <- prometheus.MustNewConstMetric(connectionsDesc, prometheus.GaugeValue, float64(in.connections.Load()))
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, reason := range reasons {
		out <- prometheus.MustNewConstMetric(endedDesc, prometheus.CounterValue, float64(in.ended[reason]), string(reason))
	}
}
