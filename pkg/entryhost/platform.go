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
	// snapshotInterval is the time between two endpoint updates of the
	// dispatcher, which counts this host's own sends at once in between.
	snapshotInterval = 100 * time.Millisecond
	// hostListMaxAge is the age of the last answer above which absence from the
	// host list proves nothing.
	hostListMaxAge = 5 * time.Second
	// reportLag is the assumed age of a load report at its arrival. This host's
	// sends within that time are counted in addition to the report.
	reportLag = 500 * time.Millisecond
)

// platformView holds the hosts and endpoints that the platform lists.
type platformView struct {
	host      *Host
	hosts     *endpointapi.HostList
	endpoints *endpointapi.EndpointInterface
	table     *endpoint.Table

	mu sync.Mutex
	// The fields below are guarded by mu.
	firstAnswer, lastAnswer time.Time
	listed                  map[string]bool
	// absentSince is the time of the first answer that lacked a previously
	// listed instance.
	absentSince map[string]time.Time
	liveCount   int
	// onHosts is set before Run and is not guarded.
	onHosts func([]endpointapi.Host)

	// The fields below are used only by run.
	// lastReport is ReportedAtMillis of the last load report, by endpoint.
	lastReport map[string]int64
	// announcedLeaving is the leaving instance announced last, by endpoint.
	announcedLeaving map[string]string
	// classesVersion is the configuration version of the dispatcher's classes.
	classesVersion int64
}

func newPlatformView(h *Host) *platformView {
	p := h.settings.Platform
	opts := jsonhttp.Options{Timeout: p.Timeout.Std(), TLS: h.tls.platformTLS()}
	return &platformView{
		host:             h,
		hosts:            endpointapi.NewHostList(jsonhttp.New(p.HostList, opts), h.clock),
		endpoints:        endpointapi.NewEndpointInterface(jsonhttp.New(p.Endpoints, opts), h.clock),
		table:            endpoint.NewTable(h.clock),
		listed:           map[string]bool{},
		absentSince:      map[string]time.Time{},
		lastReport:       map[string]int64{},
		announcedLeaving: map[string]string{},
		liveCount:        1,
	}
}

// run polls the endpoints and updates the dispatcher until ctx ends.
func (p *platformView) run(ctx context.Context) {
	poller := poll.Start(poll.Options{
		Table: p.table,
		List:  p.endpoints,
		TLS:   p.host.tls.endpointsTLS(),
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

// runHosts reads the host list until ctx ends. It has its own goroutine,
// because each read of a platform that does not answer waits for its timeout.
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

// readHosts reads the host list once. If the read fails, the last answer stays
// in use.
func (p *platformView) readHosts(ctx context.Context) {
	requestedAt := p.host.clock.Now()
	answer, err := p.hosts.Read(ctx)
	if err != nil {
		p.host.log.WithFields(log.Fields{"step": "read host list", "peer": p.host.settings.Platform.HostList}).WithError(err).Warn("host list did not answer; keeping the last one")
		return
	}
	p.mergeHosts(answer.Value.Hosts, requestedAt)
	if p.onHosts != nil {
		p.onHosts(answer.Value.Hosts)
	}
}

func (p *platformView) mergeHosts(hosts []endpointapi.Host, requestedAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.firstAnswer.IsZero() {
		p.firstAnswer = requestedAt
	}
	p.lastAnswer = requestedAt
	now := make(map[string]bool, len(hosts))
	live := 0
	for _, h := range hosts {
		now[h.Instance] = true
		delete(p.absentSince, h.Instance)
		if h.State == endpointapi.HostLive {
			live++
		}
	}
	for instance := range p.listed {
		if !now[instance] {
			p.absentSince[instance] = requestedAt
		}
	}
	p.listed = now
	p.liveCount = max(live, 1)
}

// liveHosts returns the number of live hosts on the host list, at least 1.
func (p *platformView) liveHosts() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.liveCount
}

// absentFor implements lease.Options.HostAbsentFor.
func (p *platformView) absentFor(instance string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listed[instance] || p.lastAnswer.IsZero() || p.host.clock.Since(p.lastAnswer) > hostListMaxAge {
		return 0
	}
	since, known := p.absentSince[instance]
	if !known {
		since = p.firstAnswer
	}
	return p.lastAnswer.Sub(since)
}

// updateDispatcher passes endpoints, load reports and classes to the
// dispatcher.
func (p *platformView) updateDispatcher(d *dispatch.Dispatcher) {
	snapshot := p.table.Snapshot()
	statuses := snapshot.All()
	now := p.host.clock.Now()
	for _, s := range statuses {
		if s.HasLoad && p.lastReport[s.ID] != s.Load.ReportedAtMillis {
			p.lastReport[s.ID] = s.Load.ReportedAtMillis
			d.ObserveLoad(s.ID, s.Load, now.Add(-s.LoadAge-reportLag))
		}
		if s.State == endpoint.StateLeaving && p.announcedLeaving[s.ID] != s.Instance {
			p.announcedLeaving[s.ID] = s.Instance
			p.host.log.WithFields(log.Fields{"step": "read endpoints", "endpoint": s.ID, "domain": s.Domain, "leave_at_ms": s.LeaveAtMillis}).Info("endpoint is leaving; no new work is sent to it")
			p.host.peers.publishLeaving(s.Endpoint)
		}
	}
	p.pruneUnlisted(snapshot)
	if view := p.host.store.View(); view.Version() != p.classesVersion {
		p.classesVersion = view.Version()
		d.SetClasses(view.Classes())
	}
	d.Update(statuses, p.liveHosts())
}

// pruneUnlisted drops the state of endpoints that are no longer listed.
func (p *platformView) pruneUnlisted(snapshot endpoint.Snapshot) {
	for id := range p.lastReport {
		if _, ok := snapshot.Get(id); ok {
			continue
		}
		delete(p.lastReport, id)
		delete(p.announcedLeaving, id)
		p.host.dispatcher.Forget(id)
	}
}

func (p *platformView) endpointCount() int { return p.table.Snapshot().Len() }

// listedHosts converts the host list for the membership table.
func listedHosts(hosts []endpointapi.Host) []membership.ListedHost {
	list := make([]membership.ListedHost, 0, len(hosts))
	for _, h := range hosts {
		list = append(list, membership.ListedHost{Host: h.Name, Domain: h.Domain, Address: h.PeerAddress, Leaving: h.State == endpointapi.HostLeaving})
	}
	return list
}
