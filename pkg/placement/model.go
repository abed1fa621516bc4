package placement

import (
	"sync"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/fleet"
	"github.com/clementineshed/clementineshed/pkg/pace"
)

const (
	// defaultCacheTokens is used if the service declares no cache size.
	defaultCacheTokens = 500_000
	// copySetupTime is the fixed part of the time of a copy between engines.
	copySetupTime = 5 * time.Millisecond
	// crossDomainCopyFactor is the ratio of the time of a copy between failure
	// domains to one within a domain.
	crossDomainCopyFactor = 2.0
	// queueCorrectionGain is the part of the difference between measured and
	// expected time that is attributed to work of other hosts.
	queueCorrectionGain = 0.6
	// maxQueueWait bounds the expected wait. An engine that is later than this
	// is detected by its failures.
	maxQueueWait = 20 * time.Second
)

// EngineProperties holds the declared properties of a service's engines.
// TokenBytes is the size of one token's KV cache; Slots is the number of requests
// that an engine decodes at once.
type EngineProperties struct {
	CacheTokens, TokenBytes int
	LinkBytesPerSecond      float64
	Slots                   int
}

// engine is the estimated state of one engine.
type engine struct {
	member fleet.Member
	cache  *cache
	// prefillFreeAt is when the queued prefills are expected to be done.
	// Engines run prefills in the order of arrival, regardless of their
	// priority.
	prefillFreeAt time.Time
	// correction is the sum of the corrections of prefillFreeAt by measured times.
	correction time.Duration
	// linkFreeAt is when the transfers to the engine are expected to be done.
	linkFreeAt time.Time
	// timeFactor is the engine's prefill time relative to the fleet's mean.
	timeFactor float64
	// blockedUntil is when the engine is expected to accept work again after it
	// refused a request or was ordered to change its role.
	blockedUntil time.Time
	// inFlight holds this host's sends that have not ended.
	inFlight map[*InFlightSend]struct{}
	// ownStreams counts this host's requests that the engine decodes.
	// peerStreamEnds holds the estimated ends of those of other hosts.
	ownStreams     int
	peerStreamEnds []time.Time
	// decode is the smoothed speed of the engine's streams.
	decode decodeMean
}

// InFlightSend identifies a send of this host that is in flight.
type InFlightSend struct {
	engineID   string
	role       endpoint.Role
	sentAt     time.Time
	expectedAt time.Time
	uncached   int
	// engineIdle is set if no other work was known at the engine, or, for a
	// decode, if a slot was free, so that the elapsed time measures the engine.
	engineIdle bool
	// correction is engine.correction when the send began.
	correction time.Duration
	// copyTime is the part of the work that is not prefill.
	copyTime time.Duration
	work     time.Duration
	// addedParts are the IDs of the parts that are cached only because of this
	// send.
	addedParts []uint64
	// streams is the number of streams at the engine when the send began, for a decode.
	streams int
}

// Model holds the estimated state of the engines of one service. It is safe for
// concurrent use.
type Model struct {
	// Held holds the jobs that this host holds back.
	Held HoldQueue
	// Teams holds the recent work of all hosts by team.
	Teams *Teams
	// limiter says which engines get no more requests; nil if none is limited.
	limiter *pace.Limiter

	mu sync.Mutex
	// The fields below are guarded by mu.
	engines     map[string]*engine
	properties  EngineProperties
	speed       prefillSpeed
	decodeSpeed decodeSpeed
	// order lists the engines in the order given to SetFleet, by ID, so that
	// all hosts break ties alike.
	order []*engine
	// versions is the number of software versions of the engines.
	versions int
	work     workMeter
	// demand counts the uses of shared parts.
	demand demand
	// streamTime is the smoothed time for which a stream takes a slot. It is
	// measured by this host's streams that found a free slot.
	streamTime time.Duration
}

// NewModel returns a model without engines.
func NewModel() *Model {
	return &Model{Teams: newTeams(), engines: map[string]*engine{}, properties: EngineProperties{CacheTokens: defaultCacheTokens}, speed: newPrefillSpeed(), demand: newDemand(), decodeSpeed: decodeSpeed{outputs: map[int]float64{}}, streamTime: defaultStreamTime}
}

