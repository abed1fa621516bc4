//go:build review

package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

func init() { cases["parts"] = parts }

const (
	// partsClients is the number of clients that send a prompt of many parts within
	// partsSpread. They are in one zone, whose two hosts they reach. The nine runners that
	// decode have 64 slots each.
	partsClients = 570
	partsSpread  = 900 * time.Millisecond
	// orderTimeout is the timeoutMs of the routes of orders and lookups, answerSlack the time
	// that the rule allows beyond it.
	orderTimeout = time.Second
	answerSlack  = 500 * time.Millisecond
	// minUnanswered is the least number of requests without an answer at their timeout for
	// which the rule is judged.
	minUnanswered = 20
)

// parts: two of twelve runners crash while clients send prompts of many parts.
func parts(d *deployment, rec *record) []string {
	d.configure(standardRoutes(), map[string]any{"maxHeaderBytes": headerLimit, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000})
	for i := range 4 {
		d.addRunner(newRunner(d.ip(), fmt.Sprintf("i-desk%d", i), "order-desk", zones[i%4], ""))
	}
	var decode []*runner
	for i := range 12 {
		stage := "decode"
		if i%4 == 0 {
			stage = "prefill"
		}
		r := newRunner(d.ip(), fmt.Sprintf("i-llm%d", i), "llm", zones[i%4], stage)
		r.events, r.gap = 20, 100*time.Millisecond
		d.addRunner(r)
		if stage == "decode" {
			decode = append(decode, r)
		}
	}
	d.startHosts(6, "")
	time.Sleep(4 * time.Second)
	ctx, stop := context.WithCancel(context.Background())
	var orders, drafts load
	d.run(ctx, &orders, 60, []string{"order", "lookup"}, d.hosts)
	time.Sleep(2 * time.Second)
	for i := range partsClients {
		h := []*host{d.hosts[0], d.hosts[4]}[i%2]
		drafts.wg.Go(func() {
			time.Sleep(time.Duration(i) * partsSpread / partsClients)
			header := map[string]string{}
			if os.Getenv("PARTS") != "few" {
				// No other request has any of the parts.
				header = manyParts(func(k int) int { return (i+1)<<12 + k }, (i+2)<<12-1)
			}
			drafts.add(d.send(context.Background(), h, "draft", header))
		})
	}
	time.Sleep(partsSpread + 100*time.Millisecond)
	if trouble {
		for _, r := range decode[:2] {
			d.silence(r)
			r.stop()
			rec.line("%s crashes", r.id)
		}
	}
	time.Sleep(10 * time.Second)
	stop()
	orders.wg.Wait()
	drafts.wg.Wait()
	orders.write(rec)
	drafts.write(rec)
	d.writeRuns(rec)
	late, missing := 0, 0
	for _, c := range orders.calls {
		took := c.endAt.Sub(c.sentAt)
		if c.status != 0 && took < orderTimeout {
			continue
		}
		late++
		if c.status == 0 || took > orderTimeout+answerSlack {
			missing++
		}
	}
	for _, h := range d.hosts {
		if !h.running() {
			rec.line("%s has ended", h.name)
		}
	}
	rec.line("of %d orders and lookups %d had no answer at their timeout, %d of them none %v later", len(orders.calls), late, missing, answerSlack)
	if late >= minUnanswered && 2*missing > late {
		return []string{fmt.Sprintf("CONFIG: of %d orders and lookups without an answer at their timeoutMs, %d had none %v later", late, missing, answerSlack)}
	}
	return nil
}
