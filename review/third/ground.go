package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// The figures of the deployment, which are those of the small site of the cases.
const (
	entryMemoryMb  = 284
	maxBodyBytes   = 262144
	callerHost     = "jobs.example"
	callerPrefix   = "/till/"
	callerKey      = "jbvk9m68k7b2ex5wa5xw"
	servedBy       = "till"
	callerDeadline = 3 * time.Second
	retries        = 4
)

// ground is everything that a case needs: the store, the minions, the entries and the record.
type ground struct {
	began   time.Time
	suffix  string
	dir     string
	block   string
	store   *kvStore
	minions []*minion
	entries []*entryProcess

	recordMu sync.Mutex
	record   *os.File

	runMu sync.Mutex
	// runs holds the runs at work by task, and done the tasks of which a run has ended as done.
	runs map[string]map[int]*minion
	done map[string]int
	// starts counts the starts, and overlaps those of a task that was at work.
	starts, overlaps int
	// jobDone counts the tasks that have ended as done by job, atWork those that are at work, and
	// workedAt is when one of them last was.
	jobDone, atWork map[string]int
	workedAt        map[string]time.Time
	// zoneStarts lists the times of the starts in each zone.
	zoneStarts map[string][]time.Time
}

// newGround starts the stand-ins. The record is written to file.
func newGround(file string, minions int) (*ground, error) {
	record, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "third")
	if err != nil {
		return nil, err
	}
	g := &ground{
		began: time.Now(), suffix: fmt.Sprintf("%04x", rand.IntN(1<<16)), dir: dir, record: record,
		runs: make(map[string]map[int]*minion), done: make(map[string]int), jobDone: make(map[string]int), atWork: make(map[string]int),
		workedAt: make(map[string]time.Time), zoneStarts: make(map[string][]time.Time),
	}
	if err := g.chooseBlock(); err != nil {
		return nil, err
	}
	g.store = newKVStore(g.note)
	if err := g.serve(g.host(1)+":8344", g.store); err != nil {
		return nil, err
	}
	if err := g.serve(g.host(2)+":8344", http.HandlerFunc(g.serveCloud)); err != nil {
		return nil, err
	}
	g.store.write("op/config", mustJSON(operatorConfig()))
	for n := range minions {
		m := newMinion(g, n, servedBy, fmt.Sprintf("%s:8080", g.host(100+n)), zoneOf(n))
		g.minions = append(g.minions, m)
		if err := g.serve(m.addr, m); err != nil {
			return nil, err
		}
	}
	return g, nil
}

// chooseBlock chooses a block of loopback addresses of which the fixed ports are free.
func (g *ground) chooseBlock() error {
	var err error
	for range 50 {
		g.block = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		if err = g.blockFree(); err == nil {
			return nil
		}
	}
	return err
}

func (g *ground) blockFree() error {
	for _, a := range []string{g.host(1) + ":8344", g.host(11) + ":8340", g.host(12) + ":7000", g.host(13) + ":9464"} {
		l, err := net.Listen("tcp", a)
		if err != nil {
			return err
		}
		if err := l.Close(); err != nil {
			return err
		}
	}
	return nil
}

func (g *ground) host(n int) string { return fmt.Sprintf("%s.%d", g.block, n) }

func zoneOf(n int) string { return "stred-" + string(rune('a'+n%3)) }

func (g *ground) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	go func() { _ = (&http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}).Serve(l) }()
	return nil
}