// SetEngineProperties sets the declared properties of the engines. A CacheTokens
// of 0 or less selects a default.
func (m *Model) SetEngineProperties(p EngineProperties) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.CacheTokens <= 0 {
		p.CacheTokens = defaultCacheTokens
	}
	m.properties = p
	for _, e := range m.engines {
		e.cache.capacity = p.CacheTokens
	}
}

// SetFleet replaces the engines. members must be sorted by ID. The state of an
// engine that has restarted is reset. An engine that has changed its role keeps
// its cache.
func (m *Model) SetFleet(members []fleet.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := make(map[string]*engine, len(members))
	versions := map[string]bool{}
	m.order = m.order[:0]
	for _, member := range members {
		e := m.engines[member.ID]
		if e != nil && e.member.Role != member.Role {
			// The role change that blocked the engine is complete.
			e.blockedUntil = time.Time{}
		}
		if e == nil || e.member.StartedMillis != member.StartedMillis || e.member.SoftwareVersion != member.SoftwareVersion {
			e = &engine{cache: newCache(m.properties.CacheTokens), inFlight: map[*InFlightSend]struct{}{}, timeFactor: 1}
		}
		e.member = member
		next[member.ID] = e
		m.order = append(m.order, e)
		versions[member.SoftwareVersion] = true
	}
	m.engines, m.versions = next, len(versions)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// wait returns the expected queueing time of new work at the engine. A prefill
// of this host that is overdue shows that more work is queued than is known.
func (e *engine) wait(now time.Time) time.Duration {
	wait := max(0, e.prefillFreeAt.Sub(now))
	for s := range e.inFlight {
		if s.role == endpoint.RolePrefill {
			wait = max(wait, now.Sub(s.expectedAt))
		}
	}
	return min(wait, maxQueueWait)
}

// copyTime returns the time to transfer the KV cache of tokens over a link. far
// is set if the engines are in different failure domains.
func (p EngineProperties) copyTime(tokens int, far bool) time.Duration {
	if p.LinkBytesPerSecond <= 0 || tokens <= 0 {
		return 0
	}
	seconds := float64(tokens) * float64(p.TokenBytes) / p.LinkBytesPerSecond
	if far {
		seconds *= crossDomainCopyFactor
	}
	return copySetupTime + time.Duration(seconds*float64(time.Second))
}

// BeginSend records that this host sends the job to the chosen engine. It returns
// the send to pass to EndSend, and the report for the other hosts.
func (m *Model) BeginSend(role endpoint.Role, job Job, c Choice, now time.Time) (*InFlightSend, SendReport) {
	m.mu.Lock()
	defer m.mu.Unlock()
	report := SendReport{EngineID: c.Engine.ID, Role: role, WorkMicros: c.Work.Microseconds(), Parts: job.Parts}
	s := &InFlightSend{engineID: c.Engine.ID, role: role, sentAt: now, expectedAt: now.Add(c.Expected()), uncached: c.Uncached, work: c.Work, copyTime: c.Copying}
	e := m.engines[c.Engine.ID]
	if e == nil {
		return s, report
	}
	s.correction = e.correction
	s.engineIdle = len(e.inFlight) == 0 && c.Wait == 0
	if role == endpoint.RoleDecode {
		s.engineIdle = e.activeStreams(now) < m.slots()
	}
	s.addedParts = m.applySend(e, report, now)
	e.inFlight[s] = struct{}{}
	if role == endpoint.RoleDecode {
		e.ownStreams++
		s.streams = e.activeStreams(now)
	}
	return s, report
}

// ApplyPeerSend applies a send that another host reported.
func (m *Model) ApplyPeerSend(report SendReport, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.engines[report.EngineID]; e != nil {
		if report.Role == endpoint.RolePrefill {
			report.WorkMicros = min(report.WorkMicros, m.remainingWork(e, report.Parts, now).Microseconds())
		}
		m.applySend(e, report, now)
		if report.Role == endpoint.RoleDecode {
			e.peerStreamEnds = append(e.peerStreamEnds, now.Add(m.streamTime))
		}
	}
}

// remainingWork returns the work of a prompt of the parts at an engine, without those
// that it holds or is computing. Hosts that use a new part at the same time do not know
// of each other yet, and each reports the work of computing it. The engine computes it
// once. It must be called with mu held.
func (m *Model) remainingWork(e *engine, parts []Part, now time.Time) time.Duration {
	_, known := e.cache.prefix(parts, now)
	if known == 0 {
		return maxQueueWait
	}
	left := -known
	for _, p := range parts {
		left += p.Tokens
	}
	return m.speed.prefillTime(left, e.timeFactor)
}

// ApplyCached records that an engine holds parts, as it says itself.
func (m *Model) ApplyCached(engineID string, parts []Part, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.engines[engineID]; e != nil {
		e.cache.add(parts, now)
	}
}

const (
	// defaultStreamTime is the assumed time of a stream until some have been
	// measured. streamTimeGain is the weight of one measurement.
	defaultStreamTime = 400 * time.Millisecond
	streamTimeGain    = 0.05
)

// slots returns the number of requests that an engine decodes at once. It must be
// called with mu held.
func (m *Model) slots() int { return max(m.properties.Slots, 1) }

// applySend adds a send to the engine's state and returns the IDs of the parts
// that the engine did not hold before. It must be called with mu held.
func (m *Model) applySend(e *engine, report SendReport, now time.Time) []uint64 {
	work := time.Duration(report.WorkMicros) * time.Microsecond
	m.work.add(report.Role, work, m.streamTime/time.Duration(m.slots()), now)
	if report.Role == endpoint.RoleDecode {
		e.linkFreeAt = later(e.linkFreeAt, now).Add(work)
		return e.cache.add(report.Parts, e.linkFreeAt)
	}
	m.demand.add(report.Parts, now)
	e.prefillFreeAt = later(e.prefillFreeAt, now).Add(work)
	return e.cache.add(report.Parts, e.prefillFreeAt.Add(m.speed.latency))
}

// Outcome is how a send ended.
type Outcome int

// A failed send is assumed to leave no work at the engine.
const (
	Completed Outcome = iota
	Failed
)

// EndSend records how a send of this host ended. Calls after the first have no
// effect.
func (m *Model) EndSend(s *InFlightSend, outcome Outcome, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.engines[s.engineID]
	if e == nil {
		return
	}
	if _, open := e.inFlight[s]; !open {
		return
	}
	delete(e.inFlight, s)
	if outcome != Completed {
		e.cache.remove(s.addedParts)
	}
	if s.role == endpoint.RoleDecode {
		e.ownStreams = max(0, e.ownStreams-1)
		if outcome == Completed && s.engineIdle {
			m.streamTime += time.Duration(streamTimeGain * float64(now.Sub(s.sentAt)-m.streamTime))
		}
		return
	}
	if outcome != Completed {
		e.prefillFreeAt = e.prefillFreeAt.Add(-s.work)
		return
	}
	m.updateEstimates(e, s, now)
}

// updateEstimates compares the time that a prefill took with the expected time.
// It corrects the engine's speed if the engine was idle, and always its queue.
// It must be called with mu held.
func (m *Model) updateEstimates(e *engine, s *InFlightSend, now time.Time) {
	if s.engineIdle {
		e.timeFactor = m.speed.observe(s.uncached, now.Sub(s.sentAt)-s.copyTime, e.timeFactor)
	}
	// Sends that were in flight together are late by the same queue, so what has been
	// corrected since this one began is not corrected again.
	late := now.Sub(s.expectedAt) - (e.correction - s.correction)
	correction := time.Duration(queueCorrectionGain * float64(late))
	e.correction += correction
	e.prefillFreeAt = e.prefillFreeAt.Add(correction)
}

// Block excludes an engine from new work until a time, after it refused a
// request or was ordered to stop taking work. An earlier time than that of a
// previous call has no effect.
func (m *Model) Block(engineID string, until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.engines[engineID]; e != nil {
		e.blockedUntil = later(e.blockedUntil, until)
	}
}

// activeStreams returns the number of requests that the engine is expected to
// decode. It drops the streams of other hosts that have ended.
func (e *engine) activeStreams(now time.Time) int {
	kept := e.peerStreamEnds[:0]
	for _, end := range e.peerStreamEnds {
		if end.After(now) {
			kept = append(kept, end)
		}
	}
	e.peerStreamEnds = kept
	return e.ownStreams + len(e.peerStreamEnds)
}
