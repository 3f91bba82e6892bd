package jobs

import (
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"almondcove/fleet"
	"almondcove/job"
	"almondcove/owner"
	"almondcove/problem"
)

// maxExplainBytes limits the body of a request for an explanation.
const maxExplainBytes = 1 << 20

// Operators returns a handler that serves the node's metrics and, if the hash is not empty,
// explanations to operators at POST /explain. tokenHash is the SHA-256 of the operators' token,
// in hex. The body is a [job.Job], or only the id of an accepted one. Only the owner answers;
// another entry names it.
func (n *Node) Operators(tokenHash string) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", n.Metrics())
	if tokenHash != "" {
		mux.HandleFunc("POST /explain", func(w http.ResponseWriter, r *http.Request) {
			text, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
			if !ok || subtle.ConstantTimeCompare([]byte(fleet.HashSecret(text)), []byte(tokenHash)) != 1 {
				writeProblem(w, problem.New(http.StatusUnauthorized, "no valid token", "expected Authorization: Bearer TOKEN with the operators' token"))
				return
			}
			n.explain(w, r)
		})
	}
	return mux
}

// explain answers a request for an explanation.
func (n *Node) explain(w http.ResponseWriter, r *http.Request) {
	var j job.Job
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxExplainBytes)).Decode(&j); err != nil {
		writeProblem(w, problem.New(http.StatusBadRequest, "bad job", err.Error()))
		return
	}
	e, a := n.owner.Explain(&j)
	if p := n.explainProblem(a); p != nil {
		writeProblem(w, p)
		return
	}
	writeJSON(w, http.StatusOK, "application/json", e)
}

// explainProblem returns the problem that an answer stands for, or nil.
func (n *Node) explainProblem(a owner.Answer) *problem.Problem {
	switch a.Outcome {
	case owner.Done:
		return nil
	case owner.NotOwner:
		detail := "no owner is known"
		if o, known := n.shard.Owner(); known {
			detail = "ask entry " + strconv.Quote(o.Name)
		}
		return problem.New(http.StatusMisdirectedRequest, "not the owner", detail).WithRetryAfter(a.Retry)
	case owner.NoJob:
		return problem.New(http.StatusNotFound, "unknown job", a.Reason)
	case owner.Invalid:
		return problem.New(http.StatusUnprocessableEntity, "job not valid", a.Reason)
	}
	return problem.New(http.StatusTooManyRequests, "busy", a.Reason).WithRetryAfter(max(a.Retry, time.Second))
}

func writeProblem(w http.ResponseWriter, p *problem.Problem) {
	for name, values := range p.GetHeaders() {
		w.Header()[name] = values
	}
	writeJSON(w, p.Status, p.ContentType(""), p)
}

func writeJSON(w http.ResponseWriter, status int, mediaType string, v any) {
	w.Header().Set("Content-Type", mediaType)
	w.WriteHeader(status)
	// A write fails if the client has closed the connection; nobody is left to tell.
	_ = json.NewEncoder(w).Encode(v)
}
