package placement

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/fleet"
)

const (
	// recomputeWeight is the extra cost, relative to the prefill time, of tokens
	// that another engine holds or is computing: to compute them again takes
	// capacity from other requests. It is less for parts in demand, see demand.
	recomputeWeight = 0.7
	// crossDomainPenalty is the least advantage for which an engine in another
	// failure domain is preferred.
	crossDomainPenalty = 2 * time.Millisecond
	// minCopyTokens is the shortest prefix whose copy is worth the setup time.
	minCopyTokens = 512
	// tieBreakRange is the difference in time below which engines count as
	// equally good. It exceeds the error that results from the report delay
	// between hosts, and is small compared with a latency target.
	tieBreakRange = 12 * time.Millisecond
	// minSpareShare is the least share of the engines that late work is expected to
	// get.
	minSpareShare = 0.02
	// fullSlotsPenalty is the cost of a decode engine whose slots are all
	// taken.
	fullSlotsPenalty = 400 * time.Millisecond
)

// Health reports which endpoints have failed recently or want no work. Implementations must be
// safe for concurrent use.
type Health interface {
	// Ejected reports whether the endpoint is ejected, that is, should receive
	// work only if no other endpoint can take it.
	Ejected(m fleet.Member, now time.Time) bool
	// PausedUntil returns the time before which the endpoint must receive nothing,
	// even if no other endpoint can take the work. It is zero or in the past if the
	// endpoint takes work.
	PausedUntil(m fleet.Member) time.Time
}

// FirstPauseEnd returns when the first of the live endpoints of a role takes work
// again, if all of them are paused. It returns false if one is not paused, or if none
// is live. An empty role selects the endpoints of all roles.
func FirstPauseEnd(members []fleet.Member, role endpoint.Role, health Health, now time.Time) (time.Time, bool) {
	var first time.Time
	for _, m := range members {
		if m.State != endpoint.StateLive || role != "" && m.Role != role {
			continue
		}
		end := health.PausedUntil(m)
		if !now.Before(end) {
			return time.Time{}, false
		}
		if first.IsZero() || end.Before(first) {
			first = end
		}
	}
	return first, !first.IsZero()
}

// ChoosePrefill chooses the engine that prefills the prompt. It returns false if
// no engine can. Only engines of the same software version can use the KV cache, so that
// a decode engine of the chosen one's version is live.
func (m *Model) ChoosePrefill(job Job, health Health, now time.Time) (Choice, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	candidates := m.prefillCandidates(job, health, now)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	holders := m.longestPrefixes(job, health, now)
	weight := recomputeWeight * m.demand.share(job.Parts, now)
	s := m.newSelection(candidates, now)
	shortest := time.Duration(math.MaxInt64)
	for i, e := range candidates {
		held := holders[e.member.SoftwareVersion]
		c := m.prefillChoice(e, job, held.source, held.longest, now)
		shortest = min(shortest, c.Wait)
		recomputed := max(0, held.pending-(job.PromptTokens-c.Uncached))
		cost := c.Expected() + time.Duration(weight*float64(m.speed.prefillTime(recomputed, e.timeFactor)))
		cost += tieBreak(job, e)
		if m.versions > 1 {
			cost += m.decodeWait(job, e.member.SoftwareVersion, health, now)
		}
		s.add(i, c, cost)
	}
	choice, ok := s.choose(job, now)
	choice.Shortest = shortest
	return choice, ok
}

// prefillCandidates returns the prefill engines that can take the job and whose software
// version has a decode engine: one that can take work now or, if none of any version can,
// a live one. It must be called with mu held.
func (m *Model) prefillCandidates(job Job, health Health, now time.Time) []*engine {
	if m.versions <= 1 {
		return m.candidates(endpoint.RolePrefill, job, health, now)
	}
	decodes := map[string]bool{}
	decodeJob := job
	decodeJob.Exclude = nil
	for _, e := range m.candidates(endpoint.RoleDecode, decodeJob, health, now) {
		decodes[e.member.SoftwareVersion] = true
	}
	if len(decodes) == 0 {
		for _, e := range m.order {
			if e.member.Role == endpoint.RoleDecode && e.member.State == endpoint.StateLive {
				decodes[e.member.SoftwareVersion] = true
			}
		}
	}
	return m.candidatesOf(endpoint.RolePrefill, job, decodes, health, now)
}

