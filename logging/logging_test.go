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

// reader is a reader that can stand still.
type reader struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (r *reader) Write(p []byte) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.buf.Write(p)
}

func (r *reader) count(text string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Count(r.buf.String(), text)
}

func TestRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		out := &reader{}
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

func TestSlowReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		out := &reader{}
		l := logging.New(logging.Config{Out: out, Level: "info", Rate: 1000, Ring: 8})
		out.mu.Lock()
		began := time.Now()
		for range 100 {
			l.Logger().Info("busy")
		}
		g.Expect(time.Since(began)).To(gomega.BeZero(), "the log is not waited for")
		out.mu.Unlock()
		l.Close()
		g.Expect(l.Dropped()).To(gomega.BeNumerically(">=", 90))
	})
}
