//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { cases["foreign"] = foreignEntry }

// foreignEntry: runners leave, and another writer writes an entry that can't be read under
// their ids.
func foreignEntry(d *deployment, rec *record) []string {
	d.configure(standardRoutes(), nil)
	var desks []*runner
	for i := range 8 {
		desks = append(desks, d.addRunner(newRunner(d.ip(), fmt.Sprintf("i-desk%d", i), "order-desk", zones[i%4], "")))
	}
	for i := range 12 {
		stage := "prefill"
		if i%2 == 1 {
			stage = "decode"
		}
		d.addRunner(newRunner(d.ip(), fmt.Sprintf("i-llm%d", i), "llm", zones[i%4], stage))
	}
	d.startHosts(6, "")
	time.Sleep(4 * time.Second)
	ctx, stop := context.WithCancel(context.Background())
	var l load
	d.run(ctx, &l, 120, []string{"order", "lookup", "draft"}, d.hosts)
	time.Sleep(4 * time.Second)
	type leave struct {
		r  *runner
		at time.Time
	}
	var leaves []leave
	for _, r := range desks[:4] {
		// A runner that never reports draining: its entry is removed, and it serves on.
		d.silence(r)
		at := d.store.put("keyed.servers", r.id, nil)
		leaves = append(leaves, leave{r, at})
		rec.line("entry of %s removed", r.id)
		if trouble {
			time.Sleep(20*time.Millisecond + rand.N(20*time.Millisecond))
			d.store.put("keyed.servers", r.id, []byte("\x82\xa7service\xc1"))
			rec.line("unreadable entry of another writer for %s", r.id)
		}
		time.Sleep(time.Second)
	}
	for _, x := range leaves {
		time.Sleep(time.Until(x.at.Add(serveOn)))
		x.r.stop()
		rec.line("%s exits", x.r.id)
	}
	time.Sleep(4 * time.Second)
	stop()
	l.wg.Wait()
	l.write(rec)
	d.writeRuns(rec)
	var broken []string
	for _, x := range leaves {
		late := 0
		var last time.Duration
		for _, a := range x.r.seen() {
			if since := a.at.Sub(x.at); since > drain && a.ran {
				late++
				last = since
			}
		}
		rec.line("%s: %d requests reached it later than %v after the removal, the last after %v", x.r.id, late, drain, last)
		if late > 0 {
			broken = append(broken, fmt.Sprintf("DRAIN: %d requests reached %s later than %v after its entry was removed", late, x.r.id, drain))
		}
	}
	outcomes := map[string]int{}
	for _, c := range l.calls {
		outcomes[c.kind+" "+c.outcome()]++
	}
	rec.line("outcomes %v", outcomes)
	return broken
}
