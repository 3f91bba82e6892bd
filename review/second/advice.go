package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// The time that the advice service takes for a call, how long its tickets are valid, and how
// many calls may wait.
const (
	decideTime  = 100 * time.Millisecond
	eachTime    = 2 * time.Millisecond
	ticketTime  = 3 * time.Second
	maxWaiting  = 32
	adviceField = `{"decideMs":100,"eachMs":2,"validMs":3000}`
)

// adviceHandler serves the advice service: it handles one call at a time, in turn, and
// refuses further ones while 32 are waiting.
func (w *world) adviceHandler() http.Handler {
	waiting := make(chan struct{}, maxWaiting)
	turn := make(chan struct{}, 1)
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		var in struct {
			Step    string   `json:"step"`
			Workers []string `json:"workers"`
		}
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil || len(in.Workers) > 100 {
			reply(rw, http.StatusBadRequest, nil)
			return
		}
		select {
		case waiting <- struct{}{}:
		default:
			w.rec.printf("advice on %s refused: 32 calls are waiting", in.Step)
			reply(rw, http.StatusTooManyRequests, nil)
			return
		}
		turn <- struct{}{}
		<-waiting
		time.Sleep(decideTime + time.Duration(len(in.Workers))*eachTime)
		<-turn
		good := [][]string{}
		w.runsMu.Lock()
		for _, id := range in.Workers {
			if only := w.onlyOn[jobOf(in.Step)]; only != "" && only != id {
				continue
			}
			good = append(good, []string{id, fmt.Sprintf("%s@%s", in.Step, id)})
			w.tickets[in.Step+"@"+id] = time.Now().Add(ticketTime)
		}
		w.runsMu.Unlock()
		w.rec.printf("advice on %s: %d of %d minions may run it", in.Step, len(good), len(in.Workers))
		reply(rw, http.StatusOK, map[string]any{"good": good, "validMs": ticketTime.Milliseconds()})
	})
}
