package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// Times of machines, as in the settings of the entries.
const (
	moveTime   = 1500 * time.Millisecond
	upkeepTime = 2 * time.Second
)

// machine is a stand-in for a machine of the platform.
type machine struct {
	name, pool, zone string
	labels           []string
	cpu              int64
	state            string
	minion           *minion
	fence            int64
	upkept           map[int64]bool
}

func (m *machine) capacity() map[string]int64 {
	return map[string]int64{"cpu": m.cpu, "memMb": 131072, "gpu": 0}
}

// cloudHandler serves the interface for machines.
func (w *world) cloudHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/machines", func(rw http.ResponseWriter, _ *http.Request) {
		w.mu.Lock()
		defer w.mu.Unlock()
		rows := []any{}
		for _, m := range w.machines {
			id := ""
			if m.minion != nil {
				id = m.minion.id
			}
			rows = append(rows, map[string]any{
				"machine": m.name, "pool": m.pool, "state": m.state, "zone": m.zone, "labels": m.labels, "capacity": m.capacity(), "id": id,
			})
		}
		reply(rw, http.StatusOK, map[string]any{"machines": rows, "nextToken": nil})
	})
	mux.HandleFunc("POST /-/machine-move", w.serveMachineOrder)
	mux.HandleFunc("POST /-/machine-upkeep", w.serveMachineOrder)
	return mux
}

// machineCall is a call to move a machine or to begin its upkeep.
type machineCall struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Wave    int64  `json:"wave"`
	// move is set for a move.
	move   bool
	holder string
	fence  int64
}

func (w *world) serveMachineOrder(rw http.ResponseWriter, r *http.Request) {
	in := machineCall{move: r.URL.Path == "/-/machine-move", holder: r.Header.Get("Holder")}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		reply(rw, http.StatusBadRequest, nil)
		return
	}
	in.fence, _ = strconv.ParseInt(r.Header.Get("Fence-Token"), 10, 64)
	w.mu.Lock()
	delay := w.lateUpkeep
	if !in.move {
		w.lateUpkeep = 0
	}
	w.mu.Unlock()
	if !in.move && delay > 0 {
		w.rec.printf("the call of %s for the upkeep of %s gets no answer and is carried out in %v", in.holder, in.Machine, delay)
		w.onLate()
		time.AfterFunc(delay, func() {
			code, _ := w.machineOrder(in)
			w.rec.printf("the late call for the upkeep of %s is carried out: %d", in.Machine, code)
		})
		<-r.Context().Done()
		return
	}
	code, body := w.machineOrder(in)
	reply(rw, code, body)
}

// machineOrder carries out a call.
func (w *world) machineOrder(in machineCall) (int, any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var m *machine
	for _, each := range w.machines {
		if each.name == in.Machine {
			m = each
		}
	}
	switch {
	case m == nil:
		return http.StatusBadRequest, nil
	case in.fence < m.fence:
		return http.StatusConflict, map[string]string{"reason": "fence"}
	case in.move && m.pool == in.Pool, !in.move && m.upkept[in.Wave]:
		m.fence = in.fence
		return http.StatusOK, nil
	case m.state != "up":
		return http.StatusConflict, map[string]string{"reason": "busy"}
	}
	m.fence = in.fence
	down := moveTime
	if in.move {
		w.rec.printf("move of machine %s to %s ordered by %s with token %d", m.name, in.Pool, in.holder, in.fence)
		m.pool, m.state = in.Pool, "moving"
	} else {
		under := 0
		for _, other := range w.machines {
			if other.state == "upkeep" {
				under++
			}
		}
		w.rec.printf("upkeep of machine %s begins, ordered by %s with token %d, while %d are down for theirs", m.name, in.holder, in.fence, under)
		w.mostUpkeeps = max(w.mostUpkeeps, under+1)
		m.upkept[in.Wave], m.state, down = true, "upkeep", upkeepTime
	}
	if old := m.minion; old != nil {
		m.minion = nil
		go old.end("its machine goes down by order")
	}
	time.AfterFunc(down, func() {
		w.mu.Lock()
		m.state = "up"
		w.mu.Unlock()
		w.startMinion(m)
	})
	return http.StatusOK, nil
}

// crash ends the minion of a machine, which starts another one after the given time; zero
// means never.
func (w *world) crash(n *minion, down time.Duration) {
	w.mu.Lock()
	m := n.machine
	m.minion, m.state = nil, "down"
	w.mu.Unlock()
	n.end("crash")
	if down == 0 {
		return
	}
	time.AfterFunc(down, func() {
		w.mu.Lock()
		m.state = "up"
		w.mu.Unlock()
		w.startMinion(m)
	})
}
