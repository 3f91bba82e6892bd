// Package upstream runs tasks on upstream VMs over HTTP and finds out what
// became of them.
//
// One [Client.Run] is the whole conversation about one task with one VM. The
// task is sent with PUT. When the answer is late, broken, or another task's,
// the client asks for the task by its id over a new connection, since the old
// one may be dead: a running task is waited for, a finished one's answer is
// taken, and one that the VM has never seen is fenced with DELETE, after which
// it can never run there. Only a fenced, refused or unsent task may go to
// another VM.
//
// # Usage
//
//	c := upstream.New(upstream.Config{Silence: time.Second})
//	res := c.Run(ctx, addr, upstream.Request{ID: id, Team: "till", Body: body})
//	if res.Proof.Free() {
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

// The defaults of a client.
const (
	DefaultSilence = 500 * time.Millisecond
	// askTimeout bounds one question about a task.
	askTimeout = time.Second
	// askPause and askPauseMost bound the time between questions.
	askPause     = 25 * time.Millisecond
	askPauseMost = 2 * time.Second
	// resumeGrace is how long a task that another entry is about to send may
	// stay unseen before it is fenced.
	resumeGrace = 500 * time.Millisecond
	// MaxAnswer bounds the body of an answer.
	MaxAnswer = 16 << 20
)

// Dial opens a connection.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// Config configures a client.
type Config struct {
	// Silence is how long a sent task may go unanswered before the client asks
	// for it over a new connection; zero means DefaultSilence.
	Silence time.Duration
	// Dial opens connections; nil means TCP.
	Dial Dial
	// Conns bounds the connections kept open to one VM; zero means 64.
	Conns int
}

// Client talks to any number of VMs. Its methods may be called from any goroutine.
type Client struct {
	silence time.Duration
	kept    *http.Transport
	fresh   *http.Transport
	// boots maps a VM's address to the run of its process that answered last.
	boots sync.Map
}

// Request is one task for one VM.
type Request struct {
	ID    task.ID
	Team  string
	Queue string
	Body  []byte
	// Type and Accept are passed on from the caller.
	Type   string
	Accept string
	// NotAfter is the last moment at which the VM may start the task.
	NotAfter time.Time
	// Lease is the longest run time.
	Lease time.Duration
	// Silence replaces the client's own when positive.
	Silence time.Duration
	// Silent is called when a question about the task gives no sign of the VM;
	// nil is allowed.
	Silent func()
	// Patience is how long the client goes on without any sign of the task
	// before it gives up with nothing proved; zero means until ctx ends.
	Patience time.Duration
	// Resume asks for a task that another entry may have sent, instead of
	// sending it. Boot is the run of the VM's process that it was sent to.
	Resume bool
	Boot   string
}

// Result is what the conversation showed.
type Result struct {
	Proof  task.Proof
	Answer task.Answered
	// Why is the VM's word for a refusal.
	Why string
	// Load is the number of tasks on the VM; negative means unknown.
	Load int
	// Asked is the number of questions that were needed.
	Asked int
	// boot names the run of the VM's process that answered.
	boot string
}

