// Package timeline records typed events of one process and merges the events
// of many into one order.
//
// Events carry a hybrid logical time: the wall clock of the process, pushed
// forward by every stamp received from another process. An event that caused
// another therefore sorts before it even when the two clocks differ.
//
// # Usage
//
//	line := timeline.New(timeline.Config{Source: "a1", Size: 4096})
//	line.Add(timeline.Event{Kind: "start", Task: id, VM: "vm-3"})
//	merged := timeline.Merge(line.Events(timeline.Filter{Task: id}), fromPeer)
package timeline

import (
	"fmt"
	"sync"
	"time"
)

// Stamp is a hybrid logical time as text. Stamps sort as strings.
type Stamp = string

// Clock issues stamps. The zero value is ready to use.
type Clock struct {
	mu    sync.Mutex
	wall  int64
	count uint32
}

// Now returns a stamp later than every stamp issued or observed before.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := time.Now().UnixNano()
	if wall > c.wall {
		c.wall, c.count = wall, 0
	} else {
		c.count++
	}
	return format(c.wall, c.count)
}

// Observe moves the clock past a stamp from another process. Text that is not
// a stamp is ignored.
func (c *Clock) Observe(s Stamp) {
	wall, count, ok := parse(s)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if wall > c.wall || wall == c.wall && count > c.count {
		c.wall, c.count = wall, count
	}
}

func format(wall int64, count uint32) Stamp {
	return fmt.Sprintf("%016x.%04x", wall, count)
}

func parse(s Stamp) (wall int64, count uint32, ok bool) {
	n, err := fmt.Sscanf(s, "%016x.%04x", &wall, &count)
	return wall, count, err == nil && n == 2
}
