package logging_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"almondcove/logging"
)

// blockableWriter is an output that blocks while a test holds mu.
type blockableWriter struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (w *blockableWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buf.Write(p)
}

func (w *blockableWriter) count(text string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return strings.Count(w.buf.String(), text)
}

// TestRate checks that lines over the rate limit of a message are suppressed and
// reported, and that lines with other messages are not.
func TestRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		out := &blockableWriter{}
		l := logging.New(logging.Config{Out: out, Level: "info", Rate: 3})
		for range 10 {
			l.Logger().Info("busy", "job", "1")
		}
		l.Logger().Info("rare")
		time.Sleep(2 * time.Second)
		l.Logger().Info("busy")
		l.Close()
		g.Expect(out.count("busy: job=1")).To(gomega.Equal(3))
		g.Expect(out.count("rare")).To(gomega.Equal(1))
		g.Expect(out.count(`message="busy" count=7`)).To(gomega.Equal(1))
		g.Expect(l.Dropped()).To(gomega.Equal(int64(7)))
	})
}

// TestSlowReader guards against a slow output that blocks the process. The output
// is blocked while more lines are logged than the buffer holds.
func TestSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		out := &blockableWriter{}
		l := logging.New(logging.Config{Out: out, Level: "info", Rate: 1000, BufferSize: 8})
		out.mu.Lock()
		began := time.Now()
		for range 100 {
			l.Logger().Info("busy")
		}
		g.Expect(time.Since(began)).To(gomega.BeZero(), "logging does not block")
		out.mu.Unlock()
		l.Close()
		g.Expect(l.Dropped()).To(gomega.BeNumerically(">=", 90))
	})
}
