package e2e

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/entryhost"
	"github.com/clementineshed/clementineshed/pkg/jsonhttp"
	"github.com/clementineshed/clementineshed/pkg/settings"
	"github.com/clementineshed/clementineshed/pkg/standin/engined"
	"github.com/clementineshed/clementineshed/pkg/standin/platformd"
)

// shortLease lets another host take over a lease within seconds.
func shortLease(s *settings.Settings) {
	s.Authority.LeaseTime = settings.Duration(2 * time.Second)
	s.Authority.Margin = settings.Duration(500 * time.Millisecond)
}

// postEndpointOrder requests the host to drain or resume an endpoint.
func (h *Host) postEndpointOrder(path, id string) error {
	client := jsonhttp.New(h.OperatorAddress, jsonhttp.Options{FreshConnections: true, Timeout: 3 * time.Second})
	return client.Do(context.Background(), http.MethodPost, path, entryhost.EndpointRequest{Endpoint: id}, nil)
}

// leaseHolder returns a host that reports holding the lease for duty, or nil.
func (d *Deployment) leaseHolder(duty string) *Host {
	for _, h := range d.Hosts {
		s, err := h.statusWithin(300 * time.Millisecond)
		for _, l := range s.Leases {
			if err == nil && l.Duty == duty {
				return h
			}
		}
	}
	return nil
}

// statusWithin is Status for hosts that may be paused.
func (h *Host) statusWithin(limit time.Duration) (entryhost.Status, error) {
	var s entryhost.Status
	client := jsonhttp.New(h.OperatorAddress, jsonhttp.Options{FreshConnections: true, Timeout: limit})
	return s, client.Do(context.Background(), http.MethodGet, entryhost.PathStatus, nil, &s)
}

// waitNewHolder waits until a host other than old holds the lease for duty.
func (d *Deployment) waitNewHolder(duty string, old *Host) {
	d.t.Helper()
	Eventually(d.t, readyTimeout, "another host holds "+duty, func() bool {
		h := d.leaseHolder(duty)
		return h != nil && h != old
	})
}

func (d *Deployment) engineJournal(s *StandIn) []engined.Entry {
	d.t.Helper()
	var entries []engined.Entry
	d.getJSON(s.Address, "/control/journal", &entries)
	return entries
}

func (d *Deployment) platformJournal() platformd.Journal {
	d.t.Helper()
	var journal platformd.Journal
	d.getJSON(d.Platform.Address, "/control/journal", &journal)
	return journal
}

type appliedOrder struct {
	holder string
	fence  int64
}

// appliedOrders returns the orders in the journal that took effect, and the
// number of those that were refused for an old fencing token.
func appliedOrders(entries []engined.Entry) (orders []appliedOrder, stale int) {
	for _, e := range entries {
		switch {
		case e.Order == nil:
		case e.Refused == "":
			orders = append(orders, appliedOrder{e.Order.Holder, e.Order.Fence})
		case e.Refused == "stale_fence":
			stale++
		}
	}
	return orders, stale
}

// orderConflicts returns as faults the orders that took effect after one of a
// later term and the terms with two holders. It also counts the terms.
func orderConflicts(orders []appliedOrder) (faults []string, terms int) {
	holders := map[int64]string{}
	highest := int64(-1)
	for i, o := range orders {
		if o.fence < highest {
			faults = append(faults, fmt.Sprintf("order %d of term %d after term %d", i, o.fence, highest))
		}
		if known, ok := holders[o.fence]; ok && known != o.holder {
			faults = append(faults, fmt.Sprintf("term %d has two holders", o.fence))
		}
		holders[o.fence] = o.holder
		highest = max(highest, o.fence)
	}
	return faults, len(holders)
}

// disruptHolder makes the holder lose its lease with orders in transit. It pauses
// the holder, with the log losing answers in some rounds, or stops the log.
func disruptHolder(d *Deployment, engines map[string]*StandIn, round int) {
	const duty = "engine-orders"
	Eventually(d.t, readyTimeout, "a host holds "+duty, func() bool { return d.leaseHolder(duty) != nil })
	old := d.leaseHolder(duty)
	if old == nil {
		return
	}
	// Orders that are sent now take effect only after the lease has expired.
	for _, s := range engines {
		d.SetFaults(s, map[string]any{"slow_orders_ms": 5500})
	}
	time.Sleep(300 * time.Millisecond)
	for _, s := range engines {
		d.SetFaults(s, map[string]any{})
	}
	switch round % 3 {
	case 0:
		old.Pause()
		d.waitNewHolder(duty, old)
		time.Sleep(time.Second)
		old.Continue()
	case 1:
		d.SetFaults(d.Log, map[string]any{"lose_answers": 10})
		old.Pause()
		d.waitNewHolder(duty, old)
		old.Continue()
		d.SetFaults(d.Log, map[string]any{})
	case 2:
		d.SetFaults(d.Log, map[string]any{"outage": "unavailable"})
		time.Sleep(4 * time.Second)
		d.SetFaults(d.Log, map[string]any{})
		Eventually(d.t, readyTimeout, "a host holds the lease again", func() bool { return d.leaseHolder(duty) != nil })
	}
	time.Sleep(1500 * time.Millisecond)
}

// TestAuthority guards against orders that take effect after their sender has
// lost its lease, and against orders of two holders at an engine that ignores
// fencing tokens. With orders in transit, the holder is paused for longer than
// its lease, or the log loses answers, or the log is down for longer than the
// lease.
func TestAuthority(t *testing.T) {
	t.Parallel()
	d := Start(t, Options{Domains: []string{"nashua"}, HostsPerDomain: 2, EditSettings: shortLease})
	plain := d.startStandIn("engine-plain", "engine", "--id", "engine-plain", "--model", engineModel)
	d.registerLive(endpoint.Endpoint{ID: "engine-plain", Instance: "engine-plain-1", Address: plain.Address, Domain: "nashua"})
	engines := map[string]*StandIn{"engine-nashua-1": d.Engines[0], "engine-plain": plain}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for id := range engines {
		for _, h := range d.Hosts {
			wg.Go(func() { orderUntil(h, id, stop) })
		}
	}
	for round := range Scaled(3, 30) {
		disruptHolder(d, engines, round)
	}
	Eventually(t, readyTimeout, "every engine has orders of several terms", func() bool {
		for _, s := range engines {
			orders, _ := appliedOrders(d.engineJournal(s))
			if _, terms := orderConflicts(orders); terms < 2 {
				return false
			}
		}
		return true
	})
	close(stop)
	wg.Wait()
	for id, s := range engines {
		orders, stale := appliedOrders(d.engineJournal(s))
		faults, terms := orderConflicts(orders)
		for _, f := range faults {
			t.Errorf("%s: %s", id, f)
		}
		t.Logf("%s: %d orders in %d terms took effect, %d refused as stale", id, len(orders), terms, stale)
	}
}

// orderUntil alternately drains and resumes an engine through h until stop.
func orderUntil(h *Host, id string, stop chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(30 * time.Millisecond):
		}
		_ = h.postEndpointOrder([]string{entryhost.PathDrain, entryhost.PathResume}[n%2], id)
	}
}
