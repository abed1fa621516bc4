//go:build review

package main

import (
	"context"
	"fmt"
	"time"
)

func init() { cases["service"] = otherService }

// otherService: another writer writes an entry that lacks fields under the id of a runner. It
// names another service than the runner's.
func otherService(d *deployment, rec *record) []string {
	d.configure([]any{route("order", "unsafe", "order-desk", 2, 1000, 150), route("lookup", "safe", "stock-desk", 2, 1000, 150)}, nil, "stock-desk")
	for i := range 4 {
		d.addRunner(newRunner(d.ip(), fmt.Sprintf("i-order%d", i), "order-desk", zones[i%4], ""))
		d.addRunner(newRunner(d.ip(), fmt.Sprintf("i-stock%d", i), "stock-desk", zones[i%4], ""))
	}
	d.startHosts(6, "")
	time.Sleep(4 * time.Second)
	ctx, stop := context.WithCancel(context.Background())
	var l load
	d.run(ctx, &l, 100, []string{"order", "lookup"}, d.hosts)
	time.Sleep(3 * time.Second)
	if trouble {
		for _, r := range d.runners {
			if r.id == "i-stock0" || r.id == "i-stock1" {
				d.store.putJSON("keyed.servers", r.id, map[string]any{"service": "order-desk", "address": r.address(), "zone": r.zone,
					"state": "ready", "seq": time.Now().UnixMilli(), "born": r.born})
				rec.line("entry of another writer for %s, without version, slotCount and coldLeftMs, with service order-desk", r.id)
			}
		}
	}
	time.Sleep(10 * time.Second)
	stop()
	l.wg.Wait()
	l.write(rec)
	d.writeRuns(rec)
	foreign, answers := 0, 0
	for _, r := range d.runners {
		for _, a := range r.seen() {
			if a.ran && (a.path == "/order/2f") != (r.service == "order-desk") {
				foreign++
			}
		}
	}
	for _, c := range l.calls {
		if c.kind == "order" && c.status == 200 && len(c.body) > 17 && c.body[:17] == "answer of i-stock" {
			answers++
		}
	}
	rec.line("%d requests were run by a runner of a service that their route does not name, %d of them were answered 200 with its answer", foreign, answers)
	if foreign > 0 {
		return []string{fmt.Sprintf("ROUTE: %d requests were run by a service to which no configuration sends them, %d were answered with its answer", foreign, answers)}
	}
	return nil
}
