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

// runInMemory runs f with a demo on an in-memory network and the fake clock of a
// synctest bubble.
func runInMemory(t *testing.T, f func(g *gomega.WithT, d *demo.Demo, net *standin.Network)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		net := &standin.Network{}
		d, err := demo.Start(t.Context(), demo.Config{MemoryNetwork: net})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() {
			ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
			defer cancel()
			d.ClearFaults()
			d.Stop(ctx)
		}()
		f(g, d, net)
	})
}

// reply is the response that a caller got, or the error if there was none.
type reply struct {
	status int
	header http.Header
	body   []byte
	err    error
}

// runMember returns the member "run" of a problem document, which says whether the
// task ran: no, unknown or yes. It is empty for other bodies.
func (r reply) runMember() string {
	var p struct{ Run string }
	_ = json.Unmarshal(r.body, &p)
	return p.Run
}

// post sends one task to entry i. The arguments in header are alternately names and
// values of header fields.
func post(d *demo.Demo, i int, queue string, body []byte, header ...string) reply {
	req, err := http.NewRequest(http.MethodPost, d.Access.Callers[i]+"/queues/"+queue+"/tasks", bytes.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	if queue != d.Access.OpenQueue {
		req.Header.Set("Authorization", "Bearer "+d.Access.Key)
	}
	for j := 0; j+1 < len(header); j += 2 {
		req.Header.Set(header[j], header[j+1])
	}
	res, err := d.HTTPClient().Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	out, err := io.ReadAll(res.Body)
	return reply{status: res.StatusCode, header: res.Header, body: out, err: err}
}

// digest returns the SHA-256 of body in hexadecimal, the format in which an upstream
// stand-in reports it.
func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// TestTaskThroughEachEntry guards against an entry that loses or changes a task's
// body, team or id between caller and upstream.
func TestTaskThroughEachEntry(t *testing.T) {
	runInMemory(t, func(g *gomega.WithT, d *demo.Demo, _ *standin.Network) {
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
