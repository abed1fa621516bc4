package relayhost

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/capacity"
	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/routes"
)

// decideCapacity decides on the number of endpoints of each service and orders
// what is due.
func (d *duties) decideCapacity(ctx context.Context, c *candidacy) {
	table, err := d.host.routes.Current()
	if err != nil || !d.host.endpointsLoaded.Load() {
		// The services or their endpoints are not known yet.
		return
	}
	now := time.Now()
	for _, s := range table.Services() {
		if s.Scaling == nil {
			continue
		}
		for _, count := range d.capacity.Decide(d.pools(s, now), now) {
			d.scale(ctx, c, s.Name, count, now)
		}
	}
}

// pools describes the service's endpoints by failure domain.
func (d *duties) pools(s routes.Service, now time.Time) []capacity.Pool {
	members := d.host.fleet.Members(s.Name)
	load := d.observeLoad(s, now)
	peakLoad := (load.peak.Prefill + load.peak.Decode) / float64(max(len(members), 1))
	var pools []capacity.Pool
	for _, domain := range slices.Sorted(maps.Keys(s.Scaling.DomainPrices)) {
		pool := capacity.Pool{Domain: domain, Min: s.Scaling.Min, Max: s.Scaling.Max, Price: s.Scaling.ReclaimablePrice, BootTime: s.Scaling.BootTime,
			Loaded: load.loaded(), LoadedFor: now.Sub(load.loadedSince), PeakLoad: peakLoad}
		for _, m := range members {
			switch {
			case m.Domain != domain || m.State == endpoint.StateLeaving:
			case m.Reclaimable:
				pool.Reclaimable++
			default:
				pool.Durable++
			}
		}
		at := poolKey{s.Name, domain, capacity.KindDurable}
		d.maxDurable[at] = max(d.maxDurable[at], pool.Durable)
		pool.Baseline = d.maxDurable[at]
		for kind := range pool.LastOrders {
			pool.LastOrders[kind] = d.lastOrders[poolKey{s.Name, domain, kind}]
		}
		pools = append(pools, pool)
	}
	return pools
}

func (d *duties) scale(ctx context.Context, candidacy *candidacy, service string, c capacity.TargetCount, now time.Time) {
	fields := log.Fields{"service": service, "domain": c.Domain, "reclaimable": c.Reclaimable, "count": c.Count}
	err := d.underLease(ctx, candidacy, func(ctx context.Context, by Authority) error {
		fields["fence"] = by.Fence
		err := d.platform.Scale(ctx, service, c, by)
		kind := capacity.KindDurable
		if c.Reclaimable {
			kind = capacity.KindReclaimable
		}
		// An order that was not answered may still be carried out, so it counts as
		// sent.
		d.lastOrders[poolKey{service, c.Domain, kind}] = capacity.LastOrder{Sent: true, Count: c.Count, At: now, Refused: errors.Is(err, ErrNoneAvailable)}
		return err
	})
	if err != nil {
		d.host.log.WithFields(fields).WithError(err).Warn("endpoints_not_ordered")
		return
	}
	d.host.log.WithFields(fields).Info("endpoints_ordered")
}
