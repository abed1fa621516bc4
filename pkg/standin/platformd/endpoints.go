package platformd

import (
	"fmt"
	"sort"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/endpointapi"
	"github.com/clementineshed/clementineshed/pkg/standin/httpd"
)

// OrderEntry is one order in the journal. Refused and repeated orders have
// entries too.
type OrderEntry struct {
	TimeMillis int64  `json:"time_ms"`
	Action     string `json:"action"`
	ID         string `json:"id"`
	Holder     string `json:"holder"`
	Fence      int64  `json:"fence"`
	Domain     string `json:"domain,omitempty"`
	Kind       string `json:"kind,omitempty"`
	EndpointID string `json:"endpoint_id,omitempty"`
	// Repeated reports that an earlier order had the same id, so this one had no
	// effect.
	Repeated bool `json:"repeated,omitempty"`
	// Refused is the error code of a refused order; empty if it was accepted.
	Refused string `json:"refused,omitempty"`
}

// Values of OrderEntry.Action.
const (
	ActionProvision = "provision"
	ActionRelease   = "release"
)

// managedEndpoint is an endpoint and the function that stops it.
type managedEndpoint struct {
	endpoint endpoint.Endpoint
	stop     func()
}

// Orders returns the journal of orders, oldest first.
func (s *Server) Orders() []OrderEntry { return s.orders.All() }

// AddEndpoint lists an endpoint that is already running, or replaces the entry
// with its ID. An empty State becomes live; Reclaimable follows a known kind.
// stop ends the endpoint when it is removed or the server closes; it may be nil.
func (s *Server) AddEndpoint(e endpoint.Endpoint, stop func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e.State == "" {
		e.State = endpoint.StateLive
	}
	if kind, ok := s.kind(e.Kind); ok {
		e.Reclaimable = kind.Reclaimable
	}
	s.endpoints[e.ID] = &managedEndpoint{endpoint: e, stop: stop}
}

// RemoveEndpoint takes an endpoint off the list at once and stops it.
func (s *Server) RemoveEndpoint(id string) {
	s.mu.Lock()
	m := s.endpoints[id]
	delete(s.endpoints, id)
	s.mu.Unlock()
	if m != nil && m.stop != nil {
		m.stop()
	}
}

// SetInstance records a new instance of a listed endpoint.
func (s *Server) SetInstance(id, instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.endpoints[id]; m != nil {
		m.endpoint.Instance = instance
	}
}

// Endpoints returns the endpoint list of GET /v1/endpoints, ordered by ID.
func (s *Server) Endpoints() []endpoint.Endpoint { return s.endpointsAnswer().Endpoints }

func (s *Server) endpointsAnswer() endpointapi.EndpointsAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := endpointapi.EndpointsAnswer{Endpoints: []endpoint.Endpoint{}}
	for _, m := range s.endpoints {
		answer.Endpoints = append(answer.Endpoints, m.endpoint)
	}
	sort.Slice(answer.Endpoints, func(i, j int) bool { return answer.Endpoints[i].ID < answer.Endpoints[j].ID })
	for _, kind := range s.kinds {
		kind.Unavailable = s.unavailableDomains(kind.Name)
		answer.Kinds = append(answer.Kinds, kind)
	}
	return answer
}

// unavailableDomains must be called with mu held.
func (s *Server) unavailableDomains(kind string) []string {
	var domains []string
	for key, unavailable := range s.unavailable {
		if unavailable && key.kind == kind {
			domains = append(domains, key.domain)
		}
	}
	sort.Strings(domains)
	return domains
}

// kind must be called with mu held.
func (s *Server) kind(name string) (endpointapi.Kind, bool) {
	for _, kind := range s.kinds {
		if kind.Name == name {
			return kind, true
		}
	}
	return endpointapi.Kind{}, false
}

func (s *Server) handleProvision(ctx *fasthttp.RequestCtx) {
	var order endpointapi.ProvisionOrder
	if !httpd.Decode(ctx, &order) {
		return
	}
	answer, entry := s.acceptProvision(order)
	if entry.Refused != "" {
		status := fasthttp.StatusConflict
		if entry.Refused == endpointapi.CodeBadRequest {
			status = fasthttp.StatusBadRequest
		}
		httpd.WriteError(ctx, status, entry.Refused, "the order has no effect")
		return
	}
	if !entry.Repeated {
		s.runAfter(s.opts.ProvisionDelay, func() { s.startEndpoint(answer.EndpointID, order) })
	}
	if !s.faults.LoseAnswer(ctx) {
		httpd.WriteJSON(ctx, fasthttp.StatusAccepted, answer)
	}
}

