//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["cut"] = cutStream }

const (
	// cutShare is the part of the answers that a faulty runner breaks off.
	cutShare = 0.05
	// cutEvents is the number of events of a whole stream.
	cutEvents = 8
)

// cutStream: half of the runners break off a part of their streams, which have neither a
// length nor chunks. A tenth of the route's requests goes to a service without engines.
func cutStream(d *deployment, rec *record) []string {
	draft := route("draft", "stream", "", 1, 8000, 600)
	draft["split"] = []any{map[string]any{"service": "llm", "weight": 90}, map[string]any{"service": "order-desk", "weight": 10}}
	d.configure([]any{route("order", "unsafe", "order-desk", 2, 1000, 150), draft}, nil)
	var mu sync.Mutex
	cut := map[string]string{}
	add := func(r *runner, faulty bool) {
		r.custom = func(w http.ResponseWriter, req *http.Request, _ []byte) bool {
			if req.URL.Path != "/draft/2f" || req.Header.Get("X-Clementineshed-Stage") == "prefill" {
				return false
			}
			id := req.Header.Get("X-Clementineshed-Attempt-Id")
			at := 0
			if faulty && trouble && rand.Float64() < cutShare {
				at = 2 + rand.IntN(cutEvents-2)
				mu.Lock()
				cut[id] = r.id
				mu.Unlock()
			}
			unframedStream(w, r.id, id, at)
			return true
		}
		d.addRunner(r)
	}
	for i := range 4 {
		add(newRunner(d.ip(), fmt.Sprintf("i-desk%d", i), "order-desk", zones[i%4], ""), i%2 == 0)
	}
	for i := range 12 {
		stage := "decode"
		if i%4 == 0 {
			stage = "prefill"
		}
		add(newRunner(d.ip(), fmt.Sprintf("i-llm%d", i), "llm", zones[i%4], stage), i%2 == 1)
	}
	d.startHosts(6, "")
	time.Sleep(4 * time.Second)
	ctx, stop := context.WithCancel(context.Background())
	var l load
	d.run(ctx, &l, 150, []string{"draft", "draft", "draft", "order"}, d.hosts)
	time.Sleep(25 * time.Second)
	stop()
	l.wg.Wait()
	l.write(rec)
	d.writeRuns(rec)
	var broken []string
	served, seen := 0, 0
	for _, c := range l.calls {
		if c.kind != "draft" {
			continue
		}
		complete := c.status == 200 && c.err == nil
		if complete {
			served++
		}
		by, was := cut[c.id]
		if was {
			seen++
			rec.line("%s broke off the stream of %s: the client got %s, complete %v, %d events", by, c.id, c.outcome(), complete, strings.Count(c.body, "\n\n"))
		}
		if events := strings.Count(c.body, "\n\n"); complete && (events != cutEvents || !strings.HasSuffix(c.body, "\n\n")) {
			broken = append(broken, fmt.Sprintf("ORDER: the stream of %s, which %s broke off, ended as complete after %d of %d events", c.id, by, events, cutEvents))
		}
	}
	rec.line("%d streams ended as complete, %d were broken off by their runner", served, seen)
	return broken
}

// unframedStream writes a stream that ends with its connection. If cutAt is not zero, the
// connection ends inside that event.
func unframedStream(w http.ResponseWriter, runner, id string, cutAt int) {
	conn, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Clementineshed-Attempt-Id: %s\r\nX-Clementineshed-Server-Stamp: stamp.%s.%s\r\nConnection: close\r\n\r\n", id, runner, id)
	for i := 1; i <= cutEvents; i++ {
		event := fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", i, i, id)
		if i == cutAt {
			_, _ = conn.Write([]byte(event[:len(event)/2]))
			return
		}
		_, _ = conn.Write([]byte(event))
		time.Sleep(20 * time.Millisecond)
	}
}
