// Package logging bounds what a process logs, so that a log never slows it down.
//
// Lines are key=value pairs, one an event. Each kind of line, told apart by its
// message, is written at most so many times a second; what is left out is counted
// and told once a second. Lines go through a ring to a goroutine that writes
// them: when the reader is too slow, lines are dropped and counted instead of
// waited for.
//
// # Usage
//
//	l := logging.New(logging.Config{Out: os.Stdout, Name: "east-a", Level: "info"})
//	defer l.Close()
//	l.Logger().Info("owner", "name", name, "epoch", epoch)
package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
)

// The bounds of a log.
const (
	// DefaultRate is how many lines of one kind are written a second.
	DefaultRate = 100
	// DefaultRing is how many lines wait for a slow reader.
	DefaultRing = 2048
	// tellEvery is how often dropped lines are told.
	tellEvery = time.Second
)

// Config configures a log.
type Config struct {
	Out  io.Writer
	Name string
	// Level is trace, debug, info, warn or error.
	Level string
	// Rate bounds the lines of one kind a second; zero means DefaultRate.
	Rate int
	// Ring bounds the lines that wait to be written; zero means DefaultRing.
	Ring int
}

// Log writes a bounded log.
type Log struct {
	config  Config
	logger  hclog.Logger
	lines   chan []byte
	done    sync.WaitGroup
	dropped atomic.Int64

	mu sync.Mutex
	// counts holds how many lines of each kind came since began.
	counts map[string]int
	began  time.Time
	closed bool
}

// New returns a log and starts the goroutine that writes it.
func New(c Config) *Log {
	if c.Rate <= 0 {
		c.Rate = DefaultRate
	}
	if c.Ring <= 0 {
		c.Ring = DefaultRing
	}
	l := &Log{config: c, lines: make(chan []byte, c.Ring), counts: make(map[string]int), began: time.Now()}
	l.logger = hclog.New(&hclog.LoggerOptions{
		Name: c.Name, Level: hclog.LevelFromString(c.Level), Output: l, Exclude: l.exclude,
	})
	l.done.Go(l.write)
	return l
}

// Logger returns the logger.
func (l *Log) Logger() hclog.Logger { return l.logger }

// Dropped returns how many lines were left out or dropped.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Close writes what waits and ends.
func (l *Log) Close() {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.lines)
	}
	l.mu.Unlock()
	l.done.Wait()
}

// exclude counts a line and reports whether it is one too many of its kind. The
// logger holds its lock while it asks, so nothing may be logged from here.
func (l *Log) exclude(_ hclog.Level, message string, _ ...any) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.began) >= tellEvery {
		l.tell()
		clear(l.counts)
		l.began = time.Now()
	}
	l.counts[message]++
	over := l.counts[message] > l.config.Rate
	if over {
		l.dropped.Add(1)
	}
	return over
}

// tell writes how many lines of each kind were left out. It is called with the
// lock held.
func (l *Log) tell() {
	for message, n := range l.counts {
		if n > l.config.Rate {
			l.push(fmt.Appendf(nil, "%s [WARN]  %s: lines left out: message=%q count=%d\n",
				time.Now().UTC().Format(time.RFC3339Nano), l.config.Name, message, n-l.config.Rate))
		}
	}
}

// Write takes one line; it never waits.
func (l *Log) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.push(bytes.Clone(line))
	return len(line), nil
}

// push passes a line to the goroutine that writes. It is called with the lock held.
func (l *Log) push(line []byte) {
	if l.closed {
		return
	}
	select {
	case l.lines <- line:
	default:
		l.dropped.Add(1)
	}
}

func (l *Log) write() {
	for line := range l.lines {
		// There is nowhere to report that the log can't be written.
		_, _ = l.config.Out.Write(line)
	}
}
