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
	// orderTimeout bounds one order. An order that is not answered in time may
	// still be carried out.
	orderTimeout = 1500 * time.Millisecond
	// roleChangeGrace is added to the declared time of a role change. An engine
	// that does not show its new role by then may be ordered again.
	roleChangeGrace = 2 * time.Second
)

// decideRoles decides on the roles of the engines and orders those that differ
// from the present ones.
func (d *duties) decideRoles(ctx context.Context, candidacy *candidacy) {
	table, err := d.host.routes.Current()
	if err != nil {
		// Without a configuration no service is known.
		return
	}
	now := time.Now()
	for _, s := range table.Services() {
		if s.Engine == nil {
			continue
		}
		roleChangeTime := s.Engine.RoleChangeTime
		members := d.host.fleet.Members(s.Name)
		load := d.observeLoad(s, now)
		in := roles.Input{Now: now, Work: load.work, Peak: load.peak, Slots: s.Engine.Slots, Engines: d.engines(members, roleChangeTime, now)}
		var wg sync.WaitGroup
		for _, c := range d.roles.Decide(in) {
			for _, m := range members {
				if m.ID == c.Engine {
					wg.Go(func() { d.orderRole(ctx, candidacy, m, c.To, roleChangeTime, in.Work) })
				}
			}
		}
		wg.Wait()
	}
}

// engines describes the members to the role policy.
func (d *duties) engines(members []fleet.Member, roleChangeTime time.Duration, now time.Time) []roles.Engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]roles.Engine, 0, len(members))
	for _, m := range members {
		if m.Role == "" {
			continue
		}
		e := roles.Engine{ID: m.ID, Domain: m.Domain, SoftwareVersion: m.SoftwareVersion, Role: m.Role, Usable: m.State == endpoint.StateLive}
		if c, ok := d.roleChanges[m.ID]; ok {
			e.ChangedAt = c.orderedAt
			e.Changing = m.Role != c.to && now.Sub(c.orderedAt) < roleChangeTime+roleChangeGrace
			if e.Changing {
				// During a change the engine counts for its future role.
				e.Role = c.to
			}
		}
		list = append(list, e)
	}
	return list
}

func (d *duties) orderRole(ctx context.Context, c *candidacy, m fleet.Member, to endpoint.Role, roleChangeTime time.Duration, work roles.Work) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	fields := log.Fields{"engine": m.ID, "from": string(m.Role), "to": string(to), "prefill_work": work.Prefill, "decode_work": work.Decode}
	err := d.sendRoleOrder(ctx, c, m, to, roleChangeTime, fields)
	if err != nil {
		step, peer := steperr.StepAndPeer(err)
		d.host.log.WithFields(fields).WithField("step", step).WithField("peer", peer).WithError(err).Warn("role_not_ordered")
		return
	}
	d.host.log.WithFields(fields).Info("role_ordered")
}

// sendRoleOrder sends a role order under the lease. It adds the fencing token
// to fields.
func (d *duties) sendRoleOrder(ctx context.Context, c *candidacy, m fleet.Member, to endpoint.Role, roleChangeTime time.Duration, fields log.Fields) error {
	if time.Now().Before(d.host.fleet.PausedUntil(m)) {
		return errors.New("engine has asked for a pause")
	}
	report, err := d.platform.Report(ctx, d.host.control, m)
	if err != nil {
		return err
	}
	if report.Busy {
		return errors.New("engine is busy with another order")
	}
	return d.underLease(ctx, c, func(ctx context.Context, by Authority) error {
		fields["fence"] = by.Fence
		d.mu.Lock()
		d.roleChanges[m.ID] = roleChange{to: to, orderedAt: time.Now()}
		d.mu.Unlock()
		// From now on the engine refuses requests that it has not begun to run.
		d.host.blockEngine(m.Service, m.ID, roleChangeTime)
		d.host.exchange.ReportBlock(m.Service, m.ID, roleChangeTime)
		// The condition on the number of orders prevents an unanswered order from
		// taking effect after a later one.
		return d.platform.SetRole(ctx, m, to, report.Orders, by)
	})
}

// readStart asks an engine when it has started, in Unix milliseconds.
func (h *Host) readStart(ctx context.Context, m fleet.Member) (int64, error) {
	report, err := h.adapter.Platform.Report(ctx, h.control, m)
	return report.StartedMillis, err
}
