package membership

import (
	"math"
	"slices"
	"time"
)

// peerGap is an incarnation of which a peer may lack entries, with the sequence
// numbers that the peer knows.
type peerGap struct {
	origin *origin
	seqs   [streamCount]uint64
	// unknown is set if the peer does not know the incarnation at all.
	unknown bool
}

// deltas collects the entries that a peer lacks until the budget in bytes is
// used up. It goes through the streams by priority, and through all incarnations
// per stream.
func deltas(gaps []peerGap, now time.Time, budget *int) []delta {
	var out []delta
	for _, gap := range gaps {
		if gap.unknown {
			out = append(out, gap.origin.emptyDelta())
		}
	}
	for _, s := range []stream{streamLasting, streamGlobal, streamDomain, streamBulk} {
		for _, gap := range gaps {
			if *budget > 0 && gap.origin.streams[s].through > gap.seqs[s] {
				out = append(out, gap.origin.delta(s, gap.seqs[s], now, budget))
			}
		}
	}
	return out
}

// firstRequest returns the first request of an exchange with a host.
func (c *core) firstRequest(host string, now time.Time) *Message {
	m := c.newMessage(now)
	if c.listed[host].Domain == c.self.Domain {
		m.Vector = c.vector()
	}
	m.DomainHashes = c.domainHashes()
	return m
}

// newMessage returns a message with the fields that describe this host.
func (c *core) newMessage(now time.Time) *Message {
	local := c.opts.local()
	age := local.ConfirmedAge.Milliseconds()
	if local.ConfirmedAge < 0 {
		age = -1
	}
	m := &Message{From: c.self.Incarnation, ConfigOffset: local.ConfigOffset, ConfirmedAgeMillis: age, Limit: maxDeltaBytes}
	if now.Sub(c.started) < startupWindow {
		m.Limit = startupMaxDeltaBytes
	}
	return m
}

// vector returns what this host knows of each incarnation of the own domain.
func (c *core) vector() []vectorItem {
	out := make([]vectorItem, 0, len(c.byDomain[c.self.Domain]))
	for _, o := range c.byDomain[c.self.Domain] {
		out = append(out, o.vector())
	}
	return out
}

// domainHashes returns one hash per domain over its global streams. Domains
// without global entries are left out.
func (c *core) domainHashes() []domainHash {
	var out []domainHash
	for domain, origins := range c.byDomain {
		var sum uint64
		for _, o := range origins {
			sum ^= o.hash()
		}
		if sum != 0 {
			out = append(out, domainHash{Domain: domain, Hash: sum})
		}
	}
	slices.SortFunc(out, func(a, b domainHash) int { return compareStrings(a.Domain, b.Domain) })
	return out
}

// answer merges a request and returns its answer and the entries that were new.
func (c *core) answer(m *Message, now time.Time) (*Message, []Entry) {
	c.ensureOrigin(m.From, false, now)
	c.offsets[m.From.Host] = m.ConfigOffset
	changed := c.mergeAll(m.Deltas, now)
	reply := c.newMessage(now)
	reply.DomainAges = c.domainAges(now)
	budget := min(m.Limit, startupMaxDeltaBytes)
	c.answerVector(m, reply, now, &budget)
	c.answerHashes(m, reply)
	c.addDeltas(reply, m.Global, now, &budget)
	return reply, changed
}

// answerVector adds to the reply what the requester lacks of the own domain. It
// lists the incarnations of which this host lacks something or knows a higher
// heartbeat.
func (c *core) answerVector(m, reply *Message, now time.Time, budget *int) {
	if len(m.Vector) == 0 || m.From.Domain != c.self.Domain {
		return
	}
	var gaps []peerGap
	known := make(map[uint64]bool, len(m.Vector))
	for _, theirs := range m.Vector {
		known[theirs.ID] = true
		o := c.origins[theirs.ID]
		if o == nil {
			reply.Vector = append(reply.Vector, vectorItem{ID: theirs.ID})
			continue
		}
		c.raiseHeartbeat(o, theirs.Heartbeat, now)
		mine := o.vector()
		gaps = append(gaps, peerGap{origin: o, seqs: theirs.Seqs})
		if mine.Heartbeat > theirs.Heartbeat || behind(mine.Seqs, theirs.Seqs) {
			reply.Vector = append(reply.Vector, mine)
		}
	}
	for id, o := range c.byDomain[c.self.Domain] {
		if !known[id] {
			gaps = append(gaps, peerGap{origin: o, unknown: true})
		}
	}
	reply.Deltas = append(reply.Deltas, deltas(gaps, now, budget)...)
}

// behind reports whether a is lower than b in any stream.
func behind(a, b [streamCount]uint64) bool {
	for i := range a {
		if a[i] < b[i] {
			return true
		}
	}
	return false
}

