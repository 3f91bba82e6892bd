package operator_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"almondcove/entry"
	"almondcove/fleet"
	"almondcove/operator"
)

// backend counts the changes that it is asked for.
type backend struct {
	operator.Backend
	changes int
}

func (b *backend) Change(context.Context, fleet.Change) (entry.ChangeResult, error) {
	b.changes++
	return entry.ChangeResult{}, nil
}

func (b *backend) Restrict(context.Context, fleet.Restriction) (entry.ChangeResult, error) {
	b.changes++
	return entry.ChangeResult{}, nil
}

func (b *backend) Restore(context.Context) (entry.ChangeResult, error) {
	b.changes++
	return entry.ChangeResult{}, nil
}

// TestBadWait guards against a change that is made although the response says that the
// request was bad.
func TestBadWait(t *testing.T) {
	for _, c := range []struct{ method, path, body string }{
		{"POST", "/presets/peak/use", ""},
		{"DELETE", "/keys/abc", ""},
		{"POST", "/centres/east/out", ""},
		{"POST", "/config/restore", ""},
		{"POST", "/keys", `{"team":"a"}`},
	} {
		t.Run(c.method+" "+c.path, func(t *testing.T) {
			g := gomega.NewWithT(t)
			b := &backend{}
			h := operator.New(operator.Config{Backend: b, TokenHash: fleet.HashSecret("token")})
			r := httptest.NewRequestWithContext(t.Context(), c.method, c.path+"?wait=soon", strings.NewReader(c.body))
			r.Header.Set("Authorization", "Bearer token")
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			g.Expect(w.Code).To(gomega.Equal(http.StatusBadRequest), w.Body.String())
			g.Expect(b.changes).To(gomega.BeZero())
		})
	}
}