// tieBreak returns a time below tieBreakRange that decides between equally good
// engines. It is a hash of the engine and the prompt's first part: hosts that
// decide concurrently choose different engines for different prompts, and the
// same engine for prompts that share the part.
func tieBreak(job Job, e *engine) time.Duration {
	if len(job.Parts) == 0 {
		return 0
	}
	var key [8]byte
	binary.BigEndian.PutUint64(key[:], job.Parts[0].ID)
	hash := xxhash.New()
	// Writes to a hash do not fail.
	_, _ = hash.Write(key[:])
	_, _ = hash.WriteString(e.member.ID)
	return time.Duration(hash.Sum64() % uint64(tieBreakRange))
}

// prefillChoice returns the expected timing of a prefill at e. source holds the
// longest cached prefix, with longest tokens; it is nil if no engine holds any.
func (m *Model) prefillChoice(e *engine, job Job, source *engine, longest int, now time.Time) Choice {
	wait := e.wait(now)
	// A prefix that is still being computed is cached when the queue is done.
	_, own := e.cache.prefix(job.Parts, now)
	c := Choice{Engine: e.member, Wait: wait, Latency: m.speed.latency}
	cached := own
	if source != nil && source != e && longest-own >= minCopyTokens {
		c.Source, c.Copied = source.member, longest-own
		c.Copying = m.properties.copyTime(c.Copied, source.member.Domain != e.member.Domain)
		cached = longest
	}
	c.Uncached = max(job.PromptTokens-cached, 1)
	c.Work = c.Copying + m.speed.prefillTime(c.Uncached, e.timeFactor)
	return c
}

// heldPrefix is what the live engines of one software version hold of a prompt. source
// is the engine with the longest cached prefix, of longest tokens, and pending the number
// of tokens in the longest prefix that any of them holds or is computing.
type heldPrefix struct {
	source           *engine
	longest, pending int
}

// longestPrefixes returns what the live engines hold of the prompt, by software version.
// A copy from an ejected engine would hang or fail.
func (m *Model) longestPrefixes(job Job, health Health, now time.Time) map[string]heldPrefix {
	byVersion := make(map[string]heldPrefix, 1)
	for _, e := range m.order {
		ready, pending := e.cache.prefix(job.Parts, now)
		if pending == 0 || e.member.State != endpoint.StateLive || health.Ejected(e.member, now) {
			continue
		}
		held := byVersion[e.member.SoftwareVersion]
		held.pending = max(held.pending, pending)
		if ready > held.longest {
			held.source, held.longest = e, ready
		}
		byVersion[e.member.SoftwareVersion] = held
	}
	return byVersion
}

// ChooseDecode chooses the engine that decodes after the prefill at from, of the same
// software version. It returns false if no engine can.
func (m *Model) ChooseDecode(job Job, from fleet.Member, health Health, now time.Time) (Choice, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if job.Software != "" && job.Software != from.SoftwareVersion {
		return Choice{}, false
	}
	job.Software = from.SoftwareVersion
	candidates := m.candidates(endpoint.RoleDecode, job, health, now)
	s := m.newSelection(candidates, now)
	for i, e := range candidates {
		c := Choice{Engine: e.member, Wait: max(0, e.linkFreeAt.Sub(now))}
		far := from.Domain != e.member.Domain
		c.Work = m.properties.copyTime(job.PromptTokens, far)
		var delay time.Duration
		c.Decoding, delay = m.decodeTime(e, job, now)
		cost := c.Expected() + m.slotPenalty(e, now) + c.Decoding + delay
		if far {
			cost += crossDomainPenalty
		}
		s.add(i, c, cost)
	}
	return s.choose(job, now)
}

// ChooseDecodeWithPrefill chooses a decode engine that also prefills the prompt,
// for a fleet without a usable prefill engine. It returns false if no engine can.
func (m *Model) ChooseDecodeWithPrefill(job Job, health Health, now time.Time) (Choice, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	candidates := m.candidates(endpoint.RoleDecode, job, health, now)
	s := m.newSelection(candidates, now)
	for i, e := range candidates {
		_, own := e.cache.prefix(job.Parts, now)
		c := Choice{Engine: e.member, Uncached: max(job.PromptTokens-own, 1), Wait: e.wait(now), Latency: m.speed.latency}
		// A decode engine prefills at half the speed because its streams
		// continue.
		c.Work = 2 * m.speed.prefillTime(c.Uncached, e.timeFactor)
		var delay time.Duration
		c.Decoding, delay = m.decodeTime(e, job, now)
		s.add(i, c, c.Expected()+m.slotPenalty(e, now)+c.Decoding+delay)
	}
	return s.choose(job, now)
}

