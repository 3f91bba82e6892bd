package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes the record of a case: what was sent, answered and run.
type recorder struct {
	began time.Time
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{began: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

// add adds a line with the time since the case began.
func (r *recorder) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// A record that can't be written is found out by whoever reads it.
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.out.Flush(), r.file.Close()
}
