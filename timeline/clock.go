// Package timeline records events of one process and merges the events of several
// processes into one order.
//
// Each event has a hybrid logical timestamp: the wall clock of the process, moved
// forward by every stamp received from another process. An event that caused
// another therefore sorts before it even if the two wall clocks differ.
//
// # Usage
//
//	buffer := timeline.New(timeline.Config{Source: "a1", Size: 4096})
//	buffer.Add(timeline.Event{Kind: "start", Task: id, VM: "vm-3"})
//	merged := timeline.Merge(buffer.Events(timeline.Filter{Task: id}), fromPeer)
package timeline

import (
	"fmt"
	"sync"
	"time"
)

// Stamp is a hybrid logical timestamp as text. Comparing stamps as strings gives
// their order.
type Stamp = string

// Clock is a hybrid logical clock. The zero value is ready to use, and its methods
// are safe for concurrent use.
type Clock struct {
	mu sync.Mutex
	// wall is the wall time of the greatest stamp issued or observed, in nanoseconds
	// since the Unix epoch.
	wall int64
	// count distinguishes stamps with the same wall time.
	count uint32
}

// Now returns a stamp greater than every stamp issued or observed before.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := time.Now().UnixNano()
	switch {
	case wall > c.wall:
		c.wall, c.count = wall, 0
	case c.count < maxCount:
		c.count++
	default:
		c.wall, c.count = c.wall+1, 0
	}
	return formatStamp(c.wall, c.count)
}

// Observe advances the clock to a stamp from another process, so that later stamps
// are greater. It ignores text that is not a stamp.
func (c *Clock) Observe(s Stamp) {
	wall, count, ok := parseStamp(s)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if wall > c.wall || wall == c.wall && count > c.count {
		c.wall, c.count = wall, count
	}
}

// maxCount is the greatest count that a stamp has room for.
const maxCount = 0xffff

func formatStamp(wall int64, count uint32) Stamp {
	return fmt.Sprintf("%016x.%04x", wall, count)
}

func parseStamp(s Stamp) (wall int64, count uint32, ok bool) {
	n, err := fmt.Sscanf(s, "%016x.%04x", &wall, &count)
	return wall, count, err == nil && n == 2 && count <= maxCount
}
