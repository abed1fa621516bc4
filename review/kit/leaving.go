package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// freezeTime is how long one machine stands still: for_s of node_freeze in the site
	// file.
	freezeTime = 4 * time.Second
	drainTime  = 2 * time.Second
	inTouch    = 3 * time.Second
	// promptsPerSecond is the model work of all hosts together, as on a usual day.
	promptsPerSecond = 53
	// serveOn is how long a leaving runner goes on serving after drainTime.
	serveOn = 1500 * time.Millisecond
)

// lateOrders is the number of orders that are sent at the same time to a host once the
// runner must not get any more.
const lateOrders = 8

// startDesk starts the four runners of orders that the site has and returns the one that
// leaves, a share of 0.25.
func startDesk(d *deployment) *runner {
	leaves := startRunner(d.rec, "i-desk-leaves", "desk", "")
	d.runners = append(d.runners, leaves)
	for i := range 3 {
		d.runners = append(d.runners, startRunner(d.rec, fmt.Sprintf("i-desk-stays-%d", i), "desk", ""))
	}
	return leaves
}

var client = http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 100, IdleConnTimeout: 10 * time.Second}}

// send sends a request to a host and returns its id, and the status and body of the
// answer.
func send(h *host, path string, model bool) (id string, status int, body string, err error) {
	id = fmt.Sprintf("c%08d", attempts.Add(1))
	req, err := http.NewRequest(http.MethodPost, "http://"+h.front()+path, strings.NewReader("{}"))
	if err != nil {
		return id, 0, "", err
	}
	req.Host = "shop.example"
	req.Header.Set("X-Clementineshed-Attempt-Id", id)
	req.Header.Set("X-Clementineshed-Deadline-Ms", "4000")
	req.Header.Set("Api-Key", "key-1")
	if model {
		req.Header.Set("X-Clementineshed-Model", "m")
		req.Header.Set("X-Clementineshed-Token-Count", "460,80")
		req.Header.Set("X-Clementineshed-Prompt-Prefix", fmt.Sprintf("5c1e07a2:200,%x:260", 0x10000000+attempts.Load()))
	}
	resp, err := client.Do(req)
	if err != nil {
		return id, 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return id, resp.StatusCode, strings.TrimSpace(string(data)), err
}

// follower returns a host that does not read the store for the others.
func follower(d *deployment) *host {
	for until := time.Now().Add(25 * time.Second); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		for _, h := range d.hosts {
			lines := h.logs("message=host_state")
			if n := len(lines); n > 0 && strings.Contains(lines[n-1], "leads=false") {
				return h
			}
		}
	}
	return nil
}

// leaving plays a runner that leaves while a host stands still. The host misses the
// datagram in which another one tells of it.
func leaving(d *deployment, trouble bool) bool {
	for i := range 6 {
		stage := "prefill"
		if i%2 == 1 {
			stage = "decode"
		}
		r := startRunner(d.rec, fmt.Sprintf("i-llm-%d", i), "llm", stage)
		r.quiet = true
		d.runners = append(d.runners, r)
	}
	leaves := startDesk(d)
	for i, zone := range []string{"providence", "worcester", "nashua", "hartford", "providence", "worcester"} {
		d.addHost(i+1, zone, 0)
	}
	d.run()
	frozen := follower(d)
	if frozen == nil {
		d.rec.say("all hosts read the store: the case can't run")
		d.end()
		os.Exit(2)
	}
	d.rec.say("%s gets the announcements of runners from the leaders", frozen.name)
	var others []*host
	for _, h := range d.hosts {
		if h != frozen {
			others = append(others, h)
		}
	}
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Second / promptsPerSecond):
				go func() { _, _, _, _ = send(others[i%len(others)], "/chat/1", true) }()
			}
		}
	}()
	time.Sleep(2 * time.Second)
	if trouble {
		d.rec.say("%s stands still", frozen.name)
		frozen.signal(syscall.SIGSTOP)
	}
	thawAt := time.Now().Add(freezeTime)
	time.Sleep(time.Until(thawAt.Add(-400 * time.Millisecond)))
	leaves.mu.Lock()
	leaves.leaving = true
	leaves.mu.Unlock()
	d.rec.say("%s begins to leave: its answers say so", leaves.id)
	for range 24 {
		id, status, body, err := send(others[0], "/order/1", false)
		d.rec.line("caller at %s: order %s: %d %q %v", others[0].name, id, status, body, err)
		if strings.Contains(body, leaves.id) {
			break
		}
	}
	time.Sleep(time.Until(thawAt))
	if trouble {
		frozen.signal(syscall.SIGCONT)
		d.rec.say("%s goes on", frozen.name)
	}
	// The runner reports that it is draining with its next heartbeat.
	time.Sleep(800 * time.Millisecond)
	leaves.mu.Lock()
	leaves.announced = "draining"
	leaves.mu.Unlock()
	leaves.announce(d.store)
	ackAt := time.Now()
	d.rec.say("the store acknowledges that %s is draining", leaves.id)
	time.AfterFunc(drainTime+serveOn, func() {
		d.rec.say("%s exits", leaves.id)
		leaves.exit()
	})
	for _, r := range d.runners {
		r.work = 400 * time.Millisecond
	}
	from := ackAt.Add(drainTime + serveOn - 200*time.Millisecond)
	if least := thawAt.Add(inTouch + 100*time.Millisecond); from.Before(least) {
		from = least
	}
	time.Sleep(time.Until(from))
	late, lost := 0, 0
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range lateOrders {
		wg.Go(func() {
			id, status, body, err := send(frozen, "/order/2", false)
			mu.Lock()
			defer mu.Unlock()
			d.rec.line("caller at %s: order %s: %d %q %v; reached %s: %v", frozen.name, id, status, body, err, leaves.id, leaves.got(id))
			if leaves.got(id) {
				late++
				if status != http.StatusOK {
					lost++
				}
			}
		})
	}
	wg.Wait()
	d.rec.say("%d orders reached %s more than %v after the acknowledgement, sent by %s; %d of them are lost", late, leaves.id, drainTime, frozen.name, lost)
	for _, h := range d.hosts {
		for _, line := range h.logs("i-desk-leaves") {
			if strings.Contains(line, "change=leaving") {
				d.rec.line("%s: log: %s", h.name, line)
			}
		}
	}
	return late > 0
}
