package placement

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/fleet"
)

const (
	// rereadWeight is how much the reading of tokens that another engine holds
	// or is about to hold counts beyond its time: it takes the time from others.
	rereadWeight = 0.7
	// farPenalty is what an engine in another failure domain has to be better by.
	farPenalty = 2 * time.Millisecond
	// minCopyTokens is the least prefix for which a copy is worth its setup.
	minCopyTokens = 512
	// spreadRange is the difference in time below which engines count as equally
	// good. It exceeds what a host's view is behind, and is small beside a target.
	spreadRange = 12 * time.Millisecond
	// slotPressure is the extra time of a decode engine whose slots are all taken.
	slotPressure = 400 * time.Millisecond
)

// Health says which endpoints have failed recently.
type Health interface {
	// Suspect reports whether the endpoint should get no work if there is a
	// choice.
	Suspect(m fleet.Member, now time.Time) bool
}

// Prefill chooses the engine that reads the prompt. It returns false if no
// engine can.
func (m *Model) Prefill(job Job, health Health, now time.Time) (Choice, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	candidates := m.candidates(endpoint.RolePrefill, job, health, now)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	source, most, coming := m.holders(job, now)
	var best Choice
	bestCost := time.Duration(-1)
	for _, e := range candidates {
		c := m.prefillAt(e, job, source, most, now)
		reread := max(0, coming-(job.PromptTokens-c.Uncached))
		cost := c.Expected() + time.Duration(rereadWeight*float64(m.speed.reading(reread, e.factor)))
		cost += spread(job, e)
		if bestCost < 0 || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return best, true
}

// spread breaks ties between engines that are equally good: by the prompt's first
// part, so that hosts that decide at the same moment choose different engines for
// different prompts and the same one for prompts that share it.
func spread(job Job, e *engine) time.Duration {
	if len(job.Parts) == 0 {
		return 0
	}
	var key [8]byte
	binary.BigEndian.PutUint64(key[:], job.Parts[0].ID)
	hash := xxhash.New()
	// Writes to a hash do not fail.
	_, _ = hash.Write(key[:])
	_, _ = hash.WriteString(e.member.ID)
	return time.Duration(hash.Sum64() % uint64(spreadRange))
}

// prefillAt is what reading the prompt at e would take.
func (m *Model) prefillAt(e *engine, job Job, source *engine, most int, now time.Time) Choice {
	wait := e.wait(now)
	// What the engine is reading now it will hold when its queue is done.
	_, own := e.cache.prefix(job.Parts, now)
	c := Choice{Engine: e.member, Wait: wait, Latency: m.speed.latency}
	cached := own
	if source != nil && source != e && most-own >= minCopyTokens {
		c.Source, c.Copied = source.member, most-own
		c.Copying = m.physics.copyTime(c.Copied, source.member.Domain != e.member.Domain)
		cached = most
	}
	c.Uncached = max(job.PromptTokens-cached, 1)
	c.Work = c.Copying + m.speed.reading(c.Uncached, e.factor)
	return c
}

// holders returns the live engine that holds the longest prefix of the prompt now,
// the tokens of that prefix, and those of the longest one that some engine holds
// or is reading.
func (m *Model) holders(job Job, now time.Time) (source *engine, most, mostComing int) {
	for _, e := range m.order {
		ready, coming := e.cache.prefix(job.Parts, now)
		mostComing = max(mostComing, coming)
		if ready > most && e.member.State == endpoint.StateLive {
			source, most = e, ready
		}
	}
	return source, most, mostComing
}

// Decode chooses the engine that makes the tokens after the prompt was read at
// from. It returns false if no engine can.
func (m *Model) Decode(job Job, from fleet.Member, health Health, now time.Time) (Choice, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var best Choice
	bestCost := time.Duration(-1)
	for _, e := range m.candidates(endpoint.RoleDecode, job, health, now) {
		c := Choice{Engine: e.member, Wait: max(0, e.linkFree.Sub(now))}
		far := from.Domain != e.member.Domain
		c.Work = m.physics.copyTime(job.PromptTokens, far)
		cost := c.Expected() + m.pressure(e, now)
		if far {
			cost += farPenalty
		}
		if bestCost < 0 || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return best, bestCost >= 0
}

// Whole chooses a decode engine that reads the prompt itself, for a fleet that
// has no prefill engine left.
func (m *Model) Whole(job Job, health Health, now time.Time) (Choice, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var best Choice
	bestCost := time.Duration(-1)
	for _, e := range m.candidates(endpoint.RoleDecode, job, health, now) {
		_, own := e.cache.prefix(job.Parts, now)
		c := Choice{Engine: e.member, Uncached: max(job.PromptTokens-own, 1), Wait: e.wait(now), Latency: m.speed.latency}
		// A decode engine reads at half the speed, between its streams.
		c.Work = 2 * m.speed.reading(c.Uncached, e.factor)
		if cost := c.Expected() + m.pressure(e, now); bestCost < 0 || cost < bestCost {
			best, bestCost = c, cost
		}
	}
	return best, bestCost >= 0
}

// pressure grows with the share of the slots that are taken.
func (m *Model) pressure(e *engine, now time.Time) time.Duration {
	slots := max(m.physics.Slots, 1)
	taken := float64(e.streaming(now)) / float64(slots)
	return time.Duration(taken * taken * float64(slotPressure))
}

// candidates lists the engines of a role that may take the job. Suspects are
// among them only if there is nobody else.
func (m *Model) candidates(role endpoint.Role, job Job, health Health, now time.Time) []*engine {
	var sound, suspect []*engine
	for _, e := range m.order {
		if now.Before(e.blockedUntil) || e.member.Role != role || e.member.State != endpoint.StateLive || slices.Contains(job.Exclude, e.member.ID) {
			continue
		}
		if health.Suspect(e.member, now) {
			suspect = append(suspect, e)
			continue
		}
		sound = append(sound, e)
	}
	if len(sound) == 0 {
		return suspect
	}
	return sound
}
