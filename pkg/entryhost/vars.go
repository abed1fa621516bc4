package entryhost

import (
	"expvar"

	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/configstore"
	"github.com/clementineshed/clementineshed/pkg/lease"
)

// newVars returns the metrics of this host. They are not published in the
// process-wide registry, so that several hosts can run in one process.
func (h *Host) newVars() *expvar.Map {
	vars := new(expvar.Map).Init()
	vars.Set("in_flight", expvar.Func(func() any { return h.gate.InFlight() }))
	vars.Set("held", expvar.Func(func() any { return h.dispatcher.Held() }))
	vars.Set("config_version", expvar.Func(func() any { return h.store.View().Version() }))
	vars.Set("endpoints", expvar.Func(func() any { return h.platform.endpointCount() }))
	vars.Set("peer", expvar.Func(func() any { return h.peers.node.Counters() }))
	vars.Set("attempts", expvar.Func(func() any { return h.once.Status() }))
	vars.Set("requests", expvar.Func(func() any { return h.levels.totals() }))
	vars.Set("refusals", h.gate.Refusals())
	vars.Set("memory", expvar.Func(func() any { return h.gate.Memory() }))
	vars.Set("caller_connections_closed_idle", h.gate.ClosedIdle())
	vars.Set("requests_read_in_close", h.gate.ReadInClose())
	vars.Set("connections", expvar.Func(func() any { return h.gate.ConnectionCounts() }))
	vars.Set("endpoints_by_state", expvar.Func(func() any { return h.endpointStates() }))
	vars.Set("endpoint_windows", expvar.Func(func() any { return h.endpointWindows() }))
	vars.Set("peers_by_state", expvar.Func(func() any { return h.peerStates() }))
	vars.Set("leases_held", expvar.Func(func() any { return len(h.heldLeases()) }))
	vars.Set("confirmed_age_ms", expvar.Func(func() any { return h.confirmedAgeMillis() }))
	vars.Set("unanswered_orders", expvar.Func(func() any { return len(h.authority.sender.Unanswered()) }))
	vars.Set("quarantined", expvar.Func(func() any { return h.peers.quarantine.Quarantined() }))
	vars.Set("quotas", h.quotas.vars())
	return vars
}

// endpointStates counts the endpoints of all domains by state.
func (h *Host) endpointStates() map[string]int {
	counts := map[string]int{}
	for _, s := range h.platform.table.Snapshot().All() {
		counts[string(s.State)]++
	}
	return counts
}

// endpointWindows returns the windows of the limited endpoints by reason and ID.
func (h *Host) endpointWindows() map[string]map[string]float64 {
	windows := map[string]map[string]float64{}
	for _, s := range h.dispatcher.Limits() {
		reason := s.Reason.String()
		if windows[reason] == nil {
			windows[reason] = map[string]float64{}
		}
		windows[reason][s.ID] = s.Window
	}
	return windows
}

// peerStates counts the other hosts by the state that this host sees.
func (h *Host) peerStates() map[string]int {
	counts := map[string]int{}
	for _, p := range h.peers.table.Hosts() {
		counts[string(p.State)]++
	}
	return counts
}

// heldLeases returns the leases that this host holds now.
func (h *Host) heldLeases() []LeaseStatus {
	var held []LeaseStatus
	for _, k := range []lease.Key{h.authority.leaseKey(lease.EngineOrders), h.authority.leaseKey(lease.EndpointOrders), usageLeaseKey(h.settings.Host.Domains)} {
		if grant, err := h.authority.leases.Check(k); err == nil {
			held = append(held, LeaseStatus{Duty: string(k.Duty), Domain: k.Domain, FencingToken: grant.Fence})
		}
	}
	return held
}

// confirmedAgeMillis returns the age of the last confirmation of the keys, or
// -1 before the first.
func (h *Host) confirmedAgeMillis() int64 {
	at := h.store.Confirmation().At()
	if at.IsZero() {
		return -1
	}
	return h.clock.Since(at).Milliseconds()
}

func (h *Host) operatorHandler() fasthttp.RequestHandler {
	s := &operatorServer{
		vars:            h.vars,
		notReadyReasons: h.notReadyReasons,
		status:          h.Status,
		burn:            func() any { return h.levels.snapshot() },
		order:           h.authority.operatorOrder,
		withdraw: func(text string) error {
			hash, err := configstore.ParseKeyHash(text)
			if err != nil {
				return err
			}
			h.store.Withdraw(hash)
			h.log.WithField("step", "withdraw key").Info("key withdrawn by an operator")
			return nil
		},
	}
	return s.handle
}

// Status returns the state of the host as served at PathStatus.
func (h *Host) Status() Status {
	reasons := h.notReadyReasons()
	status := Status{
		Host:               h.settings.Host.Name,
		Instance:           h.settings.Host.Instance,
		Incarnation:        h.incarnation,
		Domain:             h.settings.Host.Domain,
		Ready:              len(reasons) == 0,
		NotReady:           reasons,
		Stopping:           h.stopping.Load(),
		ConfigVersion:      h.store.View().Version(),
		ConfigNext:         h.store.View().Next(),
		ConfirmedAgeMillis: h.confirmedAgeMillis(),
		InFlight:           h.gate.InFlight(),
		Held:               h.dispatcher.Held(),
		Endpoints:          h.platform.endpointCount(),
		Problems:           h.authority.problemList(),
	}
	for _, p := range h.peers.table.Hosts() {
		status.Peers = append(status.Peers, PeerStatus{Host: p.Host, Domain: p.Domain, State: string(p.State)})
	}
	status.Leases = h.heldLeases()
	return status
}
