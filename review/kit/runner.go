package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// runner is a stand-in of a runner on an address of its own.
type runner struct {
	id, service, zone, stage string
	rec                      *record
	listener                 net.Listener
	server                   *http.Server
	born                     int64
	seq                      atomic.Int64
	handles                  atomic.Int64
	// work is the time that a plain request takes.
	work time.Duration
	// events and gap are those of a stream.
	events int
	gap    time.Duration
	quiet  bool

	mu sync.Mutex
	// The fields below are guarded by mu. leaving is set once the runner leaves;
	// announced is what its entry in the store says.
	leaving, gone bool
	announced     string
	arrivals      []arrival
	seen          map[string]bool
}

// arrival is a request that reached the runner.
type arrival struct {
	id, stage string
	at        time.Time
}

func startRunner(rec *record, id, service, stage string) *runner {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal(err)
	}
	r := &runner{id: id, service: service, zone: "providence", stage: stage, rec: rec, listener: l, born: time.Now().UnixMilli(),
		work: 30 * time.Millisecond, events: 4, gap: 10 * time.Millisecond, announced: "ready", seen: map[string]bool{}}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	return r
}

func (r *runner) address() string { return r.listener.Addr().String() }

// exit ends the runner as a process that ends does: its connections close.
func (r *runner) exit() {
	r.mu.Lock()
	r.gone = true
	r.mu.Unlock()
	_ = r.server.Close()
}

// announce writes the runner's entry to the store.
func (r *runner) announce(s *store) {
	r.mu.Lock()
	state, gone := r.announced, r.gone
	r.mu.Unlock()
	if gone {
		return
	}
	entry := map[string]any{"service": r.service, "address": r.address(), "zone": r.zone, "version": "v1", "slotCount": 64,
		"state": state, "coldLeftMs": 0, "seq": r.seq.Add(1), "born": r.born}
	if r.stage != "" {
		entry["stage"] = r.stage
		entry["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	s.put("keyed.servers", r.id, entry)
}

func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	h := req.Header
	r.mu.Lock()
	if r.leaving {
		w.Header().Set("Server-Leaving", "1")
		w.Header().Set("Connection", "close")
	}
	r.mu.Unlock()
	switch {
	case req.URL.Path == "/report":
		writeJSON(w, map[string]any{"stage": r.stage, "models": []any{}, "busy": false, "seq": 0, "waiting": 0, "running": 0, "kvUsedTokens": 0, "kvTotalTokens": 500000, "kvHandles": 0})
		return
	case req.URL.Path == "/kv-list":
		writeJSON(w, map[string]any{"epoch": 1, "next": 0, "held": []any{}})
		return
	case req.URL.Path == "/order":
		// The order already holds, or this runner takes none.
		w.WriteHeader(http.StatusConflict)
		return
	case req.Method == http.MethodDelete:
		return
	}
	id := h.Get("X-Clementineshed-Attempt-Id")
	stage := h.Get("X-Clementineshed-Stage")
	r.mu.Lock()
	r.arrivals = append(r.arrivals, arrival{id, stage, time.Now()})
	r.seen[id] = true
	r.mu.Unlock()
	if !r.quiet {
		r.rec.line("%s: request %s %s arrives", r.id, id, stage)
	}
	n, err := io.Copy(io.Discard, req.Body)
	w.Header().Set("X-Clementineshed-Attempt-Id", id)
	if expect := h.Get("X-Clementineshed-Expect-Instance"); expect != "" && expect != r.id || r.stage != "" && (stage == "prefill") != (r.stage == "prefill") {
		w.Header().Set("X-Clementineshed-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if err != nil {
		return
	}
	if stage == "prefill" {
		time.Sleep(5 * time.Millisecond)
		writeJSON(w, map[string]any{"kvHandle": fmt.Sprintf("%s-%d", r.id, r.handles.Add(1)), "tokens": 100, "version": 1})
		return
	}
	w.Header().Set("X-Clementineshed-Server-Stamp", "stamp."+r.id+"."+id)
	if r.stage == "decode" {
		w.Header().Set("Content-Type", "text/event-stream")
		for i := 1; i <= r.events; i++ {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d of %s\n\n", i, i, id)
			w.(http.Flusher).Flush()
			time.Sleep(r.gap)
		}
		return
	}
	if !r.quiet {
		r.rec.line("%s: runs %s (%d bytes)", r.id, id, n)
	}
	select {
	case <-req.Context().Done():
		r.rec.line("%s: the connection of %s closes during its run", r.id, id)
		return
	case <-time.After(r.work):
	}
	_, _ = fmt.Fprintf(w, "done %s by %s", id, r.id)
	if !r.quiet {
		r.rec.line("%s: answers %s", r.id, id)
	}
}

// got reports whether a request reached the runner.
func (r *runner) got(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seen[id]
}
