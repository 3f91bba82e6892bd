//go:build race

package jobs_test

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the tests on one processor. With more, the race detector itself crashes now and
// then: Go runs the timers of a synctest bubble on several threads under one of its contexts. The
// detector orders accesses by synchronization, not by time, so that it finds the same races.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
