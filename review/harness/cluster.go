package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// clusterConfig says what a case runs on.
type clusterConfig struct {
	entries int
	// vms lists the VMs, one after another.
	vms    []vmConfig
	workOf func(task string, run int) time.Duration
}

type vmConfig struct {
	pool, zone, rack string
	cpu              int64
}

// The bounds of the platform, as the sheet of pokladnicka-jobs has them.
const (
	maxLease = 6000 * time.Millisecond
	stopTime = 900 * time.Millisecond
	grace    = 6 * time.Second
)

// key is the API key of the only team.
const key = "k-7f3a91c2d5"

// cluster is a small deployment: entries as processes, everything else in this process.
type cluster struct {
	config  clusterConfig
	binary  string
	logs    string
	dir     string
	prefix  string
	rec     *recorder
	store   *kvStore
	watcher *watcher
	vms     []*vm
	entries []*entryProcess
	cancel  context.CancelFunc
	servers []*http.Server
}

// entryProcess is an entry that runs as a process.
type entryProcess struct {
	number   int
	name     string
	front    string
	settings string
	mu       sync.Mutex
	process  *exec.Cmd
	exited   chan struct{}
}

func startCluster(ctx context.Context, config clusterConfig, binary, logs string, rec *recorder) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	c := &cluster{config: config, binary: binary, logs: logs, dir: dir, rec: rec, cancel: cancel, store: newStore(rec), watcher: newWatcher(rec)}
	if err := c.start(ctx); err != nil {
		c.stop()
		return nil, err
	}
	return c, nil
}

func (c *cluster) start(ctx context.Context) error {
	if err := c.pickPrefix(); err != nil {
		return err
	}
	go c.store.expireLeases(ctx)
	for i := range c.config.entries {
		if err := c.listen(c.storeAddress(i), c.store.handler(i)); err != nil {
			return err
		}
	}
	for i, vc := range c.config.vms {
		v := newVM(&vm{
			rec: c.rec, watcher: c.watcher, id: fmt.Sprintf("i-%04d", i), machine: fmt.Sprintf("m-%04d", i), pool: vc.pool, zone: vc.zone, rack: vc.rack,
			cpu: vc.cpu, maxLease: maxLease, stopTime: stopTime, workOf: c.config.workOf, address: fmt.Sprintf("%s.%d:8080", c.prefix, 100+i),
		})
		if err := c.listen(v.address, v); err != nil {
			return err
		}
		go v.advance(ctx)
		c.vms = append(c.vms, v)
		c.store.put("servers/"+v.id, v.entry())
	}
	if err := c.listen(c.cloudAddress(), http.HandlerFunc(c.serveCloud)); err != nil {
		return err
	}
	c.configure()
	for i := range c.config.entries {
		e, err := c.newEntry(i)
		if err != nil {
			return err
		}
		c.entries = append(c.entries, e)
		if err := c.startEntry(e); err != nil {
			return err
		}
	}
	return c.awaitReady(ctx)
}

// pickPrefix picks three bytes of a loopback network on which nothing listens.
func (c *cluster) pickPrefix() error {
	for range 50 {
		c.prefix = fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for _, address := range []string{c.prefix + ".1:9464", c.prefix + ".1:8340", c.prefix + ".50:8344", c.prefix + ".100:8080"} {
			l, err := net.Listen("tcp", address)
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return nil
		}
	}
	return errors.New("no free loopback network found")
}

func (c *cluster) storeAddress(entry int) string {
	return fmt.Sprintf("%s.%d:8344", c.prefix, 50+entry)
}

func (c *cluster) cloudAddress() string { return c.prefix + ".90:8344" }

func (c *cluster) listen(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	c.servers = append(c.servers, s)
	go func() { _ = s.Serve(l) }()
	return nil
}

