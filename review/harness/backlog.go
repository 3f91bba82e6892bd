package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// The job of playBacklog, as it is with and without the trouble.
const (
	manyOccurrences = 8640
	fewOccurrences  = 100
	dueInterval     = 10 * time.Second
	// finishTime is how long after the end of the traffic jobs are asked for.
	finishTime = 14 * time.Second
	// idleLimit is how long a job may have nothing running while the turn of a task has
	// come and there is room.
	idleLimit = 3 * time.Second
	// watchTime is how long the chain is watched after finishTime.
	watchTime = 40 * time.Second
)

// playBacklog submits a job that is due every few seconds since yesterday, beside a chain
// of short steps that was accepted before.
func playBacklog(ctx context.Context, c *cluster, trouble bool) ([]string, error) {
	const chain, periodic = "5c0e7a21d94b36f8", "5c0e7a21d94b36f9"
	const chainSteps = 90
	steps := []any{map[string]any{"count": 1, "cpu": 100, "memMb": 10, "estMs": 300}}
	for i := 1; i < chainSteps; i++ {
		steps = append(steps, map[string]any{"count": 1, "cpu": 100, "memMb": 10, "estMs": 300, "after": []int{i - 1}})
	}
	if !c.submit(ctx, "tills", chain, map[string]any{"spec": "pay the members", "steps": steps}) {
		return nil, errors.New("the chain was not accepted")
	}
	times := fewOccurrences
	if trouble {
		times = manyOccurrences
	}
	if !c.submit(ctx, "tills", periodic, map[string]any{
		"spec": "count the takings", "times": times, "firstMs": time.Now().Add(-time.Duration(times) * dueInterval).UnixMilli(),
		"intervalMs": dueInterval.Milliseconds(), "steps": steps[:1],
	}) {
		return nil, errors.New("the periodic job was not accepted")
	}
	sleep(ctx, finishTime)
	var out []string
	longest, idleSince := time.Duration(0), time.Time{}
	for end := time.Now().Add(watchTime); time.Now().Before(end) && sleep(ctx, 10*time.Millisecond); {
		if c.watcher.startsOf(chain, time.Time{}) == chainSteps {
			break
		}
		switch {
		case c.watcher.runs(chain):
			idleSince = time.Time{}
		case idleSince.IsZero():
			idleSince = time.Now()
		default:
			longest = max(longest, time.Since(idleSince))
		}
	}
	if longest > idleLimit {
		out = append(out, fmt.Sprintf("LOST: %s had nothing running for %d ms while the turn of a task had come; %d of its %d tasks have started",
			chain, longest.Milliseconds(), c.watcher.startsOf(chain, time.Time{}), chainSteps))
	}
	for i := range c.entries {
		if code, _ := c.call(ctx, i, http.MethodGet, "/tills/"+chain, nil); code != http.StatusOK {
			out = append(out, fmt.Sprintf("LOST: entry %d gives no state of %s in time, but %d", i, chain, code))
		}
	}
	return out, nil
}
