package placement

import (
	"sync"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/fleet"
)

const (
	// defaultCacheTokens is used as long as the service does not say.
	defaultCacheTokens = 500_000
	// copySetup is the fixed part of a copy between engines.
	copySetup = 5 * time.Millisecond
	// farFactor is how much longer a copy between failure domains takes.
	farFactor = 2.0
	// waitGain is the part of a difference between expected and seen time that
	// is taken as work of others.
	waitGain = 0.6
	// maxWait bounds the expected wait: an engine that is late by more is
	// found by its failures.
	maxWait = 20 * time.Second
)

// Physics are the declared figures of a service's engines.
type Physics struct {
	CacheTokens, TokenBytes int
	LinkBytesPerSecond      float64
	Slots                   int
}

// engine is the state of one engine.
type engine struct {
	member fleet.Member
	cache  *cache
	// free is when the prompts that wait are read. Engines read them in the order
	// of their arrival, whatever their rank.
	free time.Time
	// linkFree is when the transfers to the engine are done.
	linkFree time.Time
	// factor is how much longer it takes than the fleet's mean.
	factor float64
	// blockedUntil is when the engine is expected to take work again, after it
	// refused some or was given an order.
	blockedUntil time.Time
	// inFlight holds the own sends that have not been answered.
	inFlight map[*Ticket]struct{}
	// streams counts the requests that generate here, of this host; others is
	// an estimate of the rest by expected ends.
	streams int
	ends    []time.Time
}

// Ticket is an own send in flight.
type Ticket struct {
	engineID string
	role     endpoint.Role
	sentAt   time.Time
	expected time.Time
	uncached int
	// alone says that no other work was known at the engine, so that the time
	// measures its speed.
	alone bool
	// copying is the part of the work that is no reading.
	copying time.Duration
	work    time.Duration
	// added are the parts that the engine will hold only because of this send.
	added []uint64
}

// Model is the state of the engines of one service. It is safe for concurrent
// use.
type Model struct {
	mu sync.Mutex
	// The fields below are guarded by mu.
	engines map[string]*engine
	physics Physics
	speed   speed
	// order lists the engines by id, so that ties are broken alike on all hosts.
	order []*engine
	work  meter
}

// NewModel returns an empty model.
func NewModel() *Model {
	return &Model{engines: map[string]*engine{}, physics: Physics{CacheTokens: defaultCacheTokens}, speed: newSpeed()}
}

// SetPhysics sets the declared figures of the engines.
func (m *Model) SetPhysics(p Physics) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.CacheTokens <= 0 {
		p.CacheTokens = defaultCacheTokens
	}
	m.physics = p
	for _, e := range m.engines {
		e.cache.capacity = p.CacheTokens
	}
}

