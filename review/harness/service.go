package main

import (
	"context"
	"errors"
	"fmt"
	"time"
)

// The crashes of playService. At most one VM of eight is down at a time.
const (
	crashRounds   = 5
	crashInterval = 1600 * time.Millisecond
	crashTime     = time.Second
)

func eightVMs() []vmConfig {
	var out []vmConfig
	for i := range 8 {
		out = append(out, vmConfig{pool: "tills", zone: fmt.Sprintf("zone-%c", 'a'+i%3), rack: fmt.Sprintf("r%d-%d", i%3, i/3), cpu: 64000})
	}
	return out
}

// playService lets the VMs of a pool crash one at a time, each several times, while they run
// the tasks of a service. Then it gives the service time to come back.
func playService(ctx context.Context, c *cluster, trouble bool) ([]string, error) {
	const id = "5c0e7a21d94b36f8"
	tasks := len(c.vms)
	job := map[string]any{"spec": "serve the members", "steps": []any{
		map[string]any{"count": tasks, "cpu": 5000, "memMb": 1000, "estMs": 900, "daemon": true, "antiAffinity": 1, "mayMiss": 1},
	}}
	if !c.submit(ctx, "tills", id, job) {
		return nil, errors.New("the job was not accepted")
	}
	sleep(ctx, 3*time.Second)
	if trouble {
		for i := range crashRounds * len(c.vms) {
			v := c.vms[i%len(c.vms)]
			v.crash()
			sleep(ctx, crashTime)
			v.restart()
			c.store.put("servers/"+v.id, v.entry())
			sleep(ctx, crashInterval-crashTime)
		}
	}
	c.rec.add("all VMs are up and stay so")
	sleep(ctx, finishTime+idleLimit)
	var out []string
	for i := range tasks {
		task := fmt.Sprintf("%s.0.0.%d", id, i)
		if at, ok := c.watcher.idleSince(task); ok {
			out = append(out, fmt.Sprintf("LOST: %s is to last and has not run for %d ms, with room for it on all %d VMs", task, time.Since(at).Milliseconds(), len(c.vms)))
		}
	}
	return out, nil
}
