package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["outage"] = outage }

const (
	drainTime   = 2 * time.Second
	contactTime = 3 * time.Second
	// cutTime is how long front-1 is cut off from the store, removedAfter how long after that
	// a runner's entry is removed, and servesOn how long the runner serves after that.
	cutTime      = 4 * time.Second
	removedAfter = 300 * time.Millisecond
	servesOn     = 3 * time.Second
	orderWork    = 220 * time.Millisecond
)

// outage cuts two hosts off from the store, heals one of them, and removes the entry of a runner
// while the other one is still cut off.
func outage(disturb bool) int {
	rec := newRecord()
	d := newDeployment()
	defer d.stop()
	var gone sync.WaitGroup
	for i := range 4 {
		r := newRunner(fmt.Sprintf("i-%d", i), "")
		r.answer = func(c net.Conn, a arrival) bool {
			time.Sleep(orderWork)
			return r.respond(c, a, 200, nil, "answer to "+a.id) == nil
		}
		d.runners["order-desk"] = append(d.runners["order-desk"], r)
	}
	d.route("/ship/", "unsafe", "order-desk", 4000, 1, false)
	d.configure()
	d.announce()
	p1, p2 := newProxy(d.store.address()), newProxy(d.store.address())
	h1 := d.startWith("front-1", "east", p1.address())
	h2 := d.startWith("front-2", "west", p2.address())
	time.Sleep(6 * time.Second)
	if disturb {
		p1.cut()
		p2.cut()
		rec.line("both hosts are cut off from the store")
	}
	time.Sleep(cutTime)
	p1.heal()
	healed := time.Now()
	rec.line("front-1 reaches the store again")
	time.Sleep(removedAfter)
	leaving := d.runners["order-desk"][0]
	leaving.mu.Lock()
	leaving.down = true
	leaving.mu.Unlock()
	d.store.put("keyed.servers", leaving.id, nil)
	removed := time.Now()
	rec.line("the entry of %s is removed: acknowledged by the store", leaving.id)
	gone.Go(func() {
		time.Sleep(servesOn)
		leaving.stop()
		rec.line("%s exits", leaving.id)
	})
	time.Sleep(time.Until(healed.Add(contactTime + 20*time.Millisecond)))
	var mu sync.Mutex
	ends := map[string]int{}
	sentAt := map[string]time.Time{}
	var wg sync.WaitGroup
	for i := range 60 {
		wg.Go(func() {
			id := fmt.Sprintf("order-%d", i)
			c, err := dial(h1)
			if err != nil {
				rec.line("%s: %v", id, err)
				return
			}
			defer func() { _ = c.Close() }()
			mu.Lock()
			sentAt[id] = time.Now()
			mu.Unlock()
			_, _ = io.WriteString(c, request("POST", "/ship/box", id, 3*time.Second, "Content-Length: 0"))
			_ = c.SetDeadline(time.Now().Add(5 * time.Second))
			status := 0
			if resp, err := answerOf(bufio.NewReader(c)); err == nil {
				status = resp.StatusCode
			}
			mu.Lock()
			ends[id] = status
			mu.Unlock()
		})
		time.Sleep(12 * time.Millisecond)
	}
	wg.Wait()
	gone.Wait()
	late, lost := 0, 0
	for _, a := range leaving.list() {
		if !strings.HasPrefix(a.id, "order-") || a.at.Sub(removed) <= drainTime {
			continue
		}
		late++
		rec.line("%s, sent at %.3f s, reached %s at %.3f s, %.3f s after the removal; its client got %d", a.id, sentAt[a.id].Sub(rec.start).Seconds(),
			leaving.id, a.at.Sub(rec.start).Seconds(), a.at.Sub(removed).Seconds(), ends[a.id])
		if ends[a.id] != 200 {
			lost++
		}
	}
	if !h1.running() || !h2.running() {
		rec.line("a host has ended")
		return notRun
	}
	return rec.verdict(late > 0, "%d of 60 orders reached the runner later than %v after its entry was removed; %d of these had begun to run and were lost at its exit", late, drainTime, lost)
}