// SetFleet replaces the engines. An engine that has restarted starts anew; one
// that has changed its role keeps its cache.
func (m *Model) SetFleet(members []fleet.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := make(map[string]*engine, len(members))
	m.order = m.order[:0]
	for _, member := range members {
		e := m.engines[member.ID]
		if e != nil && e.member.Role != member.Role {
			// The change that blocked it is complete.
			e.blockedUntil = time.Time{}
		}
		if e == nil || e.member.StartedMillis != member.StartedMillis {
			e = &engine{cache: newCache(m.physics.CacheTokens), inFlight: map[*Ticket]struct{}{}, factor: 1}
		}
		e.member = member
		next[member.ID] = e
		m.order = append(m.order, e)
	}
	m.engines = next
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// wait returns how long new work waits at the engine. An own send that is
// overdue shows that more work waits than is known.
func (e *engine) wait(now time.Time) time.Duration {
	wait := max(0, e.free.Sub(now))
	for t := range e.inFlight {
		if t.role == endpoint.RolePrefill {
			wait = max(wait, now.Sub(t.expected))
		}
	}
	return min(wait, maxWait)
}

// copyTime is how long the transfer of tokens takes on a link.
func (p Physics) copyTime(tokens int, far bool) time.Duration {
	if p.LinkBytesPerSecond <= 0 || tokens <= 0 {
		return 0
	}
	seconds := float64(tokens) * float64(p.TokenBytes) / p.LinkBytesPerSecond
	if far {
		seconds *= farFactor
	}
	return copySetup + time.Duration(seconds*float64(time.Second))
}

// Begin notes an own send for the choice and returns its ticket, and the report
// for the other hosts.
func (m *Model) Begin(role endpoint.Role, job Job, c Choice, now time.Time) (*Ticket, Sent) {
	m.mu.Lock()
	defer m.mu.Unlock()
	sent := Sent{EngineID: c.Engine.ID, Role: role, WorkMicros: c.Work.Microseconds(), Parts: job.Parts}
	t := &Ticket{engineID: c.Engine.ID, role: role, sentAt: now, expected: now.Add(c.Expected()), uncached: c.Uncached, work: c.Work, copying: c.Copying}
	e := m.engines[c.Engine.ID]
	if e == nil {
		return t, sent
	}
	t.alone = len(e.inFlight) == 0 && c.Wait == 0
	t.added = m.apply(e, sent, now)
	e.inFlight[t] = struct{}{}
	if role == endpoint.RoleDecode {
		e.streams++
	}
	return t, sent
}

// Observe applies a send of another host.
func (m *Model) Observe(sent Sent, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.engines[sent.EngineID]; e != nil {
		m.apply(e, sent, now)
		if sent.Role == endpoint.RoleDecode {
			e.ends = append(e.ends, now.Add(streamTime))
		}
	}
}

// streamTime is how long a stream of another host is taken to run.
const streamTime = 400 * time.Millisecond

// apply returns the parts that the engine did not hold before. It must be called
// with mu held.
func (m *Model) apply(e *engine, sent Sent, now time.Time) []uint64 {
	work := time.Duration(sent.WorkMicros) * time.Microsecond
	m.work.add(sent.Role, work, now)
	if sent.Role == endpoint.RoleDecode {
		e.linkFree = later(e.linkFree, now).Add(work)
		return e.cache.add(sent.Parts, e.linkFree)
	}
	e.free = later(e.free, now).Add(work)
	return e.cache.add(sent.Parts, e.free.Add(m.speed.latency))
}

// Outcome is how a send ended.
type Outcome int

// Outcomes. Failed sends are taken to have left no work at the engine.
const (
	Completed Outcome = iota
	Failed
)

// End notes the end of an own send.
func (m *Model) End(t *Ticket, outcome Outcome, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.engines[t.engineID]
	if e == nil {
		return
	}
	if _, open := e.inFlight[t]; !open {
		return
	}
	delete(e.inFlight, t)
	if outcome != Completed {
		e.cache.remove(t.added)
	}
	if t.role == endpoint.RoleDecode {
		e.streams = max(0, e.streams-1)
		return
	}
	if outcome != Completed {
		e.free = e.free.Add(-t.work)
		return
	}
	m.learn(e, t, now)
}

// learn compares the time that a send took with what was expected. mu must be
// held.
func (m *Model) learn(e *engine, t *Ticket, now time.Time) {
	if t.alone {
		e.factor = m.speed.observe(t.uncached, now.Sub(t.sentAt)-t.copying, e.factor)
	}
	e.free = e.free.Add(time.Duration(waitGain * float64(now.Sub(t.expected))))
}

// Block keeps new work from an engine until a time: an order or a refusal says
// that it will run none before.
func (m *Model) Block(engineID string, until time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.engines[engineID]; e != nil {
		e.blockedUntil = later(e.blockedUntil, until)
	}
}

// streaming is the number of requests that generate at the engine.
func (e *engine) streaming(now time.Time) int {
	kept := e.ends[:0]
	for _, end := range e.ends {
		if end.After(now) {
			kept = append(kept, end)
		}
	}
	e.ends = kept
	return e.streams + len(e.ends)
}
