// Package upstream runs tasks on upstream VMs over HTTP and determines their
// outcomes.
//
// One [Client.Run] covers all requests about one task to one VM. The client
// sends the task with PUT. If the response is late, is damaged or belongs to
// another task, the client queries the task by its id over a new connection,
// since the old connection may be dead. While the task runs, the client keeps
// querying it; once the task has finished, it accepts the answer. If the VM does
// not know the task, the client fences it with DELETE, after which the task can
// never run there. Only a fenced, refused or unsent task may be sent to another VM.
//
// # Usage
//
//	c := upstream.New(upstream.Config{QueryAfter: time.Second})
//	res := c.Run(ctx, addr, upstream.Request{ID: id, Team: "orders", Body: body})
//	if res.Proof.AllowsResend() {
//		// choose another VM
//	}
package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"almondcove/task"
)

// Defaults and limits of a client.
const (
	// DefaultQueryAfter is the default of Config.QueryAfter.
	DefaultQueryAfter = 500 * time.Millisecond
	// queryTimeout is the time limit of a request other than the PUT of a task, and
	// of opening a connection with the default dialer.
	queryTimeout = time.Second
	// minQueryInterval and maxQueryInterval limit the time between queries, which
	// doubles after each query.
	minQueryInterval = 25 * time.Millisecond
	maxQueryInterval = 2 * time.Second
	// resumeGrace is how long the client queries a resumed task that the VM does not
	// know before it fences the task: the other entry may be just about to send it.
	resumeGrace = 500 * time.Millisecond
	// MaxAnswerBytes is the largest response body that is read.
	MaxAnswerBytes = 16 << 20
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Config configures a client.
type Config struct {
	// QueryAfter is how long a sent task may go unanswered before the client
	// queries it over a new connection; zero means DefaultQueryAfter.
	QueryAfter time.Duration
	// Dial opens connections; nil means TCP.
	Dial DialFunc
	// MaxIdleConnsPerVM is the largest number of idle connections kept open to
	// one VM; zero means 64.
	MaxIdleConnsPerVM int
}

// Client sends requests to any number of VMs. Its methods are safe for concurrent
// use.
type Client struct {
	queryAfter time.Duration
	keepAlive  *http.Transport
	singleUse  *http.Transport
	// bootIDs maps the address of a VM to the boot ID of its last response, which
	// identifies the run of the VM's process.
	bootIDs sync.Map
}

// Request is one task for one VM.
type Request struct {
	ID    task.ID
	Team  string
	Queue string
	Body  []byte
	// ContentType and Accept are the values of the caller's headers.
	ContentType string
	Accept      string
	// NotAfter is the latest time at which the VM may start the task.
	NotAfter time.Time
	// Lease is the longest run time of the task.
	Lease time.Duration
	// QueryAfter overrides Config.QueryAfter when positive.
	QueryAfter time.Duration
	// OnNoResponse, if not nil, is called when a query about the task proves
	// nothing: the VM could not be reached, or its response was missing, unusable
	// or from another run of its process.
	OnNoResponse func()
	// NoResponseTimeout is how long the client continues since the start or the last
	// response that showed the task running. Then it gives up without a proof of the
	// outcome. Zero means that it continues until ctx ends.
	NoResponseTimeout time.Duration
	// Resume makes the client query a task that another entry may have sent,
	// instead of sending it. BootID identifies the run of the VM's process to which
	// that entry sent it.
	Resume bool
	BootID string
}

// Result is what the requests about a task showed.
type Result struct {
	Proof  task.Proof
	Answer task.Answered
	// Refusal is the VM's reason for refusing the task, one of the Refusal values.
	Refusal string
	// Load is the number of tasks running on the VM; negative means unknown.
	Load int
	// Queries is the number of queries that were needed.
	Queries int
	// bootID identifies the run of the VM's process that responded.
	bootID string
}

// New returns a client. It opens no connection.
func New(c Config) *Client {
	if c.QueryAfter <= 0 {
		c.QueryAfter = DefaultQueryAfter
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{Timeout: queryTimeout}).DialContext
	}
	if c.MaxIdleConnsPerVM <= 0 {
		c.MaxIdleConnsPerVM = 64
	}
	return &Client{
		queryAfter: c.QueryAfter,
		keepAlive: &http.Transport{
			DialContext:         c.Dial,
			MaxIdleConnsPerHost: c.MaxIdleConnsPerVM,
			IdleConnTimeout:     30 * time.Second,
			DisableCompression:  true,
		},
		singleUse: &http.Transport{
			DialContext:        c.Dial,
			DisableKeepAlives:  true,
			DisableCompression: true,
		},
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.keepAlive.CloseIdleConnections()
	c.singleUse.CloseIdleConnections()
}

// Run sends the task to the VM and returns what is proved about it. It returns
// [task.Inconclusive] or [task.Running] only when ctx ends or
// Request.NoResponseTimeout passes first.
func (c *Client) Run(ctx context.Context, vm netip.AddrPort, r Request) Result {
	bootID, _ := c.bootIDs.Load(vm)
	if r.Resume {
		return c.resolve(ctx, vm, r, r.BootID, nil)
	}
	putCtx, stop := context.WithCancel(ctx)
	defer stop()
	sent := make(chan Result, 1)
	go func() { sent <- c.put(putCtx, vm, r) }()
	queryAfter := c.queryAfter
	if r.QueryAfter > 0 {
		queryAfter = r.QueryAfter
	}
	timer := time.NewTimer(queryAfter)
	defer timer.Stop()
	select {
	case res := <-sent:
		if res.Proof != task.Inconclusive {
			return res
		}
		return c.resolve(ctx, vm, r, bootID, nil)
	case <-timer.C:
		return c.resolve(ctx, vm, r, bootID, sent)
	case <-ctx.Done():
		return Result{Load: -1}
	}
}

// resolve queries the task until its outcome is proved, ctx ends or
// r.NoResponseTimeout passes. It also accepts the response to the original request
// if that still arrives on sent. bootID identifies the run of the VM's process
// before the task was sent; nil means unknown. A refusal in response to a query
// proves something only if it comes from that run: a VM that has restarted may have
// run the task and no longer know it.
func (c *Client) resolve(ctx context.Context, vm netip.AddrPort, r Request, bootID any, sent <-chan Result) Result {
	last := Result{Load: -1}
	start := time.Now()
	lastSeen := start
	interval := minQueryInterval
	for queries := 1; ; queries++ {
		res := c.query(ctx, vm, r.ID)
		if res.Proof == task.NotFound && (!r.Resume || time.Since(start) > resumeGrace) {
			res = c.fence(ctx, vm, r.ID)
		}
		res.Queries = queries
		if res.Proof == task.Refused && bootID != res.bootID {
			res.Proof = task.Inconclusive
		}
		switch res.Proof {
		case task.Done, task.Refused, task.EndedWithoutAnswer:
			return res
		case task.Running:
			last = res
			lastSeen = time.Now()
		case task.Inconclusive, task.Unsent:
			if r.OnNoResponse != nil {
				r.OnNoResponse()
			}
		}
		last.Queries = queries
		if r.NoResponseTimeout > 0 && time.Since(lastSeen) > r.NoResponseTimeout {
			return last
		}
		timer := time.NewTimer(interval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return last
		case res := <-sent:
			timer.Stop()
			if res.Proof != task.Inconclusive {
				res.Queries = queries
				return res
			}
			sent = nil
		}
		interval = min(2*interval, maxQueryInterval)
	}
}

// put sends the task and reads the response.
func (c *Client) put(ctx context.Context, vm netip.AddrPort, r Request) Result {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, taskURL(vm, r.ID), bytes.NewReader(r.Body))
	if err != nil {
		return Result{Proof: task.Unsent, Load: -1}
	}
	// Without GetBody the transport cannot retry the request on its own, so it never
	// sends the task twice.
	req.GetBody = nil
	h := req.Header
	h.Set(HeaderTeam, r.Team)
	h.Set(HeaderQueue, r.Queue)
	h.Set(HeaderLease, r.Lease.String())
	h.Set(HeaderNotAfter, r.NotAfter.UTC().Format(time.RFC3339Nano))
	if r.ContentType != "" {
		h.Set("Content-Type", r.ContentType)
	}
	if r.Accept != "" {
		h.Set("Accept", r.Accept)
	}
	return c.exchange(c.keepAlive, vm, req, r.ID)
}

