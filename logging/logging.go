// Package logging limits what a process logs, so that logging never blocks it.
//
// A log line describes one event in key=value pairs. Lines with the same message
// are limited to a number per second. Lines over the limit are suppressed and
// counted, and the counts are logged at most once per second. A goroutine writes
// the lines from a buffer: if the output is too slow and the buffer is full, lines
// are dropped and counted instead of blocking the caller.
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

// Defaults and limits of a log.
const (
	// DefaultRate is the largest number of lines per second with the same message.
	DefaultRate = 100
	// DefaultBufferSize is the largest number of lines that wait to be written.
	DefaultBufferSize = 2048
	// reportInterval is the period over which lines are counted, and after which
	// suppressed lines are reported.
	reportInterval = time.Second
)

// Config configures a log.
type Config struct {
	Out  io.Writer
	Name string
	// Level is trace, debug, info, warn or error.
	Level string
	// Rate is the largest number of lines per second with the same message; zero
	// means DefaultRate.
	Rate int
	// BufferSize is the largest number of lines that wait to be written; zero
	// means DefaultBufferSize.
	BufferSize int
}

// Log is a rate-limited log that never blocks. Its methods are safe for concurrent
// use.
type Log struct {
	config  Config
	logger  hclog.Logger
	lines   chan []byte
	writer  sync.WaitGroup
	dropped atomic.Int64

	mu sync.Mutex
	// counts maps each message to the number of its lines since windowStart.
	counts      map[string]int
	windowStart time.Time
	closed      bool
}

// New returns a log and starts the goroutine that writes it.
func New(c Config) *Log {
	if c.Rate <= 0 {
		c.Rate = DefaultRate
	}
	if c.BufferSize <= 0 {
		c.BufferSize = DefaultBufferSize
	}
	l := &Log{config: c, lines: make(chan []byte, c.BufferSize), counts: make(map[string]int), windowStart: time.Now()}
	l.logger = hclog.New(&hclog.LoggerOptions{
		Name: c.Name, Level: hclog.LevelFromString(c.Level), Output: l, Exclude: l.exclude,
	})
	l.writer.Go(l.write)
	return l
}

// Logger returns the logger.
func (l *Log) Logger() hclog.Logger { return l.logger }

// Dropped returns how many lines were suppressed or dropped.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Close writes the waiting lines and stops the writing goroutine. Later lines are
// discarded.
func (l *Log) Close() {
	l.mu.Lock()
	if !l.closed {
		l.closed = true
		close(l.lines)
	}
	l.mu.Unlock()
	l.writer.Wait()
}

// exclude counts a line and reports whether it exceeds the rate limit of its
// message. hclog calls it while holding the lock of the logger, so exclude must not
// log through the logger.
func (l *Log) exclude(_ hclog.Level, message string, _ ...any) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.windowStart) >= reportInterval {
		l.reportSuppressed()
		clear(l.counts)
		l.windowStart = time.Now()
	}
	l.counts[message]++
	over := l.counts[message] > l.config.Rate
	if over {
		l.dropped.Add(1)
	}
	return over
}

// reportSuppressed logs how many lines of each message were suppressed. The caller
// holds l.mu.
func (l *Log) reportSuppressed() {
	for message, n := range l.counts {
		if n > l.config.Rate {
			l.enqueue(fmt.Appendf(nil, "%s [WARN]  %s: log lines over the rate limit suppressed: message=%q count=%d\n",
				time.Now().UTC().Format(time.RFC3339Nano), l.config.Name, message, n-l.config.Rate))
		}
	}
}

// Write queues one line to be written. It never blocks or fails; if the buffer is
// full, the line is dropped.
func (l *Log) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enqueue(bytes.Clone(line))
	return len(line), nil
}

// enqueue passes a line to the writing goroutine, or drops it if the buffer is
// full. The caller holds l.mu.
func (l *Log) enqueue(line []byte) {
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
		// There is nowhere to report a failure to write the log.
		_, _ = l.config.Out.Write(line)
	}
}