// configure writes the configuration: a queue that needs a key for each pool, and a team
// without a limit.
func (c *cluster) configure() {
	pools := map[string]bool{}
	var services, routes []map[string]any
	for _, v := range c.config.vms {
		if !pools[v.pool] {
			pools[v.pool] = true
			services = append(services, map[string]any{"name": v.pool, "enforcesCapacity": false})
			routes = append(routes, map[string]any{
				"name": "r-" + v.pool, "host": "tills.example", "prefix": "/" + v.pool + "/", "kind": "unsafe", "timeoutMs": 3000, "sloMs": 600,
				"prio": 0, "service": v.pool, "attempts": 2, "stretch": 1.6, "public": false,
			})
		}
	}
	team := map[string]any{"name": "t-1", "apiKeys": []string{key}, "weight": 100.0}
	c.store.put("op/config", map[string]any{
		"version": 3, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{team},
	})
}

// serveCloud lists the machines. There is no other pool to which one could be moved, and no
// wave.
func (c *cluster) serveCloud(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/-/machines" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	machines := []map[string]any{}
	for _, v := range c.vms {
		v.mu.Lock()
		state, id := "up", v.id
		if v.down {
			state, id = "down", ""
		}
		v.mu.Unlock()
		machines = append(machines, map[string]any{
			"machine": v.machine, "pool": v.pool, "state": state, "zone": v.zone, "labels": []string{"a", v.rack},
			"capacity": map[string]any{"cpu": v.cpu, "memMb": 131072, "gpu": 0}, "id": id,
		})
	}
	reply(w, http.StatusOK, map[string]any{"machines": machines, "nextToken": nil})
}

func (c *cluster) newEntry(i int) (*entryProcess, error) {
	ip := fmt.Sprintf("%s.%d", c.prefix, 1+i)
	zone := fmt.Sprintf("zone-%c", 'a'+i%3)
	e := &entryProcess{
		number: i, name: fmt.Sprintf("front-%s-%d", zone, i), front: ip + ":8340", settings: filepath.Join(c.dir, fmt.Sprintf("node-%d.toml", i)),
	}
	text := fmt.Sprintf(`node = %q
role = "entry"
class = "front"
serves = ["front"]
ip = %q
zone = %q
region = "sk"
portRange = [7000, 7015]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
orders = "rpc"
advice = "%s.95:8344"
[listen]
front = "%s:8340"
ready = "%s:8343"
[limits]
cpuShare = 0.4
cores = 1
memoryMb = 284
maxFds = 4100
linkMbps = 1000.0
[bounds]
contactMs = 3000
graceS = 6
holdMaxMs = %d
stopMs = %d
gangWaitMs = 3000
status_s = 120
leaseMs = 3000
moveS = 1.5
upkeepS = 2
requireFence = true
strictRevoke = false
revokeMs = 5000
[platform]
addr = %q
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
[cloudApi]
addr = %q
ratePerS = 64.0
dutyPerS = 64.0
`, e.name, ip, zone, c.prefix, ip, ip, maxLease.Milliseconds(), stopTime.Milliseconds(), c.storeAddress(i), c.cloudAddress())
	return e, os.WriteFile(e.settings, []byte(text), 0o600)
}