// query requests the state of the task by its id over a new connection.
func (c *Client) query(ctx context.Context, vm netip.AddrPort, id task.ID) Result {
	return c.sendByID(ctx, http.MethodGet, vm, id)
}

// fence ensures that a task that the VM does not know never starts there.
func (c *Client) fence(ctx context.Context, vm netip.AddrPort, id task.ID) Result {
	res := c.sendByID(ctx, http.MethodDelete, vm, id)
	if res.Proof == task.Done || res.Proof == task.EndedWithoutAnswer {
		// The task arrived meanwhile and was stopped, which proves its end.
		res.Proof = task.EndedWithoutAnswer
	}
	if res.Proof == task.Refused {
		res.Refusal = RefusalFenced
	}
	return res
}

// Reboot asks a VM to perform its maintenance and restart. It reports whether
// the VM accepted the request.
func (c *Client) Reboot(ctx context.Context, vm netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm.String()+"/reboot", http.NoBody)
	if err != nil {
		return false
	}
	res, err := c.singleUse.RoundTrip(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusAccepted
}

// Usage requests the usage of a VM over a new connection. It reports false when
// the VM returns no readable response with status 200.
func (c *Client) Usage(ctx context.Context, vm netip.AddrPort) (Usage, bool) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var out Usage
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.String()+"/usage", http.NoBody)
	if err != nil {
		return out, false
	}
	res, err := c.singleUse.RoundTrip(req)
	if err != nil {
		return out, false
	}
	defer func() { _ = res.Body.Close() }()
	err = json.NewDecoder(io.LimitReader(res.Body, MaxAnswerBytes)).Decode(&out)
	return out, err == nil && res.StatusCode == http.StatusOK
}

