package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// arrival is a request that has reached a runner.
type arrival struct {
	at                               time.Time
	id, method, target, body, expect string
	header                           http.Header
	// conn counts the connections of the runner.
	conn int
}

// runner is a stand-in of a runner that keeps its connections open.
type runner struct {
	id, stage string
	// software is the version of the runner's software.
	software string
	listener net.Listener
	born     int64
	// answer writes the answer to a request and reports whether the connection stays open.
	// It is called once the request has been read completely.
	answer func(c net.Conn, a arrival) (keep bool)

	mu       sync.Mutex
	state    string
	seq      int64
	conns    int
	arrivals []arrival
	// down ends the announcements.
	down bool
	open map[net.Conn]struct{}
}

// stop ends the runner: nothing listens any more, and its connections are reset.
func (r *runner) stop() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.open {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

func newRunner(id, stage string) *runner {
	r := &runner{id: id, stage: stage, software: "v1", listener: listen(), born: time.Now().UnixMilli(), state: "ready", open: map[net.Conn]struct{}{}}
	r.answer = func(c net.Conn, a arrival) bool { return r.respond(c, a, 200, nil, "answer to "+a.id) == nil }
	go r.serve()
	return r
}

func (r *runner) address() string { return r.listener.Addr().String() }

func (r *runner) announcement(service, zone string) map[string]any {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	a := map[string]any{"service": service, "address": r.address(), "zone": zone, "version": r.software, "slotCount": 16,
		"state": r.state, "coldLeftMs": 0, "seq": r.seq, "born": r.born}
	if r.stage != "" {
		a["stage"] = r.stage
		a["models"] = []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}
	}
	return a
}

func (r *runner) list() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

func (r *runner) serve() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns++
		n := r.conns
		r.open[c] = struct{}{}
		r.mu.Unlock()
		go r.serveConn(c, n)
	}
}

func (r *runner) serveConn(c net.Conn, n int) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		a := arrival{at: time.Now(), id: req.Header.Get("X-Clementineshed-Attempt-Id"), method: req.Method, target: req.RequestURI, body: string(body),
			expect: req.Header.Get("X-Clementineshed-Expect-Instance"), header: req.Header, conn: n}
		if !r.handle(c, a) {
			return
		}
	}
}

// handle answers a request and reports whether the connection stays open.
func (r *runner) handle(c net.Conn, a arrival) bool {
	switch {
	case a.target == "/report":
		r.mu.Lock()
		report, _ := json.Marshal(map[string]any{"stage": r.stage, "models": []any{}, "busy": false, "seq": 0, "waiting": 0, "running": 0, "born": r.born})
		r.mu.Unlock()
		return r.respond(c, a, 200, nil, string(report)) == nil
	case strings.HasPrefix(a.target, "/kv-list"):
		return r.respond(c, a, 200, nil, `{"epoch":1,"next":0,"held":[]}`) == nil
	case strings.HasPrefix(a.target, "/kv-handle/"):
		return r.respond(c, a, 200, nil, "{}") == nil
	case a.target == "/order":
		return r.respond(c, a, 202, nil, "{}") == nil
	case a.target == "/healthz":
		return r.respond(c, a, 200, []string{"X-Clementineshed-Instance-Id: " + r.id}, "") == nil
	case a.expect != "" && a.expect != r.id:
		return r.respond(c, a, 421, []string{"X-Clementineshed-Not-Executed: 1"}, "") == nil
	}
	r.mu.Lock()
	r.arrivals = append(r.arrivals, a)
	r.mu.Unlock()
	if r.stage == "prefill" {
		return r.respond(c, a, 200, nil, fmt.Sprintf(`{"kvHandle":"h%d","tokens":10,"version":1}`, time.Now().UnixNano())) == nil
	}
	return r.answer(c, a)
}

// respond writes a complete answer with a length.
func (r *runner) respond(c net.Conn, a arrival, status int, fields []string, body string) error {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	if a.id != "" {
		head += "X-Clementineshed-Attempt-Id: " + a.id + "\r\n"
		if r.stage != "prefill" {
			head += "X-Clementineshed-Server-Stamp: " + r.id + "." + a.id + "\r\n"
		}
	}
	for _, f := range fields {
		head += f + "\r\n"
	}
	_, err := io.WriteString(c, head+fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))+body)
	return err
}
