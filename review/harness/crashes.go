package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// The crashes of playCrashes. At most one VM of eight is down at a time.
const (
	crashRounds   = 5
	crashInterval = 1600 * time.Millisecond
	crashTime     = time.Second
)

// The jobs of playCrashes: one service, and a batch job each payoutInterval.
const (
	serviceID      = "5c0e7a21d94b36f8"
	payoutIDs      = "7a0e7a21d94b36"
	payoutInterval = 4
	payoutTime     = 4 * time.Second
)

func eightVMs() []vmConfig {
	var out []vmConfig
	for i := range 8 {
		out = append(out, vmConfig{pool: "tills", zone: fmt.Sprintf("zone-%c", 'a'+i%3), rack: fmt.Sprintf("r%d-%d", i%3, i/3), cpu: 64000})
	}
	return out
}

// crashesWork returns how long a run of playCrashes takes.
func crashesWork(task string, _ int) time.Duration {
	if strings.HasPrefix(task, serviceID) {
		return 0
	}
	return payoutTime
}

// playCrashes lets the VMs of a pool crash one at a time, each several times, while they run
// the tasks of a service and of batch jobs. Then it gives all of them time to end or to come
// back. No run ends as failed.
func playCrashes(ctx context.Context, c *cluster, trouble bool) ([]string, error) {
	tasks := len(c.vms)
	if !c.submit(ctx, "tills", serviceID, map[string]any{"spec": "serve the members", "steps": []any{
		map[string]any{"count": tasks, "cpu": 5000, "memMb": 1000, "estMs": 900, "daemon": true, "antiAffinity": 1, "mayMiss": 1},
	}}) {
		return nil, errors.New("the service was not accepted")
	}
	sleep(ctx, 3*time.Second)
	var payouts []string
	for i := range crashRounds * len(c.vms) {
		if i%payoutInterval == 0 {
			id := fmt.Sprintf("%s%02x", payoutIDs, i)
			if !c.submit(ctx, "tills", id, map[string]any{"spec": "pay the member", "steps": []any{
				map[string]any{"count": tasks, "cpu": 2000, "memMb": 1000, "estMs": payoutTime.Milliseconds(), "antiAffinity": 1},
			}}) {
				return nil, errors.New("a batch job was not accepted")
			}
			payouts = append(payouts, id)
		}
		v := c.vms[i%len(c.vms)]
		if trouble {
			v.crash()
		}
		sleep(ctx, crashTime)
		if trouble {
			v.restart()
			c.store.put("servers/"+v.id, v.entry())
		}
		sleep(ctx, crashInterval-crashTime)
	}
	c.rec.add("all VMs are up and stay so")
	sleep(ctx, finishTime+idleLimit)
	return append(c.failedJobs(ctx, payouts), c.idleTasks(tasks)...), nil
}

// failedJobs returns those of the jobs that are shown as failed.
func (c *cluster) failedJobs(ctx context.Context, ids []string) []string {
	var out []string
	for i, id := range ids {
		code, body := c.call(ctx, i%len(c.entries), http.MethodGet, "/tills/"+id, nil)
		if code != http.StatusOK || bytes.Contains(body, []byte("failed")) {
			out = append(out, fmt.Sprintf("LOST: %s is answered %d %s, and no run of its tasks has ended as failed", id, code, bytes.TrimSpace(body)))
		}
	}
	return out
}

// idleTasks returns those of the tasks of the service that do not run.
func (c *cluster) idleTasks(tasks int) []string {
	var out []string
	for i := range tasks {
		task := fmt.Sprintf("%s.0.0.%d", serviceID, i)
		if at, ok := c.watcher.idleSince(task); ok {
			out = append(out, fmt.Sprintf("LOST: %s is to last and has not run for %d ms, with room for it on all %d VMs", task, time.Since(at).Milliseconds(), len(c.vms)))
		}
	}
	return out
}
