package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

func init() { cases["gone"] = gone }

const (
	// goneClients are the clients, goneLeaving those of them that leave, a share of 0.3.
	goneClients = 60
	goneLeaving = 18
	// goneFew is what is still taken for "a few" requests.
	goneFew = 10
	// goneSlack is how long after the close of its client a request may still reach a runner.
	goneSlack = 500 * time.Millisecond
)

// gone lets clients leave that have sent their next request before the last one was answered.
func gone(disturb bool) int {
	rec := newRecord()
	d := newDeployment()
	defer d.stop()
	for i := range 4 {
		r := newRunner(fmt.Sprintf("i-%d", i), "")
		r.answer = func(c net.Conn, a arrival) bool {
			time.Sleep(1200 * time.Millisecond)
			return r.respond(c, a, 200, nil, "answer to "+a.id) == nil
		}
		d.runners["order-desk"] = append(d.runners["order-desk"], r)
	}
	d.route("/lookup/", "safe", "order-desk", 8000, 1, false)
	d.configure()
	d.announce()
	h := d.start("front-1", "east")
	// The host has been in touch for contactMs by then.
	time.Sleep(3500 * time.Millisecond)
	closedAt := make([]time.Time, goneClients)
	answered := make([]int, goneClients)
	var wg sync.WaitGroup
	for i := range goneClients {
		wg.Go(func() {
			c, err := dial(h)
			if err != nil {
				rec.line("client %d: %v", i, err)
				return
			}
			defer func() { _ = c.Close() }()
			_, _ = io.WriteString(c, request("GET", "/lookup/first", fmt.Sprintf("first-%d", i), 8*time.Second))
			time.Sleep(50 * time.Millisecond)
			_, _ = io.WriteString(c, request("GET", "/lookup/second", fmt.Sprintf("second-%d", i), 8*time.Second))
			if disturb && i < goneLeaving {
				time.Sleep(250 * time.Millisecond)
				_ = c.Close()
				closedAt[i] = time.Now()
				rec.line("client %d leaves", i)
				return
			}
			_ = c.SetDeadline(time.Now().Add(9 * time.Second))
			in := bufio.NewReader(c)
			for range 2 {
				resp, err := answerOf(in)
				if err != nil {
					rec.line("client %d: %v", i, err)
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				if resp.StatusCode == 200 {
					answered[i]++
				}
			}
		})
	}
	wg.Wait()
	time.Sleep(2 * time.Second)
	late := 0
	for _, r := range d.runners["order-desk"] {
		for _, a := range r.list() {
			rec.line("%s reached %s at %.3f s", a.id, r.id, a.at.Sub(rec.start).Seconds())
			var i int
			if _, err := fmt.Sscanf(a.id, "second-%d", &i); err != nil {
				continue
			}
			if after := a.at.Sub(closedAt[i]); !closedAt[i].IsZero() && after > goneSlack {
				late++
				rec.line("%s reached it %.3f s after its client had closed the connection", a.id, after.Seconds())
			}
		}
	}
	served := 0
	for i, n := range answered {
		if n == 2 && closedAt[i].IsZero() {
			served++
		}
	}
	if !h.running() {
		rec.line("front-1 has ended")
		return notRun
	}
	return rec.verdict(late > goneFew, "%d requests reached a runner more than %v after their client had closed its connection; %d clients that stayed got both answers", late, goneSlack, served)
}
