// Package delay pauses a goroutine that may be told to stop meanwhile.
//
// # Usage
//
//	for delay.For(ctx, time.Second) {
//		look()
//	}
package delay

import (
	"context"
	"time"
)

// For pauses for d and reports whether the whole of it has passed; it returns at
// once when ctx ends.
func For(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
