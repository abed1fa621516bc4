package membership

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Times and limits of the gossip.
const (
	// Interval is the time between two ticks. Each tick contacts one host of
	// the own domain.
	Interval = time.Second
	// crossProbability is the probability that a tick also contacts a host of
	// another domain. With 60 hosts per domain this gives 30 exchanges per
	// second with other domains, so the time that an entry takes to reach all
	// hosts is dominated by the spread inside each domain.
	crossProbability = 0.5
	// maxPartnerDomains is the number of other domains in which a host has
	// partners. A small fixed set lets connections be reused.
	maxPartnerDomains = 4
	// maxDomainPartners is the number of hosts of its domain among which a host
	// picks one per tick. With all 63 others as partners, keep-alives and
	// handshakes of 63 connections took 25 KB/s per host, which is the whole
	// budget.
	maxDomainPartners = 8
	// partnerEpoch is how long a choice of partners is kept, so that a bad
	// choice does not last. It ends at a different time on each host.
	partnerEpoch = 5 * time.Minute
	// suspectBase plus one Interval per doubling of the domain's hosts is the
	// heartbeat age above which a host is suspected. With 4 s, 2% of 1,500
	// healthy tables suspected some healthy host at any time.
	suspectBase = 8 * time.Second
	// domainSuspectAfter is the time since another domain was last seen after
	// which all its hosts are suspected.
	domainSuspectAfter = 15 * time.Second
	// contactRetryDelay is how long a host whose contact failed is avoided as a
	// partner. A host of another domain is suspected for the same time, because
	// this domain does not follow its heartbeats.
	contactRetryDelay = 30 * time.Second
	// maxDeltaBytes bounds the entries in one message. With 13,000 bulk entries
	// that change every 30 s, exchanges took 16 KB/s per host, and 22 KB/s with
	// 2,048; connections take up to 7 KB/s of the budget of 25 KB/s.
	maxDeltaBytes = 1200
	// startupMaxDeltaBytes replaces maxDeltaBytes in the first startupWindow of
	// a process, so that it catches up fast. It also caps the limit that a peer
	// may ask for.
	startupMaxDeltaBytes = 128 << 10
	startupWindow        = 20 * time.Second
	// maxGlobalItems bounds the incarnations that one answer lists, at about 20
	// bytes each. A domain's list is never split, so the last one may exceed the
	// bound.
	maxGlobalItems = 100
	// burstDomainHosts and burstCrossHosts are the numbers of hosts in the own
	// and in other domains that a host contacts immediately when it stores a new
	// lasting entry (a quarantine, a withdrawal), so that these spread within a
	// few round trips instead of seconds.
	burstDomainHosts = 3
	burstCrossHosts  = 1
	// maxBurstTokens bounds the bursts in a row. Each tick adds one token.
	// Without a token, new lasting entries wait for the next tick.
	maxBurstTokens = 4
	// expireTicks is the number of ticks between two sweeps of expired entries.
	expireTicks = 5
	// goneRetention is how long a gone host is remembered, so that hosts with an
	// older host list do not bring its entries back.
	goneRetention = time.Hour
)

// coreOptions configure a core.
type coreOptions struct {
	self     Incarnation
	rand     *rand.Rand
	local    func() LocalStatus
	onAnswer AnswerFunc
}

// core decides which hosts to contact, what to send and how to merge. It does
// no I/O, reads no clock and is not safe for concurrent use.
type core struct {
	opts    coreOptions
	self    *origin
	started time.Time
	ticks   int
	// urgent is set while a new lasting entry waits for a burst.
	urgent      bool
	burstTokens int
	// replaced is set once a newer incarnation of the own host was seen.
	replaced bool

	origins map[uint64]*origin
	// byHost holds the current incarnation of each host.
	byHost map[string]*origin
	// byDomain holds all origins of each domain by id.
	byDomain map[string]map[uint64]*origin
	index    index

	// listed and domains hold the host list by host and by domain.
	listed  map[string]ListedHost
	domains map[string][]ListedHost
	// gone holds the hosts that left the host list.
	gone map[string]tombstone
	// failed holds the last failed contact per host.
	failed map[string]failure
	// lastSeen holds, per domain, when one of its hosts is last known to have
	// answered.
	lastSeen map[string]time.Time
	// offsets holds the last reported ConfigOffset per host.
	offsets map[string]int64
}

// tombstone marks a gone host. Its incarnations up to the nonce have ended.
type tombstone struct {
	nonce uint64
	at    time.Time
}

// failure is a failed contact, with the host's heartbeat known at that time.
type failure struct {
	at        time.Time
	heartbeat uint64
}

