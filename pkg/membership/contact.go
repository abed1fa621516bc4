package membership

import (
	"math/bits"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// SummaryKind is the kind of the entries in which a domain reports the liveness
// of its hosts to other domains. The key is the domain.
const SummaryKind = "membership/summary"

const (
	// summaryTicks is the number of ticks between two summaries.
	summaryTicks = 10
	// summaryTTL ends a summary whose publisher is no longer chosen.
	summaryTTL = 60 * time.Second
	// summaryPublishers is the number of hosts of a domain that publish its
	// summary, so that one of them may fail.
	summaryPublishers = 2
	// maxSuspectsListed bounds the size of a summary.
	maxSuspectsListed = 16
)

// Summary is the value of a SummaryKind entry.
type Summary struct {
	_ struct{} `cbor:",toarray"`
	// Alive is the number of alive hosts.
	Alive int
	// Suspected lists the first maxSuspectsListed suspected hosts by name.
	Suspected []string
}

// tick advances the own heartbeat and returns the hosts to contact now.
func (c *core) tick(now time.Time) []string {
	c.ticks++
	c.burstTokens = min(c.burstTokens+1, maxBurstTokens)
	c.self.heartbeat++
	c.self.advanced = now
	if c.ticks%expireTicks == 0 {
		c.expire(now)
	}
	if c.ticks%summaryTicks == 0 {
		c.publishSummary(now)
	}
	var out []string
	if partners := c.domainPartners(now); len(partners) > 0 {
		out = append(out, partners[c.opts.rand.IntN(len(partners))])
	}
	if len(out) == 0 || c.opts.rand.Float64() < crossProbability {
		if partner, ok := c.crossPartner(now); ok {
			out = append(out, partner)
		}
	}
	return out
}

// burst returns the hosts to contact immediately because a new lasting entry is
// waiting, or none if no burst token is left.
func (c *core) burst(now time.Time) []string {
	if !c.urgent || c.burstTokens == 0 {
		return nil
	}
	c.urgent = false
	c.burstTokens--
	out := c.domainPartners(now)
	c.opts.rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	out = out[:min(burstDomainHosts, len(out))]
	for range burstCrossHosts {
		if partner, ok := c.crossPartner(now); ok {
			out = append(out, partner)
		}
	}
	return out
}

// domainHosts returns the other hosts of the own domain.
func (c *core) domainHosts() []string {
	var out []string
	for _, l := range c.domains[c.self.Domain] {
		if l.Host != c.self.Host {
			out = append(out, l.Host)
		}
	}
	return out
}

// domainPartners returns this host's partners in its own domain. Hosts whose
// contact failed recently are chosen only if there are too few others.
func (c *core) domainPartners(now time.Time) []string {
	hosts := c.domainHosts()
	sortByScore(hosts, c.partnerSalt(now))
	slices.SortStableFunc(hosts, func(a, b string) int {
		return boolToInt(c.failedRecently(a, now)) - boolToInt(c.failedRecently(b, now))
	})
	return hosts[:min(maxDomainPartners, len(hosts))]
}

func (c *core) failedRecently(host string, now time.Time) bool {
	return now.Sub(c.failed[host].at) < contactRetryDelay
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// partnerSalt returns the salt of the rendezvous hashing. It changes every
// partnerEpoch, at a time that differs per host.
func (c *core) partnerSalt(now time.Time) uint64 {
	self := hashString(c.self.Host)
	offset := int64(self % uint64(partnerEpoch))
	return mix(self, uint64((now.UnixNano()+offset)/int64(partnerEpoch)))
}

// crossPartner picks a host in one of this host's partner domains. It returns
// false if there is no other domain.
func (c *core) crossPartner(now time.Time) (string, bool) {
	salt := c.partnerSalt(now)
	var domains []string
	for d := range c.domains {
		if d != c.self.Domain {
			domains = append(domains, d)
		}
	}
	if len(domains) == 0 {
		return "", false
	}
	sortByScore(domains, salt)
	domain := domains[c.opts.rand.IntN(min(maxPartnerDomains, len(domains)))]
	var hosts []string
	for _, l := range c.domains[domain] {
		hosts = append(hosts, l.Host)
	}
	sortByScore(hosts, salt)
	for _, h := range hosts {
		if !c.failedRecently(h, now) {
			return h, true
		}
	}
	return hosts[c.opts.rand.IntN(len(hosts))], true
}

// sortByScore orders names by their rendezvous score under the salt.
func sortByScore(names []string, salt uint64) {
	slices.SortFunc(names, func(a, b string) int {
		x, y := mix(hashString(a), salt), mix(hashString(b), salt)
		switch {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
}

// contactFailed records that a host did not answer, and its heartbeat then.
func (c *core) contactFailed(host string, now time.Time) {
	f := failure{at: now}
	if o := c.byHost[host]; o != nil {
		f.heartbeat = o.heartbeat
	}
	c.failed[host] = f
}

// state returns the liveness of a host as this host sees it.
func (c *core) state(host, domain string, now time.Time) State {
	switch {
	case host == c.self.Host:
		return StateAlive
	case domain == c.self.Domain:
		return c.domainHostState(host, now)
	}
	return c.crossHostState(host, domain, now)
}

// domainHostState suspects a host of the own domain if its heartbeat is unknown
// or too old, or has not advanced since the last failed contact.
func (c *core) domainHostState(host string, now time.Time) State {
	o := c.byHost[host]
	if o == nil || o.heartbeat == 0 || now.Sub(o.advanced) > c.suspectAfter() {
		return StateSuspected
	}
	if f, ok := c.failed[host]; ok && o.heartbeat <= f.heartbeat {
		return StateSuspected
	}
	return StateAlive
}

// crossHostState suspects a host of another domain if a contact with it failed
// recently, if its domain was not seen lately, or if the domain's summary lists
// it as suspected.
func (c *core) crossHostState(host, domain string, now time.Time) State {
	if f, ok := c.failed[host]; ok && now.Sub(f.at) < contactRetryDelay {
		return StateSuspected
	}
	if at, ok := c.lastSeen[domain]; !ok || now.Sub(at) > domainSuspectAfter {
		return StateSuspected
	}
	if s, ok := c.summary(domain, now); ok && slices.Contains(s.Suspected, host) {
		return StateSuspected
	}
	return StateAlive
}

// suspectAfter returns the heartbeat age above which a host of the own domain is
// suspected.
func (c *core) suspectAfter() time.Duration {
	return suspectBase + time.Duration(bits.Len(uint(len(c.domains[c.self.Domain]))))*Interval
}

// summary returns a domain's summary in force, or false if there is none that
// can be decoded.
func (c *core) summary(domain string, now time.Time) (Summary, bool) {
	var s Summary
	e, ok := c.index.get(SummaryKind, domain, now)
	return s, ok && cbor.Unmarshal(e.Value, &s) == nil
}

// publishSummary publishes the own domain's summary if this host is among the
// domain's first summaryPublishers alive hosts by name.
func (c *core) publishSummary(now time.Time) {
	var alive, suspected []string
	for _, l := range c.domains[c.self.Domain] {
		if c.state(l.Host, l.Domain, now) == StateAlive {
			alive = append(alive, l.Host)
		} else {
			suspected = append(suspected, l.Host)
		}
	}
	slices.Sort(alive)
	slices.Sort(suspected)
	if !slices.Contains(alive[:min(summaryPublishers, len(alive))], c.self.Host) {
		return
	}
	s := Summary{Alive: len(alive), Suspected: suspected[:min(maxSuspectsListed, len(suspected))]}
	value, err := cbor.Marshal(s)
	if err != nil {
		return
	}
	// The version is the wall clock time, so the newest summary of all
	// publishers is in force. After the clock is set back, publishing fails
	// with ErrStale until the TTL of the last summary ends.
	_ = c.publish(Entry{Kind: SummaryKind, Key: c.self.Domain, Scope: ScopeGlobal, Version: uint64(now.UnixMilli()), Value: value, TTL: summaryTTL}, now)
}

// hosts returns the listed hosts by name, then the hosts that are gone.
func (c *core) hosts(now time.Time) []Host {
	var out []Host
	for _, l := range c.listed {
		h := Host{ListedHost: l, State: c.state(l.Host, l.Domain, now), ConfigOffset: c.offsets[l.Host]}
		if o := c.byHost[l.Host]; o != nil {
			h.Incarnation, h.LastSeen = o.Incarnation, o.advanced
		}
		out = append(out, h)
	}
	for host := range c.gone {
		out = append(out, Host{ListedHost: ListedHost{Host: host}, State: StateGone})
	}
	slices.SortFunc(out, func(a, b Host) int {
		if (a.State == StateGone) != (b.State == StateGone) {
			if a.State == StateGone {
				return 1
			}
			return -1
		}
		return compareStrings(a.ListedHost.Host, b.ListedHost.Host)
	})
	return out
}

func compareStrings(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
