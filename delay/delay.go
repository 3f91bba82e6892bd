// Package delay pauses a goroutine until a time has passed or a context ends.
//
// # Usage
//
//	for delay.Sleep(ctx, time.Second) {
//		poll()
//	}
package delay

import (
	"context"
	"time"
)

// Sleep pauses for d and reports whether d passed before ctx ended. It returns
// false as soon as ctx ends.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
