package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The bounds of the rules, from the settings of the site.
const (
	// ackTime is ackMs, finishTime is finish_s, and idleTime the 3 s for which a job may have
	// nothing at work although the turn of a task has come.
	ackTime    = 4 * time.Second
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
	// evacuateTime is evacuateMs.
	evacuateTime = 5 * time.Second
	// settleTime is the time before the traffic, as on the site's days.
	settleTime = 10 * time.Second
)

// handedIn is a job that a client has handed in.
type handedIn struct {
	id       string
	tasks    int
	accepted bool
	at       time.Time
}

// handIn hands in a job.
func (c *caller) handIn(body string, tasks int) handedIn {
	j := handedIn{id: newJobID(), tasks: tasks}
	code, _ := c.try(http.MethodPost, callerPrefix+j.id, []byte(body))
	j.accepted, j.at = code == http.StatusOK, time.Now()
	c.ground.note("client: POST %s, %d tasks -> %d", j.id, tasks, code)
	return j
}

// usualJob hands in a job as usual clients do: two tasks of 200 ms, and two more after them.
func (c *caller) usualJob() handedIn {
	return c.handIn(usualBody, 4)
}

const usualBody = `{"spec":"ms=200","steps":[{"count":2,"cpu":500,"memMb":256,"estMs":200},` +
	`{"count":2,"cpu":500,"memMb":256,"estMs":200,"after":[0]}]}`

// longChain hands in a job of 90 steps of two tasks each, one step after the other. Each task
// takes a second.
func (c *caller) longChain() handedIn {
	steps := []string{`{"count":2,"cpu":500,"memMb":256,"estMs":1000}`}
	for n := range 89 {
		steps = append(steps, fmt.Sprintf(`{"count":2,"cpu":500,"memMb":256,"estMs":1000,"after":[%d]}`, n))
	}
	return c.handIn(`{"spec":"ms=1000","steps":[`+strings.Join(steps, ",")+`]}`, 180)
}

// lost reports whether a job breaks the rule LOST: it is asked for finishTime after the
// traffic, and gets no answer or is not known; or its tasks are not done, none of them has been
// at work for idleTime, and nearly all of the minions' room is free meanwhile.
func (c *caller) lost(j handedIn) bool {
	g := c.ground
	state, done, idle, work := c.state(j.id), g.tasksDone(j.id), g.idleFor(j.id, j.at), g.tasksAtWork()
	unanswered := state != "pending" && state != "running" && state != "completed"
	waits := done < j.tasks && idle > idleTime && work < len(g.minions)
	g.note("client: GET %s -> %s; %d of %d tasks done, none at work for %.1f s; at work for all jobs: %d; lost: %v",
		j.id, state, done, j.tasks, idle.Seconds(), work, unanswered || waits)
	return unanswered || waits
}

// logTotals writes what the entries and minions have come to.
func (g *ground) logTotals() {
	for _, e := range g.entries {
		over, own, peak := e.counts()
		g.note("%s: %d kills for memory, %d other ends, at most %d MB", e.name, over, own, peak)
	}
	for _, m := range g.minions {
		ends, noted := m.noted()
		g.note("minion %s: %d ends, %d taken note of", m.id, ends, noted)
	}
}