// answerHashes lists the global streams of the domains whose hashes differ, in
// random order and up to maxGlobalItems.
func (c *core) answerHashes(m, reply *Message) {
	// A second request carries no hashes and needs no lists.
	if m.DomainHashes == nil && m.Global != nil {
		return
	}
	theirs := map[string]uint64{}
	for _, r := range m.DomainHashes {
		theirs[r.Domain] = r.Hash
	}
	mine := map[string]uint64{}
	for _, r := range c.domainHashes() {
		mine[r.Domain] = r.Hash
	}
	var differ []string
	for domain, hash := range mine {
		if theirs[domain] != hash {
			differ = append(differ, domain)
		}
	}
	for domain := range theirs {
		if _, have := mine[domain]; !have {
			differ = append(differ, domain)
		}
	}
	if m.From.Domain == c.self.Domain {
		differ = slices.DeleteFunc(differ, func(d string) bool { return d == c.self.Domain })
	}
	slices.Sort(differ)
	c.opts.rand.Shuffle(len(differ), func(i, j int) { differ[i], differ[j] = differ[j], differ[i] })
	items := 0
	for _, domain := range differ {
		if items >= maxGlobalItems {
			return
		}
		list := c.globalList(domain)
		items += len(list.Items) + 1
		reply.Global = append(reply.Global, list)
	}
}

// globalList returns the sequence numbers of a domain's global streams.
func (c *core) globalList(domain string) globalList {
	list := globalList{Domain: domain}
	for _, o := range c.byDomain[domain] {
		if o.hash() != 0 {
			s := o.seqs()
			list.Items = append(list.Items, globalItem{ID: o.id, Seqs: [globalStreamCount]uint64(s[streamDomain+1:])})
		}
	}
	return list
}

// addDeltas adds to out what the sender of the lists lacks, and returns the
// domains in which the sender has something that this host lacks.
func (c *core) addDeltas(out *Message, lists []globalList, now time.Time, budget *int) (lacking []string) {
	var gaps []peerGap
	for _, list := range lists {
		theirs := make(map[uint64][streamCount]uint64, len(list.Items))
		missing := false
		for _, item := range list.Items {
			var s [streamCount]uint64
			copy(s[streamDomain+1:], item.Seqs[:])
			theirs[item.ID] = s
			o := c.origins[item.ID]
			missing = missing || o == nil || behind(o.seqs(), s)
		}
		for id, o := range c.byDomain[list.Domain] {
			gap := peerGap{origin: o, seqs: theirs[id]}
			// The domain stream is not exchanged here and counts as known.
			gap.seqs[streamDomain] = math.MaxUint64
			gaps = append(gaps, gap)
		}
		if missing {
			lacking = append(lacking, list.Domain)
		}
	}
	out.Deltas = append(out.Deltas, deltas(gaps, now, budget)...)
	return lacking
}

// mergeAnswer merges an answer. It returns the second request, or nil if neither
// side lacks anything, and the entries that were new. sentAt is when the
// answered request was sent.
func (c *core) mergeAnswer(m *Message, sentAt, now time.Time) (*Message, []Entry) {
	c.ensureOrigin(m.From, false, now)
	c.offsets[m.From.Host] = m.ConfigOffset
	delete(c.failed, m.From.Host)
	c.recordLastSeen(m, sentAt)
	changed := c.mergeAll(m.Deltas, now)
	next := c.newMessage(now)
	budget := min(m.Limit, startupMaxDeltaBytes)
	var gaps []peerGap
	for _, theirs := range m.Vector {
		o := c.origins[theirs.ID]
		if o == nil {
			continue
		}
		c.raiseHeartbeat(o, theirs.Heartbeat, now)
		gaps = append(gaps, peerGap{origin: o, seqs: theirs.Seqs, unknown: theirs.Heartbeat == 0})
	}
	next.Deltas = deltas(gaps, now, &budget)
	for _, domain := range c.addDeltas(next, m.Global, now, &budget) {
		next.Global = append(next.Global, c.globalList(domain))
	}
	if len(next.Deltas) == 0 && len(next.Global) == 0 {
		return nil, changed
	}
	// Without hashes, a non-nil list marks a second request; see answerHashes.
	if next.Global == nil {
		next.Global = []globalList{}
	}
	return next, changed
}

// recordLastSeen records which domains were seen according to an answer, and
// calls onAnswer. Requests are not used: a request may have waited in a buffer of
// a paused process, so its ages have no upper bound.
func (c *core) recordLastSeen(m *Message, sentAt time.Time) {
	c.domainSeen(m.From.Domain, sentAt)
	for _, seen := range m.DomainAges {
		if seen.AgeMillis >= 0 {
			c.domainSeen(seen.Domain, sentAt.Add(-time.Duration(seen.AgeMillis)*time.Millisecond))
		}
	}
	if c.opts.onAnswer != nil {
		age := m.confirmedAge()
		if m.ConfirmedAgeMillis < 0 {
			age = -1
		}
		c.opts.onAnswer(m.From.Host, m.From.Domain, age, sentAt)
	}
}

// domainAges lists the time since each other domain was seen, if it was seen
// within domainSuspectAfter. Ages are rounded up to milliseconds.
func (c *core) domainAges(now time.Time) []domainAge {
	var out []domainAge
	for domain, at := range c.lastSeen {
		if age := now.Sub(at); age <= domainSuspectAfter && domain != c.self.Domain {
			out = append(out, domainAge{Domain: domain, AgeMillis: max(0, age.Milliseconds()+1)})
		}
	}
	slices.SortFunc(out, func(a, b domainAge) int { return compareStrings(a.Domain, b.Domain) })
	return out
}
