package relayhost

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/fleet"
	"github.com/clementineshed/clementineshed/pkg/roles"
	"github.com/clementineshed/clementineshed/pkg/steperr"
)

const (
	// orderTimeout bounds one order; unanswered ones may still be carried out.
	orderTimeout = 1500 * time.Millisecond
	// changeSlack is added to the time of a role change before an engine that
	// does not show it is ordered again.
	changeSlack = 2 * time.Second
)

// decideRoles compares the wanted roles with the present ones and orders the
// difference.
func (d *duties) decideRoles(ctx context.Context, candidacy *candidacy) {
	table, err := d.host.routes.Current()
	if err != nil {
		// Nothing is known of the services yet.
		return
	}
	now := time.Now()
	for _, s := range table.Services() {
		if s.Engine == nil {
			continue
		}
		switchTime := s.Engine.SwitchTime
		members := d.host.fleet.Members(s.Name)
		in := roles.Input{Now: now, Work: d.host.models.For(s.Name).Work(now), Engines: d.engines(members, switchTime, now)}
		var wg sync.WaitGroup
		for _, c := range d.roles.Decide(in) {
			for _, m := range members {
				if m.ID == c.Engine {
					wg.Go(func() { d.order(ctx, candidacy, m, c.To, switchTime, in.Work) })
				}
			}
		}
		wg.Wait()
	}
}

// engines describes the members for the decision.
func (d *duties) engines(members []fleet.Member, switchTime time.Duration, now time.Time) []roles.Engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]roles.Engine, 0, len(members))
	for _, m := range members {
		if m.Role == "" {
			continue
		}
		e := roles.Engine{ID: m.ID, Domain: m.Domain, Role: m.Role, Usable: m.State == endpoint.StateLive}
		if c, ok := d.changes[m.ID]; ok {
			e.ChangedAt = c.began
			e.Changing = m.Role != c.to && now.Sub(c.began) < switchTime+changeSlack
			if e.Changing {
				// It counts where it will be.
				e.Role = c.to
			}
		}
		list = append(list, e)
	}
	return list
}

// order gives one engine its role.
func (d *duties) order(ctx context.Context, c *candidacy, m fleet.Member, to endpoint.Role, switchTime time.Duration, work roles.Work) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	fields := log.Fields{"engine": m.ID, "from": string(m.Role), "to": string(to), "prefill_work": work.Prefill, "decode_work": work.Decode}
	err := d.orderOnce(ctx, c, m, to, switchTime, fields)
	if err != nil {
		step, peer := steperr.StepAndPeer(err)
		d.host.log.WithFields(fields).WithField("step", step).WithField("peer", peer).WithError(err).Warn("role_not_ordered")
		return
	}
	d.host.log.WithFields(fields).Info("role_ordered")
}

func (d *duties) orderOnce(ctx context.Context, c *candidacy, m fleet.Member, to endpoint.Role, switchTime time.Duration, fields log.Fields) error {
	report, err := d.platform.Report(ctx, m)
	if err != nil {
		return err
	}
	if report.Busy {
		return errors.New("another order is in progress")
	}
	use, err := c.leases.Begin(d.key)
	if err != nil {
		return err
	}
	defer use.Done()
	grant, err := use.Check()
	if err != nil {
		return err
	}
	fields["fence"] = grant.Fence
	d.mu.Lock()
	d.changes[m.ID] = change{to: to, began: time.Now()}
	d.mu.Unlock()
	// From here on the engine refuses what it has not begun.
	d.host.blocked(m.Service, m.ID, switchTime)
	d.host.exchange.ReportBlock(m.Service, m.ID, switchTime)
	// The condition on the count of orders keeps an unanswered order from taking
	// effect after a later one.
	return d.platform.SetRole(ctx, m, to, report.Orders, Authority{Holder: grant.Holder, Fence: grant.Fence})
}