// foreignEntry leaves one entry of another writer under servers/. The rule is Acks: the cancels
// of accepted jobs are acknowledged, and the ends that minions list are taken note of.
func foreignEntry(g *ground, trouble bool) (bool, error) {
	c := newCaller(g)
	time.Sleep(settleTime)
	var lasting []handedIn
	for range 4 {
		lasting = append(lasting, c.handIn(`{"spec":"daemon","steps":[{"count":2,"cpu":500,"memMb":256,"estMs":200,"daemon":true,"mayMiss":1}]}`, 0))
	}
	long := c.handIn(`{"spec":"ms=6000","steps":[{"count":40,"cpu":500,"memMb":256,"estMs":6000}]}`, 40)
	for _, j := range append(lasting, long) {
		if !j.accepted {
			return false, fmt.Errorf("job %s was not accepted before the disruption", j.id)
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		g.writeForeignEntry()
	}
	// The ends of the long job come 4 s later. Then nothing happens for ackTime and more.
	time.Sleep(4*time.Second + 2*ackTime)
	ends, noted := g.endsNoted()
	g.note("client: GET %s -> %s, %d of %d tasks done; the minions have listed %d ends, of which %d were taken note of",
		long.id, c.state(long.id), g.tasksDone(long.id), long.tasks, ends, noted)
	acked := g.cancelAll(c, lasting)
	j := c.usualJob()
	g.logTotals()
	g.note("cancels acknowledged: %d of %d; a new job was accepted: %v", acked, len(lasting), j.accepted)
	return 5*(ends-noted) <= ends && len(lasting)-acked <= len(lasting)/10, nil
}

// writeForeignEntry writes an entry with fields that are missing or of another type, and with a
// service that is not named anywhere. Its length is within that of a value.
func (g *ground) writeForeignEntry() {
	labels := make([]string, 0, 28000)
	for n := range 28000 {
		labels = append(labels, fmt.Sprintf("<a href=%q>&nbsp;%d</a>", "/", n))
	}
	entry := plainJSON(map[string]any{
		"service": "inventory", "addr": g.host(99) + ":9100", "zone": "stred-a", "version": 3, "slots": "many", "state": "ready",
		"capacity": map[string]int64{"cpu": 4000, "memMb": 8192, "gpu": 0}, "labels": labels,
	})
	g.store.write("servers/inventory-1", entry)
	g.note("another writer: servers/inventory-1 with %d bytes, of at most %d", len(entry), valueBytes)
}

// plainJSON encodes a value as most writers do, without escapes for the use within HTML.
func plainJSON(v any) []byte {
	var out bytes.Buffer
	e := json.NewEncoder(&out)
	e.SetEscapeHTML(false)
	if err := e.Encode(v); err != nil {
		panic(err)
	}
	return bytes.TrimSpace(out.Bytes())
}

// endsNoted returns how many ends the minions have listed, and how many were taken note of.
func (g *ground) endsNoted() (ends, noted int64) {
	for _, m := range g.minions {
		e, n := m.noted()
		ends, noted = ends+e, noted+n
	}
	return ends, noted
}

// cancelAll cancels jobs at once, and returns how many cancels were acknowledged within
// three times ackTime.
func (g *ground) cancelAll(c *caller, jobs []handedIn) int {
	var mu sync.Mutex
	acked := 0
	var cancels sync.WaitGroup
	for _, j := range jobs {
		cancels.Go(func() {
			code := 0
			for began := time.Now(); time.Since(began) < 3*ackTime && code != http.StatusOK && code != http.StatusGone; {
				code, _ = c.try(http.MethodDelete, callerPrefix+j.id, nil)
				g.note("client: DELETE %s -> %d", j.id, code)
			}
			mu.Lock()
			defer mu.Unlock()
			if code == http.StatusOK || code == http.StatusGone {
				acked++
			}
		})
	}
	cancels.Wait()
	return acked
}

// The crowd: so many clients each send so many bodies, one after the other.
const (
	crowdClients = 24
	crowdBodies  = 30
)

// largeBody returns a job of legal size: a chain of steps that is due in an hour.
func largeBody() []byte {
	var out strings.Builder
	fmt.Fprintf(&out, `{"spec":"ms=200","times":1,"firstMs":%d,"steps":[`, time.Now().Add(time.Hour).UnixMilli())
	for n := 0; out.Len() < maxBodyBytes-600 && n < 1000; n++ {
		after := ""
		if n > 0 {
			out.WriteByte(',')
			after = fmt.Sprintf(`,"after":[%d]`, n-1)
		}
		fmt.Fprintf(&out, `{"count":1,"cpu":500,"memMb":256,"estMs":200%s,"image":"registry.example/season/step-%d/%s"}`, after, n, strings.Repeat("x", 150))
	}
	out.WriteString("]}")
	return []byte(out.String())
}

// crowd sends many large bodies of legal size at once. The rule is LOST: a job that was
// accepted before is known, gets its answers and goes on.
func crowd(g *ground, trouble bool) (bool, error) {
	c := newCaller(g)
	time.Sleep(settleTime)
	before := []handedIn{c.longChain(), c.usualJob()}
	for _, j := range before {
		if !j.accepted {
			return false, fmt.Errorf("job %s was not accepted before the disruption", j.id)
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		g.sendCrowd()
	} else {
		time.Sleep(30 * time.Second)
	}
	time.Sleep(finishTime)
	held := true
	for _, j := range before {
		held = !c.lost(j) && held
	}
	g.logTotals()
	return held, nil
}

// crowdTime is the longest time for which the crowd sends.
const crowdTime = 32 * time.Second

// sendCrowd sends the bodies of the crowd and waits for the answers.
func (g *ground) sendCrowd() {
	body := largeBody()
	var mu sync.Mutex
	answers := make(map[int]int)
	began := time.Now()
	var clients sync.WaitGroup
	for range crowdClients {
		clients.Go(func() {
			c := newCaller(g)
			for n := 0; n < crowdBodies && time.Since(began) < crowdTime; n++ {
				code, _ := c.try(http.MethodPost, callerPrefix+newJobID(), body)
				mu.Lock()
				answers[code]++
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	g.note("crowd: %d clients sent bodies of %d bytes each, of at most %d, for %.1f s; last answers by code: %v",
		crowdClients, len(body), maxBodyBytes, time.Since(began).Seconds(), answers)
}

// evacuated evacuates a zone. The rule is EVAC: later than evacuateMs after that, no task starts
// there. The disruption is that another writer rewrites the entry of one minion in the zone,
// without its zone.
func evacuated(g *ground, trouble bool) (bool, error) {
	const zone = "stred-a"
	c := newCaller(g)
	time.Sleep(settleTime)
	over := make(chan struct{})
	var traffic sync.WaitGroup
	for range 8 {
		traffic.Go(func() {
			for {
				select {
				case <-over:
					return
				case <-time.After(500 * time.Millisecond):
					c.handIn(`{"spec":"ms=1000","steps":[{"count":2,"cpu":20000,"memMb":4600,"estMs":1000}]}`, 2)
				}
			}
		})
	}
	time.Sleep(4 * time.Second)
	before := g.startsSince(zone, g.began)
	g.store.write("op/evacuate/"+zone, []byte("{}"))
	began := time.Now()
	g.note("operator: op/evacuate/%s; %d tasks have started there so far", zone, before)
	time.Sleep(evacuateTime + 3*time.Second)
	for n := 0; trouble && n < 3; n++ {
		g.rewriteWithoutZone(g.minions[0])
		time.Sleep(time.Second)
	}
	time.Sleep(3 * time.Second)
	close(over)
	traffic.Wait()
	late := g.startsSince(zone, began.Add(evacuateTime))
	g.note("tasks started in %s later than %s after its evacuation: %d", zone, evacuateTime, late)
	if before == 0 {
		return false, fmt.Errorf("no task started in %s before its evacuation", zone)
	}
	g.logTotals()
	return late == 0, nil
}

// rewriteWithoutZone rewrites the entry of a minion as another writer may: fields are missing, and
// one is of another type.
func (g *ground) rewriteWithoutZone(m *minion) {
	entry := plainJSON(map[string]any{
		"service": m.service, "addr": m.addr, "version": "v1", "slots": "8", "state": "ready",
		"capacity": map[string]int64{"cpu": m.cpu, "memMb": m.memMb, "gpu": 0}, "labels": []string{"a", m.rack},
	})
	g.store.write("servers/"+m.id, entry)
	g.note("another writer: servers/%s %s", m.id, entry)
}

// doubled starts long tasks, and then lets another writer rewrite the entry of a minion that runs
// some of them. The rule is TWICE: no task runs twice at the same time.
func doubled(g *ground, trouble bool) (bool, error) {
	c := newCaller(g)
	time.Sleep(settleTime)
	j := c.handIn(`{"spec":"ms=9000","steps":[{"count":12,"cpu":16000,"memMb":4600,"estMs":9000}]}`, 12)
	if !j.accepted {
		return false, fmt.Errorf("job %s was not accepted", j.id)
	}
	time.Sleep(2 * time.Second)
	m := g.busiest()
	if m == nil {
		return false, fmt.Errorf("no task of job %s has started", j.id)
	}
	if trouble {
		entry := plainJSON(map[string]any{
			"service": m.service, "addr": m.addr, "version": "v1", "slots": "8", "state": "ready",
			"capacity": map[string]int64{"cpu": m.cpu, "memMb": m.memMb, "gpu": 0}, "labels": []string{"a", m.rack},
			"born": time.Now().UnixMilli(),
		})
		g.store.write("servers/"+m.id, entry)
		g.note("another writer: servers/%s %s", m.id, entry)
	}
	time.Sleep(finishTime)
	g.note("client: GET %s -> %s, %d of %d tasks done", j.id, c.state(j.id), g.tasksDone(j.id), j.tasks)
	g.runMu.Lock()
	starts, overlaps := g.starts, g.overlaps
	g.runMu.Unlock()
	g.note("%d starts, of which %d while another run of the task was at work", starts, overlaps)
	g.logTotals()
	return overlaps == 0, nil
}

// busiest returns the minion with the most runs, or nil if none has any.
func (g *ground) busiest() *minion {
	var found *minion
	most := 0
	for _, m := range g.minions {
		m.mu.Lock()
		n := len(m.running)
		m.mu.Unlock()
		if n > most {
			found, most = m, n
		}
	}
	return found
}