func newCore(opts coreOptions, now time.Time) *core {
	c := &core{
		opts: opts, started: now, burstTokens: maxBurstTokens,
		origins: map[uint64]*origin{}, byHost: map[string]*origin{},
		byDomain: map[string]map[uint64]*origin{}, index: index{},
		listed: map[string]ListedHost{}, domains: map[string][]ListedHost{},
		gone: map[string]tombstone{}, failed: map[string]failure{},
		lastSeen: map[string]time.Time{}, offsets: map[string]int64{},
	}
	c.self = newOrigin(opts.self, now)
	c.byHost[opts.self.Host] = c.self
	c.add(c.self)
	return c
}

func (c *core) add(o *origin) {
	c.origins[o.id] = o
	if c.byDomain[o.Domain] == nil {
		c.byDomain[o.Domain] = map[uint64]*origin{}
	}
	c.byDomain[o.Domain][o.id] = o
}

func (c *core) remove(o *origin) {
	for s := range o.streams {
		c.clear(o, stream(s))
	}
	delete(c.origins, o.id)
	delete(c.byDomain[o.Domain], o.id)
	if c.byHost[o.Host] == o {
		delete(c.byHost, o.Host)
	}
}

// clear drops a stream's entries and resets its sequence number.
func (c *core) clear(o *origin, s stream) {
	for _, it := range o.streams[s].byKey {
		c.index.remove(it)
	}
	o.streams[s] = streamState{}
}

// supersede drops all but the lasting entries of an incarnation that has ended.
func (c *core) supersede(o *origin) {
	o.superseded = true
	c.clear(o, streamDomain)
	c.clear(o, streamGlobal)
	c.clear(o, streamBulk)
	if len(o.streams[streamLasting].byKey) == 0 {
		c.remove(o)
	}
}

// setHosts replaces the host list. A host that left the list is gone; this host
// itself never is.
func (c *core) setHosts(list []ListedHost, now time.Time) {
	previous := c.listed
	c.listed, c.domains = map[string]ListedHost{}, map[string][]ListedHost{}
	for _, l := range list {
		c.listed[l.Host] = l
		c.domains[l.Domain] = append(c.domains[l.Domain], l)
		delete(c.gone, l.Host)
	}
	for host := range previous {
		if _, still := c.listed[host]; !still && host != c.self.Host {
			c.markGone(host, now)
		}
	}
}

func (c *core) markGone(host string, now time.Time) {
	mark := tombstone{at: now}
	if o := c.byHost[host]; o != nil {
		mark.nonce = o.Nonce
		delete(c.byHost, host)
		c.supersede(o)
	}
	c.gone[host] = mark
	delete(c.failed, host)
	delete(c.offsets, host)
}

// publish stores an entry of this host.
func (c *core) publish(e Entry, now time.Time) error {
	if e.Lasting && (e.Scope != ScopeGlobal || e.TTL <= 0) {
		return ErrLasting
	}
	if len(e.Value) > MaxValueBytes {
		return ErrTooLarge
	}
	e.Host = c.self.Host
	st := &c.self.streams[e.stream()]
	if old := st.byKey[entryKey{e.Kind, e.Key}]; old != nil && old.Version >= e.Version && !old.expired(now) {
		return ErrStale
	}
	it := &seqEntry{Entry: e, seq: st.through + 1}
	if e.TTL > 0 {
		it.expires = now.Add(e.TTL)
	}
	c.store(st, it)
	st.through = it.seq
	c.urgent = c.urgent || e.Lasting
	return nil
}

// store sets an entry in its stream and in the index, replacing the previous
// entry with the same key.
func (c *core) store(st *streamState, it *seqEntry) {
	if old := st.byKey[entryKey{it.Kind, it.Key}]; old != nil {
		c.index.remove(old)
	}
	st.set(it)
	c.index.add(it)
}

// expire drops expired entries, superseded incarnations of which no entry is
// left, and gone hosts after goneRetention.
func (c *core) expire(now time.Time) {
	for _, o := range c.origins {
		for s := range o.streams {
			for _, it := range o.streams[s].expire(now) {
				c.index.remove(it)
			}
		}
		if o.superseded && len(o.streams[streamLasting].byKey) == 0 {
			c.remove(o)
		}
	}
	for host, mark := range c.gone {
		if now.Sub(mark.at) > goneRetention {
			delete(c.gone, host)
		}
	}
}

// domainSeen records when a domain was seen. A time before the last one has no
// effect.
func (c *core) domainSeen(domain string, at time.Time) {
	if at.After(c.lastSeen[domain]) {
		c.lastSeen[domain] = at
	}
}

func hashString(s string) uint64 { return xxhash.Sum64String(s) }
