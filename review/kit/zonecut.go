package main

import (
	"net/http"
	"sync"
	"time"
)

// cutTime is how long the zone is cut off from the store: zone_cut in the site file lasts
// for 5.5 s.
const cutTime = 4 * time.Second

// zoneCut plays the cut of the zone in which the hosts are. The store and the runners are
// in another zone. A runner leaves as the cut ends and does not report that it drains. No
// requests are sent during the cut.
func zoneCut(d *deployment, trouble bool) bool {
	leaves := startDesk(d)
	for _, r := range d.runners {
		r.work, r.zone = 400*time.Millisecond, "worcester"
	}
	p := startProxy(d.storeAddr)
	d.storeAddr = p.address()
	hosts := []*host{d.addHost(1, "providence", 0), d.addHost(2, "providence", 0)}
	d.run()
	time.Sleep(4 * time.Second)
	for _, h := range hosts {
		for range 8 {
			id, status, body, err := send(h, "/order/1", false)
			d.rec.line("caller at %s: order %s: %d %q %v", h.name, id, status, body, err)
		}
	}
	if trouble {
		p.setCut(true)
		d.rec.say("the zone is cut off from the store")
	}
	healAt := time.Now().Add(cutTime)
	time.Sleep(time.Until(healAt.Add(-300 * time.Millisecond)))
	leaves.mu.Lock()
	leaves.gone = true
	leaves.leaving = true
	leaves.mu.Unlock()
	d.store.put("keyed.servers", leaves.id, nil)
	ackAt := time.Now()
	d.rec.say("the store acknowledges that %s is gone; it goes on serving", leaves.id)
	time.Sleep(time.Until(healAt))
	p.setCut(false)
	d.rec.say("the cut is over")
	time.AfterFunc(time.Until(healAt.Add(inTouch+350*time.Millisecond)), func() {
		d.rec.say("%s exits, %v after the acknowledgement", leaves.id, time.Since(ackAt).Round(time.Millisecond))
		leaves.exit()
	})
	time.Sleep(time.Until(healAt.Add(inTouch + 50*time.Millisecond)))
	late, lost := 0, 0
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, h := range hosts {
		for range lateOrders {
			wg.Go(func() {
				id, status, body, err := send(h, "/order/2", false)
				mu.Lock()
				defer mu.Unlock()
				d.rec.line("caller at %s: order %s: %d %q %v; reached %s: %v", h.name, id, status, body, err, leaves.id, leaves.got(id))
				if leaves.got(id) {
					late++
					if status != http.StatusOK {
						lost++
					}
				}
			})
		}
	}
	wg.Wait()
	d.rec.say("%d orders reached %s more than %v after the acknowledgement; %d of them are lost", late, leaves.id, drainTime, lost)
	return late > 0
}