// New returns a client. It opens no connection.
func New(c Config) *Client {
	if c.Silence <= 0 {
		c.Silence = DefaultSilence
	}
	if c.Dial == nil {
		c.Dial = (&net.Dialer{Timeout: askTimeout}).DialContext
	}
	if c.Conns <= 0 {
		c.Conns = 64
	}
	return &Client{
		silence: c.Silence,
		kept: &http.Transport{
			DialContext:         c.Dial,
			MaxIdleConnsPerHost: c.Conns,
			IdleConnTimeout:     30 * time.Second,
			DisableCompression:  true,
		},
		fresh: &http.Transport{
			DialContext:        c.Dial,
			DisableKeepAlives:  true,
			DisableCompression: true,
		},
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.kept.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Run sends the task to the VM and returns what is proved about it. It ends
// with [task.Nothing] or [task.Running] only when ctx ends first.
func (c *Client) Run(ctx context.Context, vm netip.AddrPort, r Request) Result {
	boot, _ := c.boots.Load(vm)
	if r.Resume {
		return c.settle(ctx, vm, r, r.Boot, nil)
	}
	sending, stop := context.WithCancel(ctx)
	defer stop()
	sent := make(chan Result, 1)
	go func() { sent <- c.put(sending, vm, r) }()
	silence := c.silence
	if r.Silence > 0 {
		silence = r.Silence
	}
	timer := time.NewTimer(silence)
	defer timer.Stop()
	select {
	case res := <-sent:
		if res.Proof != task.Nothing {
			return res
		}
		return c.settle(ctx, vm, r, boot, nil)
	case <-timer.C:
		return c.settle(ctx, vm, r, boot, sent)
	case <-ctx.Done():
		return Result{Load: -1}
	}
}

// settle asks for the task until its fate is proved or ctx ends. An answer
// that still comes on sent is taken. A refusal counts only from the run of the
// VM's process that was there before the task was sent, since a later one may
// have forgotten the task; boot is nil when that run is unknown.
func (c *Client) settle(ctx context.Context, vm netip.AddrPort, r Request, boot any, sent <-chan Result) Result {
	last := Result{Load: -1}
	begun := time.Now()
	sign := begun
	wait := askPause
	for asked := 1; ; asked++ {
		res := c.ask(ctx, vm, r.ID)
		if res.Proof == task.Unseen && (!r.Resume || time.Since(begun) > resumeGrace) {
			res = c.fence(ctx, vm, r.ID)
		}
		res.Asked = asked
		if res.Proof == task.Refused && boot != res.boot {
			res.Proof = task.Nothing
		}
		switch res.Proof {
		case task.Done, task.Refused, task.Ended:
			return res
		case task.Running:
			last = res
			sign = time.Now()
		case task.Nothing, task.Unsent:
			if r.Silent != nil {
				r.Silent()
			}
		}
		last.Asked = asked
		if r.Patience > 0 && time.Since(sign) > r.Patience {
			return last
		}
		timer := time.NewTimer(wait)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return last
		case res := <-sent:
			timer.Stop()
			if res.Proof != task.Nothing {
				res.Asked = asked
				return res
			}
			sent = nil
		}
		wait = min(2*wait, askPauseMost)
	}
}

// put sends the task and reads the answer.
func (c *Client) put(ctx context.Context, vm netip.AddrPort, r Request) Result {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, address(vm, r.ID), bytes.NewReader(r.Body))
	if err != nil {
		return Result{Proof: task.Unsent, Load: -1}
	}
	// Without GetBody the transport can't send the task twice by itself.
	req.GetBody = nil
	h := req.Header
	h.Set(HeaderTeam, r.Team)
	h.Set(HeaderQueue, r.Queue)
	h.Set(HeaderLease, r.Lease.String())
	h.Set(HeaderNotAfter, r.NotAfter.UTC().Format(time.RFC3339Nano))
	if r.Type != "" {
		h.Set("Content-Type", r.Type)
	}
	if r.Accept != "" {
		h.Set("Accept", r.Accept)
	}
	return c.exchange(c.kept, vm, req, r.ID)
}

// ask asks for the task by its id over a new connection.
func (c *Client) ask(ctx context.Context, vm netip.AddrPort, id task.ID) Result {
	return c.question(ctx, http.MethodGet, vm, id)
}

// fence makes sure that a task which the VM has not seen never starts there.
func (c *Client) fence(ctx context.Context, vm netip.AddrPort, id task.ID) Result {
	res := c.question(ctx, http.MethodDelete, vm, id)
	if res.Proof == task.Done || res.Proof == task.Ended {
		// The task arrived in between and was stopped; its end is proved.
		res.Proof = task.Ended
	}
	if res.Proof == task.Refused {
		res.Why = WhyFenced
	}
	return res
}