// note writes a line to the record.
func (g *ground) note(format string, args ...any) {
	g.recordMu.Lock()
	defer g.recordMu.Unlock()
	// A record that can't be written shows as an empty file.
	_, _ = fmt.Fprintf(g.record, "%8.3f  %s\n", time.Since(g.began).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and removes the folder of their settings.
func (g *ground) close() {
	for _, e := range g.entries {
		e.end()
	}
	// The case is over, whatever the errors.
	_ = os.RemoveAll(g.dir)
	_ = g.record.Close()
}

// begun notes a start. The minion holds its own lock.
func (g *ground) begun(m *minion, id runID, _ string) {
	g.runMu.Lock()
	defer g.runMu.Unlock()
	g.starts++
	if g.runs[id.task] == nil {
		g.runs[id.task] = make(map[int]*minion)
	}
	if len(g.runs[id.task]) > 0 {
		g.overlaps++
		g.note("minion %s: run %d of %s starts while another one is at work", m.id, id.run, id.task)
	}
	g.runs[id.task][id.run] = m
	g.atWork[jobOf(id)]++
	g.zoneStarts[m.zone] = append(g.zoneStarts[m.zone], time.Now())
}

// ended notes an end.
func (g *ground) ended(id runID, how string) {
	g.runMu.Lock()
	defer g.runMu.Unlock()
	delete(g.runs[id.task], id.run)
	g.atWork[jobOf(id)]--
	g.workedAt[jobOf(id)] = time.Now()
	if how == "done" {
		g.done[id.task]++
		g.jobDone[jobOf(id)]++
	}
}

// jobOf returns the job of a run.
func jobOf(id runID) string {
	name, _, _ := strings.Cut(id.task, ".")
	return name
}

// idleFor returns how long no task of a job has been at work, since a time at the most.
func (g *ground) idleFor(id string, since time.Time) time.Duration {
	g.runMu.Lock()
	defer g.runMu.Unlock()
	if g.atWork[id] > 0 {
		return 0
	}
	if g.workedAt[id].After(since) {
		since = g.workedAt[id]
	}
	return time.Since(since)
}

// startsSince returns how many tasks have started in a zone since a time.
func (g *ground) startsSince(zone string, since time.Time) int {
	g.runMu.Lock()
	defer g.runMu.Unlock()
	n := 0
	for _, at := range g.zoneStarts[zone] {
		if at.After(since) {
			n++
		}
	}
	return n
}

// tasksAtWork returns how many tasks are at work on all minions.
func (g *ground) tasksAtWork() int {
	g.runMu.Lock()
	defer g.runMu.Unlock()
	n := 0
	for _, count := range g.atWork {
		n += count
	}
	return n
}

// tasksDone returns how many tasks of a job have ended as done.
func (g *ground) tasksDone(id string) int {
	g.runMu.Lock()
	defer g.runMu.Unlock()
	return g.jobDone[id]
}

// operatorConfig returns the operator's configuration.
func operatorConfig() map[string]any {
	return map[string]any{
		"version": 7,
		"routes": []map[string]any{{
			"name": "r-till", "host": callerHost, "prefix": callerPrefix, "kind": "unsafe", "timeoutMs": 3000, "sloMs": 600,
			"prio": 0, "service": servedBy, "attempts": 2, "stretch": 1.6, "public": false,
		}},
		"services": []map[string]any{{
			"name": servedBy, "healthPath": "/health", "maxConns": 64, "proto": "h1", "tls": false, "coldS": 0.0, "coldPerS": 0.0,
			"enforcesCapacity": false, "spare": false,
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": maxBodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{
			"name": "member", "apiKeys": []string{callerKey}, "prio": 1, "weight": 68, "cap": map[string]int64{"cpu": 0, "memMb": 0, "gpu": 0},
		}},
	}
}

// serveCloud answers for the platform's machines, which none of the cases moves.
func (g *ground) serveCloud(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/-/machines" {
		writeJSON(w, http.StatusBadRequest, map[string]string{})
		return
	}
	list := []map[string]any{}
	for _, m := range g.minions {
		list = append(list, map[string]any{
			"machine": m.machine, "pool": m.service, "state": "up", "zone": m.zone, "labels": []string{"a", m.rack},
			"capacity": map[string]int64{"cpu": m.cpu, "memMb": m.memMb, "gpu": 0}, "id": m.id,
		})
	}
	writeJSON(w, http.StatusOK, map[string]any{"machines": list, "nextToken": nil})
}

// caller is a client of the entries, which retries as the clients of the site do.
type caller struct {
	ground *ground
	http   *http.Client
}

func newCaller(g *ground) *caller {
	return &caller{ground: g, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}}}
}

// call sends one request to an entry, and returns the status code, or zero for no answer.
func (c *caller) call(e *entryProcess, method, path string, body []byte, deadline time.Duration) (int, string) {
	req, err := http.NewRequest(method, "http://"+e.front()+path, strings.NewReader(string(body)))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = callerHost
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	client := *c.http
	client.Timeout = deadline
	res, err := client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, string(data)
}

// try sends a request to one entry after another until one answers with another code than
// those after which clients send it again.
func (c *caller) try(method, path string, body []byte) (code int, text string) {
	first := rand.IntN(len(c.ground.entries))
	for n := range 1 + retries {
		code, text = c.call(c.ground.entries[(first+n)%len(c.ground.entries)], method, path, body, callerDeadline)
		if code != 0 && code < 500 && code != http.StatusTooManyRequests {
			return code, text
		}
		time.Sleep(300 * time.Millisecond)
	}
	return code, text
}

// state asks for the state of a job.
func (c *caller) state(id string) string {
	code, text := c.try(http.MethodGet, callerPrefix+id, nil)
	var out struct {
		State string `json:"state"`
	}
	if code == http.StatusOK && json.Unmarshal([]byte(text), &out) == nil {
		return out.State
	}
	return fmt.Sprint(code)
}

func newJobID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// settingsFile writes the settings of an entry and returns the file's name.
func (g *ground) settingsFile(name, ip, zone string) (string, error) {
	file := filepath.Join(g.dir, name+".toml")
	text := fmt.Sprintf(`node = %q
role = "entry"
class = "front"
serves = ["front"]
ip = %q
zone = %q
region = "sk-stred"
portRange = [7000,7015]
seeds = []
bootstrap = true
tolerated = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","quota","places","platform","advice","upkeep","sharing"]
orders = "rpc"
advice = ""
[zones]
stred-a = "sk-stred"
stred-b = "sk-stred"
stred-c = "sk-stred"
[listen]
front = "%[2]s:8340"
ready = "%[2]s:8343"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = %[4]d
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 1
zones = 1
regions = 0
[bounds]
contactMs = 3000
ackMs = 4000
drainMs = 2000
graceS = 6
applyMs = 2000
strictRevoke = false
revokeMs = 5000
holdMaxMs = 6000
stopMs = 900
gangWaitMs = 3000
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
farX = 1.5
checkpointS = 1
restoreMs = 250
noticeMs = 4500
moveS = 1.5
upkeepS = 2
requireFence = true
leaseMs = 3000
paceMs = 100
harmMs = 4000
[platform]
addr = "%[5]s:8344"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = %[6]d
ttlMinMs = 1000
[cloudApi]
addr = "%[7]s:8344"
ratePerS = 64.0
duties = []
dutyPerS = 64.0
`, name, ip, zone, entryMemoryMb, g.host(1), valueBytes, g.host(2))
	return file, os.WriteFile(file, []byte(text), 0o600)
}
