package entryhost

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/clementineshed/clementineshed/pkg/dispatch"
	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/endpoint/poll"
	"github.com/clementineshed/clementineshed/pkg/endpointapi"
	"github.com/clementineshed/clementineshed/pkg/enginewire"
	"github.com/clementineshed/clementineshed/pkg/jsonhttp"
	"github.com/clementineshed/clementineshed/pkg/membership"
)

const (
	hostListInterval = time.Second
	// snapshotInterval is how often decisions get a new view of the endpoints;
	// own sends count at once in between.
	snapshotInterval = 100 * time.Millisecond
	// hostListStale is the age of the last answer after which absence from the
	// host list proves nothing.
	hostListStale = 5 * time.Second
	// reportLag is by how much a load report is assumed to be older than its
	// arrival: own sends of that time are still counted in addition.
	reportLag = 500 * time.Millisecond
)

// platformView keeps what the platform says: hosts and endpoints.
type platformView struct {
	host      *Host
	hosts     *endpointapi.HostList
	endpoints *endpointapi.EndpointInterface
	table     *endpoint.Table

	mu sync.Mutex
	// The fields below are guarded by mu.
	firstAnswer, lastAnswer time.Time
	listed                  map[string]bool
	// missingSince is the time of the first answer that lacked an instance that
	// was listed before.
	missingSince map[string]time.Time
	live         int
	onHosts      func([]endpointapi.Host)

	// The fields below belong to run.
	// reported is the time of the last load report by endpoint.
	reported map[string]int64
	// leaving is the instance that was announced as leaving, by endpoint.
	leaving map[string]string
	// classesVersion is the configuration whose classes the dispatcher has.
	classesVersion int64
}

func newPlatformView(h *Host) *platformView {
	p := h.settings.Platform
	opts := jsonhttp.Options{Timeout: p.Timeout.Std(), TLS: h.keys.platformTLS()}
	return &platformView{
		host:         h,
		hosts:        endpointapi.NewHostList(jsonhttp.New(p.HostList, opts), h.clock),
		endpoints:    endpointapi.NewEndpointInterface(jsonhttp.New(p.Endpoints, opts), h.clock),
		table:        endpoint.NewTable(h.clock),
		listed:       map[string]bool{},
		missingSince: map[string]time.Time{},
		reported:     map[string]int64{},
		leaving:      map[string]string{},
		live:         1,
	}
}

// run polls the endpoints and renews the dispatcher's view until ctx ends.
func (p *platformView) run(ctx context.Context) {
	poller := poll.Start(poll.Options{
		Table: p.table,
		List:  p.endpoints,
		TLS:   p.host.keys.endpointsTLS(),
		Log:   p.host.log,
		Clock: p.host.clock,
		OnCacheEvents: func(id string, answer enginewire.CacheEventsAnswer) {
			p.host.dispatcher.Index().ApplyEvents(id, answer, p.host.clock.Now())
		},
	})
	defer poller.Close()
	snapshots := p.host.clock.NewTicker(snapshotInterval)
	defer snapshots.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-snapshots.Chan():
			p.updateDispatcher(p.host.dispatcher)
		}
	}
}

// runHosts reads the host list until ctx ends. It has a goroutine of its own,
// because a platform that does not answer holds each read for its timeout.
func (p *platformView) runHosts(ctx context.Context) {
	ticker := p.host.clock.NewTicker(hostListInterval)
	defer ticker.Stop()
	p.readHosts(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			p.readHosts(ctx)
		}
	}
}

// readHosts reads the host list once; when it does not answer, the last answer
// stays.
func (p *platformView) readHosts(ctx context.Context) {
	asked := p.host.clock.Now()
	answer, err := p.hosts.Read(ctx)
	if err != nil {
		p.host.log.WithFields(log.Fields{"step": "read host list", "peer": p.host.settings.Platform.HostList}).WithError(err).Warn("host list did not answer; keeping the last one")
		return
	}
	p.merge(answer.Value.Hosts, asked)
	if p.onHosts != nil {
		p.onHosts(answer.Value.Hosts)
	}
}

func (p *platformView) merge(hosts []endpointapi.Host, asked time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.firstAnswer.IsZero() {
		p.firstAnswer = asked
	}
	p.lastAnswer = asked
	now := make(map[string]bool, len(hosts))
	live := 0
	for _, h := range hosts {
		now[h.Instance] = true
		delete(p.missingSince, h.Instance)
		if h.State == endpointapi.HostLive {
			live++
		}
	}
	for instance := range p.listed {
		if !now[instance] {
			p.missingSince[instance] = asked
		}
	}
	p.listed = now
	p.live = max(live, 1)
}

// liveHosts returns the number of live hosts on the host list, at least 1.
func (p *platformView) liveHosts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.live
}

// absentFor implements lease.Options.HostAbsentFor.
func (p *platformView) absentFor(instance string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listed[instance] || p.lastAnswer.IsZero() || p.host.clock.Since(p.lastAnswer) > hostListStale {
		return 0
	}
	since, known := p.missingSince[instance]
	if !known {
		since = p.firstAnswer
	}
	return p.lastAnswer.Sub(since)
}

// updateDispatcher gives the dispatcher the present endpoints.
func (p *platformView) updateDispatcher(d *dispatch.Dispatcher) {
	snapshot := p.table.Snapshot()
	statuses := snapshot.All()
	now := p.host.clock.Now()
	for _, s := range statuses {
		if s.HasLoad && p.reported[s.ID] != s.Load.ReportedAtMillis {
			p.reported[s.ID] = s.Load.ReportedAtMillis
			d.ObserveLoad(s.ID, s.Load, now.Add(-s.LoadAge-reportLag))
		}
		if s.State == endpoint.StateLeaving && p.leaving[s.ID] != s.Instance {
			p.leaving[s.ID] = s.Instance
			p.host.log.WithFields(log.Fields{"step": "read endpoints", "endpoint": s.ID, "domain": s.Domain, "leave_at_ms": s.LeaveAtMillis}).Info("endpoint is leaving; no new work is sent to it")
			p.host.peers.publishLeaving(s.Endpoint)
		}
	}
	p.forgetGone(snapshot)
	if view := p.host.store.View(); view.Version() != p.classesVersion {
		p.classesVersion = view.Version()
		d.SetClasses(view.Classes())
	}
	d.Update(statuses, p.liveHosts())
}

// forgetGone drops what is kept per endpoint of those that are not listed.
func (p *platformView) forgetGone(snapshot endpoint.Snapshot) {
	for id := range p.reported {
		if _, ok := snapshot.Get(id); ok {
			continue
		}
		delete(p.reported, id)
		delete(p.leaving, id)
		p.host.dispatcher.Forget(id)
	}
}

func (p *platformView) endpointCount() int { return p.table.Snapshot().Len() }

// listedHosts translates the host list for the membership table, without this
// host.
func listedHosts(hosts []endpointapi.Host) []membership.Listed {
	list := make([]membership.Listed, 0, len(hosts))
	for _, h := range hosts {
		list = append(list, membership.Listed{Host: h.Name, Domain: h.Domain, Address: h.PeerAddress, Leaving: h.State == endpointapi.HostLeaving})
	}
	return list
}