// HeldWait returns the expected time until the held jobs of this host that are ahead
// of a job have been sent, if each of the hosts holds as much. A late job of the
// given work gets only what newer work leaves, which is nearly nothing while the
// engines are busy.
func (m *Model) HeldWait(late bool, work time.Duration, arrived, now time.Time, hosts int) time.Duration {
	ahead := m.Held.Ahead(late, arrived)
	saturated := late && m.Held.Ahead(false, now) > 0
	if late {
		ahead += work
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	engines := m.prefillEngines()
	wait := ahead * time.Duration(hosts) / time.Duration(max(engines, 1))
	if late {
		m.work.decay(now)
		spare := 1 - m.work.prefill/float64(max(engines, 1))
		if saturated {
			spare = 0
		}
		wait = time.Duration(float64(wait) / max(spare, minSpareShare))
	}
	return wait
}

// HeldWaitOfTeam returns the same for a job of a team that is over its share. Such jobs
// get what the teams within their share leave. u and late are those of the job.
func (m *Model) HeldWaitOfTeam(t TeamLoad, u Urgency, late bool, work time.Duration, arrived, now time.Time, hosts int) time.Duration {
	ahead := m.Held.AheadOverShare(t, u, late, arrived) + work
	m.mu.Lock()
	defer m.mu.Unlock()
	engines := float64(max(m.prefillEngines(), 1))
	m.work.decay(now)
	spare := 1 - t.Within*m.work.prefill/engines
	return time.Duration(float64(ahead) * float64(hosts) / engines / max(spare, minSpareShare))
}

// prefillEngines returns the number of live prefill engines. It must be called with mu
// held.
func (m *Model) prefillEngines() int {
	n := 0
	for _, e := range m.order {
		if e.member.Role == endpoint.RolePrefill && e.member.State == endpoint.StateLive {
			n++
		}
	}
	return n
}

// DecodeWait returns the expected time until a decode engine has a free slot. Each
// engine frees a slot every streamTime divided by its slots.
func (m *Model) DecodeWait(job Job, health Health, now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.decodeWait(job, job.Software, health, now)
}

// decodeWait returns the same among the engines of a software version; empty means any.
// It must be called with mu held.
func (m *Model) decodeWait(job Job, software string, health Health, now time.Time) time.Duration {
	job.Exclude, job.Software = nil, software
	least := -1
	for _, e := range m.candidates(endpoint.RoleDecode, job, health, now) {
		if n := e.activeStreams(now); least < 0 || n < least {
			least = n
		}
	}
	excess := least + 1 - m.slots()
	if excess <= 0 {
		return 0
	}
	return m.streamTime * time.Duration(excess) / time.Duration(m.slots())
}

// slotPenalty grows with the square of the share of slots that are taken.
func (m *Model) slotPenalty(e *engine, now time.Time) time.Duration {
	taken := float64(e.activeStreams(now)) / float64(m.slots())
	return time.Duration(taken * taken * float64(fullSlotsPenalty))
}

// candidates returns the engines of a role that can take the job. Ejected
// engines are returned only if there are no others, paused ones never. It must be
// called with mu held.
func (m *Model) candidates(role endpoint.Role, job Job, health Health, now time.Time) []*engine {
	return m.candidatesOf(role, job, nil, health, now)
}

// candidatesOf returns the same among the engines of some software versions; nil means
// any. It must be called with mu held.
func (m *Model) candidatesOf(role endpoint.Role, job Job, versions map[string]bool, health Health, now time.Time) []*engine {
	var healthy, ejected []*engine
	for _, e := range m.order {
		if now.Before(e.blockedUntil) || e.member.Role != role || e.member.State != endpoint.StateLive || slices.Contains(job.Exclude, e.member.ID) ||
			now.Before(health.PausedUntil(e.member)) {
			continue
		}
		if job.Software != "" && e.member.SoftwareVersion != job.Software || versions != nil && !versions[e.member.SoftwareVersion] {
			continue
		}
		if health.Ejected(e.member, now) {
			ejected = append(ejected, e)
			continue
		}
		healthy = append(healthy, e)
	}
	if len(healthy) == 0 {
		return ejected
	}
	return healthy
}