// startEntry starts the process of an entry.
func (c *cluster) startEntry(e *entryProcess) error {
	cmd := exec.Command(c.binary, "platform")
	cmd.Env = append(os.Environ(), "ALMONDCOVE_NODE_FILE="+e.settings)
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	cmd.Stdout = io.Discard
	if c.logs != "" {
		f, err := os.OpenFile(filepath.Join(c.logs, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return err
		}
		cmd.Stdout, cmd.Stderr = f, f
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	e.mu.Lock()
	e.process, e.exited = cmd, make(chan struct{})
	exited := e.exited
	e.mu.Unlock()
	c.rec.add("%s: process started", e.name)
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process of an entry.
func (c *cluster) signal(e *entryProcess, sig syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process == nil {
		return
	}
	c.rec.add("%s: %v", e.name, sig)
	_ = e.process.Process.Signal(sig)
}

// awaitExit waits for the process of an entry to end.
func (e *entryProcess) awaitExit(d time.Duration) bool {
	e.mu.Lock()
	exited := e.exited
	e.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(d):
		return false
	}
}

// awaitReady waits until every entry is ready and one of them owns the jobs.
func (c *cluster) awaitReady(ctx context.Context) error {
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		ready := 0
		for i := range c.entries {
			if code, _ := c.call(ctx, i, http.MethodGet, "/"+c.config.vms[0].pool+"/", nil); code == http.StatusOK {
				ready++
			}
		}
		if ready == len(c.entries) {
			c.rec.add("all entries serve")
			return nil
		}
		sleep(ctx, 100*time.Millisecond)
	}
	return errors.New("the entries did not become ready")
}

// owner returns the number of the entry that the owner key names, and its epoch.
func (c *cluster) owner() (int, int64) {
	value, ok := c.store.get("almondcove/live/owner")
	if !ok {
		value, ok = c.store.get("almondcove/last-owner")
	}
	var o struct {
		Name  string `json:"name"`
		Epoch int64  `json:"epoch"`
	}
	if !ok || json.Unmarshal(value, &o) != nil {
		return -1, 0
	}
	for i, e := range c.entries {
		if e.name == o.Name {
			return i, o.Epoch
		}
	}
	return -1, 0
}

// call makes a request of a caller on a connection of its own. The code is zero if there
// was no answer.
func (c *cluster) call(ctx context.Context, entry int, method, path string, body any) (int, []byte) {
	const deadline = 3 * time.Second
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	var in io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			panic(err)
		}
		in = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.entries[entry].front+path, in)
	if err != nil {
		panic(err)
	}
	req.Host = "tills.example"
	req.Close = true
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	began := time.Now()
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		c.rec.add("caller: %s %s at entry %d: no answer after %d ms", method, path, entry, time.Since(began).Milliseconds())
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	data, _ := io.ReadAll(res.Body)
	c.rec.add("caller: %s %s at entry %d: %d %s after %d ms", method, path, entry, res.StatusCode, bytes.TrimSpace(data), time.Since(began).Milliseconds())
	return res.StatusCode, data
}

// submit hands a job in, with retries at other entries, until it is accepted.
func (c *cluster) submit(ctx context.Context, pool, id string, job any) bool {
	for try := range 20 {
		if code, _ := c.call(ctx, try%len(c.entries), http.MethodPost, "/"+pool+"/"+id, job); code == http.StatusOK {
			return true
		}
		if !sleep(ctx, 300*time.Millisecond) {
			return false
		}
	}
	return false
}

// losePower kills the entry that owns the jobs, and starts it again after d.
func (c *cluster) losePower(ctx context.Context, d time.Duration) error {
	n, epoch := c.owner()
	if n < 0 {
		return errors.New("no owner found")
	}
	c.rec.add("the machine of %s, owner of epoch %d, loses power for %v", c.entries[n].name, epoch, d)
	c.signal(c.entries[n], syscall.SIGKILL)
	c.entries[n].awaitExit(time.Second)
	sleep(ctx, d)
	return c.startEntry(c.entries[n])
}

// awaitState asks for the state of a job at each entry in turn until it is the given one, or
// d is over.
func (c *cluster) awaitState(ctx context.Context, pool, id, state string, d time.Duration) bool {
	deadline := time.Now().Add(d)
	for i := 0; time.Now().Before(deadline); i++ {
		code, body := c.call(ctx, i%len(c.entries), http.MethodGet, "/"+pool+"/"+id, nil)
		if code == http.StatusOK && bytes.Contains(body, []byte(`"`+state+`"`)) {
			return true
		}
		if !sleep(ctx, 300*time.Millisecond) {
			break
		}
	}
	return false
}

// stop ends all processes that the case has started.
func (c *cluster) stop() {
	for _, e := range c.entries {
		c.signal(e, syscall.SIGCONT)
		c.signal(e, syscall.SIGKILL)
		e.awaitExit(5 * time.Second)
	}
	c.cancel()
	for _, s := range c.servers {
		_ = s.Close()
	}
	_ = os.RemoveAll(c.dir)
}

// sleep waits, and reports false if ctx has ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}
