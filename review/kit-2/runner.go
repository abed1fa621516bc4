//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that reached a runner.
type arrival struct {
	id, runner, stage, path string
	at                      time.Time
	// ran says that the runner began to work on it.
	ran bool
	// done says that the runner wrote its whole answer.
	done bool
}

// runner is a stand-in of a runner of a service. stage is "prefill", "decode" or empty for
// a plain one.
type runner struct {
	id, service, zone, stage string
	slots                    int
	work                     time.Duration
	// events is the number of events of a stream, gap the time between two.
	events int
	gap    time.Duration
	born   int64

	listener net.Listener
	server   *http.Server
	seq      atomic.Int64
	handles  atomic.Int64
	taken    chan struct{}
	// custom, if set, answers a request that the runner has begun to run, and reports
	// whether it did.
	custom func(w http.ResponseWriter, req *http.Request, body []byte) bool

	mu sync.Mutex
	// The fields below are guarded by mu.
	arrivals []*arrival
	state    string
	leaving  bool
}

func newRunner(ip, id, service, zone, stage string) *runner {
	r := &runner{id: id, service: service, zone: zone, stage: stage, slots: 6, work: 30 * time.Millisecond, events: 8, gap: 20 * time.Millisecond,
		born: time.Now().UnixMilli(), listener: listen(ip), state: "ready"}
	if stage != "" {
		r.slots = 64
	}
	r.taken = make(chan struct{}, r.slots)
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(r.listener) }()
	return r
}

func (r *runner) address() string { return r.listener.Addr().String() }

// stop ends the runner as the exit of its process does.
func (r *runner) stop() { _ = r.server.Close() }

// announcement is the runner's entry in the store.
func (r *runner) announcement() map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := map[string]any{"service": r.service, "address": r.address(), "zone": r.zone, "version": "v1", "slotCount": r.slots,
		"state": r.state, "coldLeftMs": 0, "seq": r.seq.Add(1), "born": r.born}
	if r.stage != "" {
		a["stage"], a["models"] = r.stage, []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	return a
}

func (r *runner) setState(state string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = state
}

func (r *runner) seen() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]arrival, 0, len(r.arrivals))
	for _, a := range r.arrivals {
		list = append(list, *a)
	}
	return list
}

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	switch {
	case req.URL.Path == "/healthz":
		w.Header().Set("X-Clementineshed-Instance-Id", r.id)
		return
	case req.URL.Path == "/report":
		writeJSON(w, map[string]any{"stage": r.stage, "models": []any{}, "busy": false, "seq": 0, "waiting": 0, "running": 0, "kvUsedTokens": 0, "kvTotalTokens": 500000, "kvHandles": 0, "born": r.born})
		return
	case req.URL.Path == "/kv-list":
		writeJSON(w, map[string]any{"epoch": 1, "next": 0, "held": []any{}, "born": r.born})
		return
	case req.URL.Path == "/order":
		w.WriteHeader(http.StatusConflict)
		return
	case strings.HasPrefix(req.URL.Path, "/kv-handle/"):
		return
	}
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	a := &arrival{id: req.Header.Get("X-Clementineshed-Attempt-Id"), runner: r.id, stage: req.Header.Get("X-Clementineshed-Stage"), path: req.URL.Path, at: time.Now()}
	r.mu.Lock()
	r.arrivals = append(r.arrivals, a)
	leaving := r.leaving
	r.mu.Unlock()
	h := w.Header()
	h.Set("X-Clementineshed-Attempt-Id", a.id)
	if leaving {
		h.Set("Server-Leaving", "1")
	}
	expect := req.Header.Get("X-Clementineshed-Expect-Instance")
	if expect != "" && expect != r.id || r.stage != "" && (a.stage == "prefill") != (r.stage == "prefill") {
		h.Set("X-Clementineshed-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	ctx := req.Context()
	if ms, err := strconv.Atoi(req.Header.Get("X-Clementineshed-Deadline-Ms")); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	select {
	case r.taken <- struct{}{}:
		defer func() { <-r.taken }()
	case <-ctx.Done():
		h.Set("X-Clementineshed-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if a.stage != "prefill" {
		r.mu.Lock()
		a.ran = true
		r.mu.Unlock()
	}
	if r.custom != nil && r.custom(w, req, body) {
		return
	}
	switch {
	case a.stage == "prefill":
		wait(ctx, r.work)
		writeJSON(w, map[string]any{"kvHandle": fmt.Sprintf("%s%x", r.id, r.handles.Add(1)), "tokens": 100, "version": 1})
	case r.stage == "decode":
		r.stream(ctx, w, req)
	default:
		wait(ctx, r.work)
		h.Set("X-Clementineshed-Server-Stamp", "stamp."+r.id+"."+a.id)
		_, _ = io.WriteString(w, "answer of "+r.id+" to "+a.id)
	}
	r.mu.Lock()
	a.done = ctx.Err() == nil
	r.mu.Unlock()
}

func (r *runner) stream(ctx context.Context, w http.ResponseWriter, req *http.Request) {
	h := w.Header()
	h.Set("X-Clementineshed-Server-Stamp", "stamp."+r.id+"."+req.Header.Get("X-Clementineshed-Attempt-Id"))
	h.Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	for i := from + 1; i <= r.events && ctx.Err() == nil; i++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d of %s\n\n", i, i, req.Header.Get("X-Clementineshed-Attempt-Id"))
		w.(http.Flusher).Flush()
		wait(ctx, r.gap)
	}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