// Reboot asks a VM to maintain itself and start anew. It reports whether the
// VM took the request.
func (c *Client) Reboot(ctx context.Context, vm netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm.String()+"/reboot", http.NoBody)
	if err != nil {
		return false
	}
	res, err := c.fresh.RoundTrip(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusAccepted
}

// Usage asks a VM for its usage over a new connection. It reports false when
// the VM gives no readable answer.
func (c *Client) Usage(ctx context.Context, vm netip.AddrPort) (Usage, bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var out Usage
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.String()+"/usage", http.NoBody)
	if err != nil {
		return out, false
	}
	res, err := c.fresh.RoundTrip(req)
	if err != nil {
		return out, false
	}
	defer func() { _ = res.Body.Close() }()
	err = json.NewDecoder(io.LimitReader(res.Body, MaxAnswer)).Decode(&out)
	return out, err == nil && res.StatusCode == http.StatusOK
}

// Boot returns the run of the VM's process that answered last. A VM that has
// not answered yet is asked; "" means that it gives no answer.
func (c *Client) Boot(ctx context.Context, vm netip.AddrPort) string {
	if boot, ok := c.boots.Load(vm); ok {
		return boot.(string)
	}
	use, ok := c.Usage(ctx, vm)
	if !ok {
		return ""
	}
	// An answer about a task that came meanwhile is as good.
	boot, _ := c.boots.LoadOrStore(vm, use.Boot)
	return boot.(string)
}

// Stop ends the task and reports whether its end is proved.
func (c *Client) Stop(ctx context.Context, vm netip.AddrPort, id task.ID) bool {
	switch c.fence(ctx, vm, id).Proof {
	case task.Refused, task.Ended:
		return true
	}
	return false
}

func (c *Client) question(ctx context.Context, method string, vm netip.AddrPort, id task.ID) Result {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, address(vm, id), http.NoBody)
	if err != nil {
		return Result{Load: -1}
	}
	return c.exchange(c.fresh, vm, req, id)
}

func address(vm netip.AddrPort, id task.ID) string {
	return "http://" + vm.String() + "/tasks/" + string(id)
}

// exchange sends one request and says what the answer proves.
func (c *Client) exchange(t *http.Transport, vm netip.AddrPort, req *http.Request, id task.ID) Result {
	res, err := t.RoundTrip(req)
	if err != nil {
		return Result{Proof: proofOf(err), Load: -1}
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, MaxAnswer))
	_ = res.Body.Close()
	if err != nil {
		return Result{Load: -1}
	}
	c.boots.Store(vm, res.Header.Get(HeaderBoot))
	return judge(req.Method, id, res, body)
}

// proofOf tells a request that was never sent from one that may have arrived.
func proofOf(err error) task.Proof {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return task.Unsent
	}
	return task.Nothing
}

// judge says what an answer proves about the task.
func judge(method string, id task.ID, res *http.Response, body []byte) Result {
	out := Result{Load: loadOf(res.Header), boot: res.Header.Get(HeaderBoot)}
	if res.Header.Get(HeaderTask) != string(id) {
		// The answer to another task proves nothing about this one.
		return out
	}
	run := res.Header.Get(HeaderRun)
	switch {
	case run == RunNo:
		out.Proof = task.Refused
		out.Why = res.Header.Get(HeaderWhy)
	case run != RunYes:
		if method == http.MethodGet && res.StatusCode == http.StatusNotFound {
			out.Proof = task.Unseen
		}
	case method == http.MethodDelete || res.StatusCode == http.StatusGone:
		out.Proof = task.Ended
	case res.StatusCode == http.StatusAccepted && method == http.MethodGet:
		out.Proof = task.Running
	case whole(res.Header, body):
		out.Proof = task.Done
		out.Answer = task.Answered{Status: res.StatusCode, Header: res.Header, Body: body}
	}
	return out
}

func loadOf(h http.Header) int {
	n, err := strconv.Atoi(h.Get(HeaderLoad))
	if err != nil {
		return -1
	}
	return n
}
