package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// usualConnections are open at each host on a usual day, of the 3,900 that a host
	// may have (4,100 descriptors, 200 of them for files). burstFactor is the size of a
	// burst: the site file has 2.0 at most.
	usualConnections = 2100
	burstFactor      = 1.95
	lookupTimeout    = 1000 * time.Millisecond
	// lateAfter is when an answer counts as missing: half a second past the time-out.
	lateAfter = lookupTimeout + 500*time.Millisecond
)

var attempts atomic.Int64

// get sends a safe request on a connection and waits for its answer.
func get(nc net.Conn, wait time.Duration) (id string, err error) {
	id = fmt.Sprintf("a%08d", attempts.Add(1))
	_ = nc.SetDeadline(time.Now().Add(wait))
	if _, err := fmt.Fprintf(nc, "GET /lookup/1 HTTP/1.1\r\nHost: shop.example\r\nX-Clementineshed-Attempt-Id: %s\r\nX-Clementineshed-Deadline-Ms: %d\r\nApi-Key: key-1\r\n\r\n", id, lookupTimeout.Milliseconds()); err != nil {
		return id, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return id, err
	}
	_ = resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return id, fmt.Errorf("status %d", resp.StatusCode)
	}
	return id, nil
}

// open opens connections to a host, sends a request on each and leaves it open.
func open(h *host, count int) (conns []net.Conn, failed int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, 40)
	for range count {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			nc, err := net.DialTimeout("tcp", h.front(), time.Second)
			if err == nil {
				_, err = get(nc, lateAfter)
			}
			mu.Lock()
			defer mu.Unlock()
			if nc != nil {
				conns = append(conns, nc)
			}
			if err != nil {
				failed++
			}
		})
	}
	wg.Wait()
	return conns, failed
}

// descriptors plays a burst of callers that takes the descriptors of the hosts, and
// checks, long after the burst, that the hosts still serve new connections.
func descriptors(d *deployment, trouble bool) bool {
	for i := range 4 {
		r := startRunner(d.rec, fmt.Sprintf("i-desk-%d", i), "desk", "")
		r.quiet, r.work = true, 5*time.Millisecond
		d.runners = append(d.runners, r)
	}
	hosts := []*host{d.addHost(1, "providence", 4100), d.addHost(2, "providence", 4100)}
	d.run()
	time.Sleep(3 * time.Second)
	var kept [][]net.Conn
	for _, h := range hosts {
		conns, failed := open(h, usualConnections)
		d.rec.say("%s: %d connections open, %d requests failed", h.name, len(conns), failed)
		kept = append(kept, conns)
	}
	if trouble {
		extra := int(usualConnections * (burstFactor - 1))
		var wg sync.WaitGroup
		for _, h := range hosts {
			wg.Go(func() {
				conns, failed := open(h, extra)
				d.rec.say("%s: burst of %d further connections, %d requests failed; it holds %.0f MB", h.name, len(conns), failed, h.residentMB())
				time.Sleep(time.Second)
				for _, nc := range conns {
					_ = nc.Close()
				}
			})
		}
		wg.Wait()
		d.rec.line("the burst has ended")
	}
	for _, conns := range kept {
		for _, nc := range conns[:len(conns)/2] {
			_ = nc.Close()
		}
	}
	// Machines count as slowed until 5 s after callers have pressed beyond the usual.
	time.Sleep(9 * time.Second)
	keptErrs := make([]error, len(hosts))
	for i := range hosts {
		_, keptErrs[i] = get(kept[i][len(kept[i])-1], lateAfter)
	}
	broken := false
	for i, h := range hosts {
		ready := h.isReady()
		unanswered := 0
		const probes = 20
		var wg sync.WaitGroup
		var mu sync.Mutex
		for range probes {
			wg.Go(func() {
				sentAt := time.Now()
				nc, err := net.DialTimeout("tcp", h.front(), time.Second)
				id := ""
				if err == nil {
					id, err = get(nc, lateAfter)
					_ = nc.Close()
				}
				mu.Lock()
				defer mu.Unlock()
				if err != nil {
					unanswered++
				}
				reached := false
				for _, r := range d.runners {
					reached = reached || r.got(id)
				}
				d.rec.line("%s: new connection, request %q: error %v after %d ms, reached a runner: %v", h.name, id, err, time.Since(sentAt).Milliseconds(), reached)
			})
			time.Sleep(100 * time.Millisecond)
		}
		wg.Wait()
		d.rec.say("%s: says ready: %v; %d of %d requests on new connections have no answer %v after they were sent; a request on a kept connection: error %v", h.name, ready, unanswered, probes, lateAfter, keptErrs[i])
		for _, line := range h.logs("listener_failed") {
			d.rec.say("%s: log: %s", h.name, line)
		}
		broken = broken || unanswered > probes/2
	}
	return broken
}
