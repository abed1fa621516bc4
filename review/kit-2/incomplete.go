//go:build review

package main

import (
	"context"
	"fmt"
	"time"
)

// serveOn is how long runners serve after they have reported that they leave: the pages say
// drainMs and a little longer, at times many seconds.
const serveOn = 12 * time.Second

func init() { cases["incomplete"] = incompleteEntry }

// incompleteEntry: another writer writes entries that lack fields under the ids of runners.
// Seconds later these runners report that they are draining.
func incompleteEntry(d *deployment, rec *record) []string {
	d.configure(standardRoutes(), nil)
	var desks []*runner
	for i := range 8 {
		desks = append(desks, d.addRunner(newRunner(d.ip(), fmt.Sprintf("i-desk%d", i), "order-desk", zones[i%4], "")))
	}
	d.startHosts(6, "")
	time.Sleep(4 * time.Second)
	ctx, stop := context.WithCancel(context.Background())
	var l load
	d.run(ctx, &l, 240, []string{"order", "lookup"}, d.hosts)
	time.Sleep(3 * time.Second)
	leaving := desks[:4]
	if trouble {
		for _, r := range leaving {
			d.store.putJSON("keyed.servers", r.id, map[string]any{"service": r.service, "address": r.address(), "zone": r.zone,
				"slotCount": r.slots, "state": "ready", "seq": time.Now().UnixMilli(), "born": r.born})
			rec.line("entry of another writer for %s, without version and coldLeftMs", r.id)
		}
	}
	time.Sleep(4 * time.Second)
	acknowledged := map[*runner]time.Time{}
	for _, r := range leaving {
		r.setState("draining")
		acknowledged[r] = d.store.putJSON("keyed.servers", r.id, r.announcement())
		rec.line("%s reports draining", r.id)
	}
	time.Sleep(serveOn)
	for _, r := range leaving {
		d.silence(r)
		d.store.put("keyed.servers", r.id, nil)
		r.stop()
		rec.line("%s exits, its entry is removed", r.id)
	}
	time.Sleep(3 * time.Second)
	stop()
	l.wg.Wait()
	l.write(rec)
	d.writeRuns(rec)
	var broken []string
	for _, r := range leaving {
		late, cut := 0, 0
		for _, a := range r.seen() {
			if a.ran && a.at.Sub(acknowledged[r]) > drain {
				late++
				if !a.done {
					cut++
				}
			}
		}
		rec.line("%s: %d requests reached it later than %v after its report, %d of them were cut by its exit", r.id, late, drain, cut)
		if late > 0 {
			broken = append(broken, fmt.Sprintf("DRAIN: %d requests reached %s later than %v after it had reported draining", late, r.id, drain))
		}
	}
	return broken
}