// BootID returns the identifier of the run of the VM's process that responded last.
// If the VM has not responded yet, it requests the VM's usage, and returns "" if that
// fails.
func (c *Client) BootID(ctx context.Context, vm netip.AddrPort) string {
	if bootID, ok := c.bootIDs.Load(vm); ok {
		return bootID.(string)
	}
	usage, ok := c.Usage(ctx, vm)
	if !ok {
		return ""
	}
	// A response about a task may have stored a boot ID meanwhile, which takes
	// precedence.
	bootID, _ := c.bootIDs.LoadOrStore(vm, usage.Boot)
	return bootID.(string)
}

// Stop stops the task on the VM, or fences it if the VM does not know it. It reports
// whether it is proved that the task has ended there or can never start.
func (c *Client) Stop(ctx context.Context, vm netip.AddrPort, id task.ID) bool {
	switch c.fence(ctx, vm, id).Proof {
	case task.Refused, task.EndedWithoutAnswer:
		return true
	}
	return false
}

// sendByID sends a request without a body for the task's URL over a new
// connection.
func (c *Client) sendByID(ctx context.Context, method string, vm netip.AddrPort, id task.ID) Result {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, taskURL(vm, id), http.NoBody)
	if err != nil {
		return Result{Load: -1}
	}
	return c.exchange(c.singleUse, vm, req, id)
}

func taskURL(vm netip.AddrPort, id task.ID) string {
	return "http://" + vm.String() + "/tasks/" + string(id)
}

// exchange sends one request and returns what the response proves.
func (c *Client) exchange(t *http.Transport, vm netip.AddrPort, req *http.Request, id task.ID) Result {
	res, err := t.RoundTrip(req)
	if err != nil {
		return Result{Proof: transportErrorProof(err), Load: -1}
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, MaxAnswerBytes))
	_ = res.Body.Close()
	if err != nil {
		return Result{Load: -1}
	}
	c.bootIDs.Store(vm, res.Header.Get(HeaderBoot))
	return interpret(req.Method, id, res, body)
}

// transportErrorProof distinguishes a request that was never sent from one that
// may have arrived.
func transportErrorProof(err error) task.Proof {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return task.Unsent
	}
	return task.Inconclusive
}

// interpret returns what a response proves about the task.
func interpret(method string, id task.ID, res *http.Response, body []byte) Result {
	out := Result{Load: parseLoad(res.Header), bootID: res.Header.Get(HeaderBoot)}
	if res.Header.Get(HeaderTask) != string(id) {
		// The response for another task proves nothing about this one.
		return out
	}
	run := res.Header.Get(HeaderRun)
	switch {
	case run == RunNo:
		out.Proof = task.Refused
		out.Refusal = res.Header.Get(HeaderWhy)
	case run != RunYes:
		if method == http.MethodGet && res.StatusCode == http.StatusNotFound {
			out.Proof = task.NotFound
		}
	case method == http.MethodDelete || res.StatusCode == http.StatusGone:
		out.Proof = task.EndedWithoutAnswer
	case res.StatusCode == http.StatusAccepted && method == http.MethodGet:
		out.Proof = task.Running
	case bodyIntact(res.Header, body):
		out.Proof = task.Done
		out.Answer = task.Answered{Status: res.StatusCode, Header: res.Header, Body: body}
	}
	return out
}

// parseLoad returns the load that the headers state, or -1.
func parseLoad(h http.Header) int {
	n, err := strconv.Atoi(h.Get(HeaderLoad))
	if err != nil {
		return -1
	}
	return n
}