// acceptProvision lists the new endpoint as starting, or sets entry.Refused.
//
// It journals the order under the lock, so that journal entries and effects are
// in the same sequence.
func (s *Server) acceptProvision(order endpointapi.ProvisionOrder) (answer endpointapi.ProvisionAnswer, entry OrderEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() { s.orders.Add(entry) }()
	entry = OrderEntry{
		TimeMillis: s.opts.Clock.Now().UnixMilli(), Action: ActionProvision,
		ID: order.ID, Holder: order.Holder, Fence: order.Fence, Domain: order.Domain, Kind: order.Kind,
	}
	if answer, ok := s.provisioned[order.ID]; ok {
		entry.Repeated = true
		entry.EndpointID = answer.EndpointID
		return answer, entry
	}
	kind, known := s.kind(order.Kind)
	switch {
	case order.ID == "" || order.Domain == "":
		entry.Refused = endpointapi.CodeBadRequest
		return endpointapi.ProvisionAnswer{}, entry
	case !known:
		entry.Refused = endpointapi.CodeUnknownKind
		return endpointapi.ProvisionAnswer{}, entry
	case s.unavailable[domainKind{order.Domain, order.Kind}]:
		entry.Refused = endpointapi.CodeKindUnavailable
		return endpointapi.ProvisionAnswer{}, entry
	}
	s.nextID++
	e := endpoint.Endpoint{
		ID:     fmt.Sprintf("%s-%s-%d", order.Domain, order.Kind, s.nextID),
		Domain: order.Domain, Kind: order.Kind, Reclaimable: kind.Reclaimable,
		Service: order.Service, State: endpoint.StateStarting,
	}
	s.endpoints[e.ID] = &managedEndpoint{endpoint: e}
	ready := s.opts.Clock.Now().Add(s.opts.ProvisionDelay)
	answer = endpointapi.ProvisionAnswer{EndpointID: e.ID, ReadyAtMillis: ready.UnixMilli()}
	s.provisioned[order.ID] = answer
	entry.EndpointID = e.ID
	return answer, entry
}

// startEndpoint runs the hook for a provisioned endpoint and makes it live.
func (s *Server) startEndpoint(id string, order endpointapi.ProvisionOrder) {
	s.mu.Lock()
	m := s.endpoints[id]
	if m == nil || m.endpoint.State != endpoint.StateStarting {
		s.mu.Unlock()
		return
	}
	e := m.endpoint
	s.mu.Unlock()
	started, stop, err := s.opts.Start(e, order)
	if err != nil {
		s.opts.Log.WithError(err).WithField("endpoint", id).Error("provisioned endpoint did not start; removing it from the list")
		s.RemoveEndpoint(id)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endpoints[id] != m {
		// The endpoint was removed while the hook ran.
		go stop()
		return
	}
	started.State = m.endpoint.State
	started.LeaveAtMillis = m.endpoint.LeaveAtMillis
	if started.State == endpoint.StateStarting {
		started.State = endpoint.StateLive
	}
	m.endpoint = started
	m.stop = stop
}

func (s *Server) handleRelease(ctx *fasthttp.RequestCtx) {
	var order endpointapi.ReleaseOrder
	if !httpd.Decode(ctx, &order) {
		return
	}
	answer, entry := s.acceptRelease(order)
	if entry.Refused != "" {
		httpd.WriteError(ctx, fasthttp.StatusNotFound, entry.Refused, "no such endpoint")
		return
	}
	if !entry.Repeated {
		s.scheduleRemoval(order.EndpointID, s.opts.ReleaseDelay)
	}
	if !s.faults.LoseAnswer(ctx) {
		httpd.WriteJSON(ctx, fasthttp.StatusAccepted, answer)
	}
}

// acceptRelease journals a release order and returns its answer, or sets
// entry.Refused.
func (s *Server) acceptRelease(order endpointapi.ReleaseOrder) (answer endpointapi.ReleaseAnswer, entry OrderEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() { s.orders.Add(entry) }()
	now := s.opts.Clock.Now()
	entry = OrderEntry{
		TimeMillis: now.UnixMilli(), Action: ActionRelease,
		ID: order.ID, Holder: order.Holder, Fence: order.Fence, EndpointID: order.EndpointID,
	}
	if answer, ok := s.released[order.ID]; ok {
		entry.Repeated = true
		return answer, entry
	}
	m := s.endpoints[order.EndpointID]
	if m == nil {
		entry.Refused = endpointapi.CodeNotFound
		return endpointapi.ReleaseAnswer{}, entry
	}
	entry.Domain = m.endpoint.Domain
	entry.Kind = m.endpoint.Kind
	answer = endpointapi.ReleaseAnswer{LeaveAtMillis: now.Add(s.opts.ReleaseDelay).UnixMilli()}
	s.released[order.ID] = answer
	return answer, entry
}

// scheduleRemoval marks an endpoint as leaving and removes it after delay. An
// earlier leave time stays.
func (s *Server) scheduleRemoval(id string, delay time.Duration) {
	s.mu.Lock()
	m := s.endpoints[id]
	if m == nil {
		s.mu.Unlock()
		return
	}
	at := s.opts.Clock.Now().Add(delay).UnixMilli()
	if m.endpoint.LeaveAtMillis == 0 || at < m.endpoint.LeaveAtMillis {
		m.endpoint.LeaveAtMillis = at
	}
	m.endpoint.State = endpoint.StateLeaving
	s.mu.Unlock()
	s.runAfter(delay, func() { s.RemoveEndpoint(id) })
}

// Reclaim gives notice to every reclaimable endpoint of kind in a failure domain
// and returns their ids. A zero notice means Options.ReclaimNotice.
func (s *Server) Reclaim(domain, kind string, notice time.Duration) []string {
	if notice == 0 {
		notice = s.opts.ReclaimNotice
	}
	var ids []string
	for _, e := range s.Endpoints() {
		if e.Domain == domain && e.Kind == kind && e.Reclaimable {
			ids = append(ids, e.ID)
			s.scheduleRemoval(e.ID, notice)
		}
	}
	return ids
}

// SetAvailable sets whether a kind can be provisioned in a failure domain.
func (s *Server) SetAvailable(domain, kind string, available bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable[domainKind{domain, kind}] = !available
}

func (s *Server) takeStopFuncs() []func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var stops []func()
	for _, m := range s.endpoints {
		if m.stop != nil {
			stops = append(stops, m.stop)
			m.stop = nil
		}
	}
	return stops
}
