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

func (w *world) serveMachineOrder(rw http.ResponseWriter, r *http.Request) {
	var in struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int64  `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		reply(rw, http.StatusBadRequest, nil)
		return
	}
	fence, _ := strconv.ParseInt(r.Header.Get("Fence-Token"), 10, 64)
	w.mu.Lock()
	defer w.mu.Unlock()
	var m *machine
	for _, each := range w.machines {
		if each.name == in.Machine {
			m = each
		}
	}
	move := r.URL.Path == "/-/machine-move"
	switch {
	case m == nil:
		reply(rw, http.StatusBadRequest, nil)
		return
	case fence < m.fence:
		reply(rw, http.StatusConflict, map[string]string{"reason": "fence"})
		return
	case move && m.pool == in.Pool, !move && m.upkept[in.Wave]:
		m.fence = fence
		reply(rw, http.StatusOK, nil)
		return
	case m.state != "up":
		reply(rw, http.StatusConflict, map[string]string{"reason": "busy"})
		return
	}
	m.fence = fence
	w.rec.printf("%s of machine %s ordered by %s with token %d", r.URL.Path, m.name, r.Header.Get("Holder"), fence)
	down := upkeepTime
	if move {
		m.pool, m.state, down = in.Pool, "moving", moveTime
	} else {
		m.upkept[in.Wave], m.state = true, "upkeep"
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
	reply(rw, http.StatusOK, nil)
}

// crash ends the minion of a machine, which starts another one after the given time.
func (w *world) crash(n *minion, down time.Duration) {
	w.mu.Lock()
	m := n.machine
	m.minion, m.state = nil, "down"
	w.mu.Unlock()
	n.end("crash")
	time.AfterFunc(down, func() {
		w.mu.Lock()
		m.state = "up"
		w.mu.Unlock()
		w.startMinion(m)
	})
}
