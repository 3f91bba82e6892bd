package demo_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"almondcove/demo"
	"almondcove/standin"
)

// inMemory runs f with a demo on a network in memory and a paused clock.
func inMemory(t *testing.T, f func(g *gomega.WithT, d *demo.Demo, net *standin.Network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		net := &standin.Network{}
		d, err := demo.Start(t.Context(), demo.Config{Memory: net})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() {
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			d.Clear()
			d.Stop(ctx)
		}()
		f(g, d, net)
	})
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
}

func (r reply) run() string {
	var p struct{ Run string }
	_ = json.Unmarshal(r.body, &p)
	return p.Run
}

// post sends one task to entry i.
func post(d *demo.Demo, i int, queue string, body []byte, header ...string) reply {
	req, err := http.NewRequest(http.MethodPost, d.Access.Callers[i]+"/queues/"+queue+"/tasks", bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	if queue != d.Access.Open {
		req.Header.Set("Authorization", "Bearer "+d.Access.Key)
	}
	for j := 0; j+1 < len(header); j += 2 {
		req.Header.Set(header[j], header[j+1])
	}
	res, err := d.HTTP().Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	out, err := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, header: res.Header, body: out, err: err}
}

func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

func TestTaskThroughEachEntry(t *testing.T) {
	inMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
		body := []byte("one pint")
		for i := range d.Access.Callers {
			r := post(d, i, d.Access.Queue, body)
			g.Expect(r.err).NotTo(gomega.HaveOccurred())
			g.Expect(r.status).To(gomega.Equal(http.StatusOK))
			var out struct{ ID, Team, Digest string }
			g.Expect(json.Unmarshal(r.body, &out)).To(gomega.Succeed())
			g.Expect(out.Team).To(gomega.Equal("festival"))
			g.Expect(out.Digest).To(gomega.Equal(digest(body)))
			g.Expect(out.ID).To(gomega.Equal(r.header.Get("Task-Id")))
		}
	})
}
