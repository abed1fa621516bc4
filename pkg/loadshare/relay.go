package loadshare

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"golang.org/x/time/rate"

	"github.com/clementineshed/clementineshed/pkg/sleep"
)

const (
	// relayMinPeers is the number of peers from which on heartbeats and the reports
	// of sends go through relays. With fewer, a host sends them to each peer itself.
	relayMinPeers = 24
	// relaysPerDomain is the number of hosts that pass on heartbeats, one of which
	// may be lost. Only the first one relays reports, which must not arrive twice.
	relaysPerDomain = 2
	// relaySendDelay is the time for which a host batches its reports for a relay,
	// relayMergeDelay the time for which a relay merges those of other hosts.
	relaySendDelay  = 30 * time.Millisecond
	relayMergeDelay = 20 * time.Millisecond
	// directTimeout is how long a relay lists a host as heard after its last
	// datagram; heartbeats are a second apart.
	directTimeout = 1700 * time.Millisecond
	// relayTimeout is the silence after which another relay is chosen, relayedLive
	// and relayedSilence take the place of liveTimeout and silenceThreshold. A relayed
	// heartbeat is up to 2.2 s old, and one of them may be lost.
	relayTimeout   = 3500 * time.Millisecond
	relayedLive    = 5 * time.Second
	relayedSilence = 3500 * time.Millisecond
	// relayLinkFraction is the part of a relay's link that relayed reports may use;
	// the rest are dropped. relayBurstTime is the time for which they may occupy the
	// link at once.
	relayLinkFraction = 0.4
	relayBurstTime    = 50 * time.Millisecond
	// envelopeOverheadBytes is the size of an envelope without its batches, and
	// batchOverheadBytes that of a batch without its reports.
	envelopeOverheadBytes = 16
	batchOverheadBytes    = 48
	// maxRelayedBatches bounds the batches that a relay merges at a time.
	maxRelayedBatches = 4096
)

// Stages of a relayed report or heartbeat.
const (
	// stageToRelay is from a host to the relay of its failure domain.
	stageToRelay = 1
	// stageAcross is from there to the relays of the other failure domains.
	stageAcross = 2
	// stageToHosts is from a relay to the hosts of its failure domain.
	stageToHosts = 3
	// stageHeard and stageHeardAcross tell which hosts a relay has heard, its own
	// domain and the relays of the others.
	stageHeard       = 4
	stageHeardAcross = 5
)

// batch holds reports of one host.
type batch struct {
	_       struct{} `cbor:",toarray"`
	Host    string
	Reports []report
}

// size estimates the encoded size of a batch in bytes.
func (b batch) size() int { return batchOverheadBytes + len(b.Reports)*reportBytes }

// envelope is a datagram with relayed reports or heartbeats. Its encoding is an array
// of a length that no message has.
type envelope struct {
	_       struct{} `cbor:",toarray"`
	Stage   uint8
	Batches []batch
	// Heard names the hosts that the sender has heard.
	Heard []string
}

// envelopeHeader is the first byte of the encoding of an envelope (RFC 8949, an
// array of three elements).
const envelopeHeader = 0x83

// SortByLink sorts hosts by the width of their links, widest first. Among equal ones
// the order is that of a hash of their names, the same on every host.
func SortByLink(members []Member) {
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.LinkBytesPerSecond, a.LinkBytesPerSecond),
			cmp.Compare(xxhash.Sum64String(a.Host), xxhash.Sum64String(b.Host)), strings.Compare(a.Host, b.Host))
	})
}

// chooseRelays returns the names of the hosts that relay for a failure domain, most
// preferred first. It sorts members. Hosts with wide links come first, because a relay
// sends to every host of its domain. Hosts that hear the same members choose the same
// ones.
//
// Load pattern: hundreds of hosts, each of which tells all others of every send and
// that it lives. The datagrams grow with the square of the hosts, and the bytes between
// failure domains with the product of hosts and requests. With relays each report
// crosses once to each other domain, and a host receives few full datagrams instead of
// many small ones.
func chooseRelays(members []Member) []string {
	SortByLink(members)
	var names []string
	for _, m := range members[:min(len(members), relaysPerDomain)] {
		names = append(names, m.Host)
	}
	return names
}

// topology says where relayed reports and heartbeats go.
type topology struct {
	// relayed is false if there are too few peers.
	relayed bool
	// own holds the addresses of the relays of this host's failure domain, without
	// this host itself.
	own []netip.AddrPort
	// isRelay is set if this host relays the reports of its domain, passesHeartbeats
	// if it is one of those that pass on heartbeats.
	isRelay, passesHeartbeats bool
	// domain holds the addresses of the other hosts in this host's failure domain.
	domain []netip.AddrPort
	// others holds the addresses of the relays of reports in the other domains.
	// othersHeartbeats holds, for each other domain, the relay with the same rank as
	// this host, so that a heartbeat takes two ways. For a domain of which no host is
	// heard it holds random hosts: its relays may have been lost together.
	others, othersHeartbeats []netip.AddrPort
}

// relayed reports whether there are so many peers that relays are used. It must be
// called with mu held.
func (x *Exchange) relayed() bool { return len(x.peers) >= relayMinPeers }

// topology computes the topology from the hosts that were heard up to now.
func (x *Exchange) topology(now time.Time) topology {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.relayed() {
		return topology{}
	}
	t := topology{relayed: true}
	members := map[string][]Member{x.opts.Domain: {{Host: x.opts.Host, Domain: x.opts.Domain, LinkBytesPerSecond: x.opts.LinkBytesPerSecond}}}
	silent := map[string][]netip.AddrPort{}
	for name, p := range x.peers {
		if p.domain == x.opts.Domain {
			t.domain = append(t.domain, p.address)
		} else {
			silent[p.domain] = append(silent[p.domain], p.address)
		}
		if now.Sub(p.heardAt) < relayTimeout {
			members[p.domain] = append(members[p.domain], Member{Host: name, Domain: p.domain, LinkBytesPerSecond: p.linkBytesPerSecond})
		}
	}
	rank := 0
	for i, relay := range chooseRelays(members[x.opts.Domain]) {
		if relay == x.opts.Host {
			rank, t.isRelay, t.passesHeartbeats = i, i == 0, true
			continue
		}
		t.own = append(t.own, x.peers[relay].address)
	}
	delete(members, x.opts.Domain)
	for domain, list := range members {
		delete(silent, domain)
		relays := chooseRelays(list)
		t.others = append(t.others, x.peers[relays[0]].address)
		t.othersHeartbeats = append(t.othersHeartbeats, x.peers[relays[min(rank, len(relays)-1)]].address)
	}
	for _, addresses := range silent {
		rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
		t.othersHeartbeats = append(t.othersHeartbeats, addresses[:min(len(addresses), relaysPerDomain)]...)
	}
	return t
}

// relayState is what a relay has received and not passed on.
type relayState struct {
	limiter *rate.Limiter
	// fromDomain holds batches of hosts of this host's domain, fromOthers those of
	// other domains. They are guarded by Exchange.mu.
	fromDomain, fromOthers []batch
	// wake starts the next pass.
	wake chan struct{}
}

func newRelayState(linkBytesPerSecond float64) *relayState {
	s := &relayState{limiter: rate.NewLimiter(rate.Inf, 0), wake: make(chan struct{}, 1)}
	if linkBytesPerSecond > 0 {
		s.limiter = rate.NewLimiter(rate.Limit(linkBytesPerSecond*relayLinkFraction), int(max(linkBytesPerSecond*relayBurstTime.Seconds(), 64*maxDatagramBytes)))
	}
	return s
}

// runSends sends the reports of sends until ctx ends.
func (x *Exchange) runSends(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-x.sendWake:
		}
		t := x.topology(time.Now())
		if !t.relayed {
			// So many peers have left since that there are no relays any more.
			x.mu.Lock()
			x.queue = append(x.queue, x.sends...)
			x.sends = nil
			x.mu.Unlock()
			x.SendSoon()
			continue
		}
		sleep.For(ctx, relaySendDelay)
		x.mu.Lock()
		reports := x.sends
		x.sends = nil
		x.mu.Unlock()
		x.sendViaRelay(reports, t)
	}
}

// runRelay passes on the reports and heartbeats of other hosts until ctx ends.
func (x *Exchange) runRelay(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			x.passOnHeartbeats(now)
			continue
		case <-x.relay.wake:
		}
		sleep.For(ctx, relayMergeDelay)
		x.passOn()
	}
}

// sendViaRelay sends this host's reports to its relay, or keeps them to be merged if
// this host is the relay.
func (x *Exchange) sendViaRelay(reports []report, t topology) {
	perBatch := (maxDatagramBytes - envelopeOverheadBytes - batchOverheadBytes) / reportBytes
	for part := range slices.Chunk(reports, perBatch) {
		b := batch{Host: x.opts.Host, Reports: part}
		if t.isRelay {
			x.keep([]batch{b}, stageToRelay)
			continue
		}
		x.sendEnvelope(envelope{Stage: stageToRelay, Batches: []batch{b}}, t.own[:min(len(t.own), 1)])
	}
}

// heartbeatAddresses returns where heartbeats of this host go. Leaders send them to
// every host, because the others need their progress at once.
func (x *Exchange) heartbeatAddresses() []netip.AddrPort {
	if !x.opts.Leads() {
		if t := x.topology(time.Now()); t.relayed {
			return t.own
		}
	}
	return x.addresses()
}

// passOnHeartbeats tells the hosts of this domain, and the relays of the others, which
// hosts of this domain this host has heard. It does nothing on a host that does not
// relay.
func (x *Exchange) passOnHeartbeats(now time.Time) {
	t := x.topology(now)
	if !t.passesHeartbeats {
		return
	}
	heard := []string{x.opts.Host}
	x.mu.Lock()
	for name, p := range x.peers {
		if p.domain == x.opts.Domain && now.Sub(p.directAt) < directTimeout {
			heard = append(heard, name)
		}
	}
	x.mu.Unlock()
	x.sendHeard(stageHeard, heard, t.domain)
	x.sendHeard(stageHeardAcross, heard, t.othersHeartbeats)
}

// sendHeard sends the names of hosts that were heard. It does not share the limit of
// reports: hosts would count as lost whenever a relay has many reports.
func (x *Exchange) sendHeard(stage uint8, hosts []string, addresses []netip.AddrPort) {
	data, err := cbor.Marshal(envelope{Stage: stage, Heard: hosts})
	if err != nil {
		x.opts.Log.WithError(err).Error("heartbeat_not_encoded")
		return
	}
	x.send(data, addresses)
}

// applyHeard marks the hosts of a list as heard. A relay passes a list of another
// domain on to its own.
func (x *Exchange) applyHeard(e envelope) {
	x.mu.Lock()
	now := time.Now()
	for _, name := range e.Heard {
		if p := x.peers[name]; p != nil {
			x.markHeard(p, now)
		}
	}
	x.mu.Unlock()
	if e.Stage == stageHeardAcross {
		x.sendHeard(stageHeard, e.Heard, x.topology(now).domain)
	}
}

// markHeard records that a peer lives. It must be called with mu held.
func (x *Exchange) markHeard(p *peer, now time.Time) {
	if now.Sub(p.heardAt) > x.silence() {
		p.returnedAt = now
	}
	p.heardAt = now
	if now.Sub(p.shownAt) > shownGap {
		p.shownSince = now
	}
	p.shownAt = now
}

// live returns the silence up to which a peer counts as live. It must be called with
// mu held.
func (x *Exchange) live() time.Duration {
	if x.relayed() {
		return relayedLive
	}
	return liveTimeout
}

// silence returns the silence after which a peer may have been cut off. It must be
// called with mu held.
func (x *Exchange) silence() time.Duration {
	if x.relayed() {
		return relayedSilence
	}
	return silenceThreshold
}

// sendEnvelope sends relayed reports and reports whether the link had room for them.
func (x *Exchange) sendEnvelope(e envelope, addresses []netip.AddrPort) bool {
	if len(addresses) == 0 {
		return true
	}
	data, err := cbor.Marshal(e)
	if err != nil {
		x.opts.Log.WithError(err).Error("load_report_not_encoded")
		return true
	}
	if !x.relay.limiter.AllowN(time.Now(), (len(data)+packetOverheadBytes)*len(addresses)) {
		return false
	}
	x.send(data, addresses)
	return true
}

// keep stores batches that this host, as a relay, passes on with the next pass. It
// drops them if too many are waiting.
func (x *Exchange) keep(batches []batch, stage uint8) {
	x.mu.Lock()
	if stage == stageToRelay && len(x.relay.fromDomain) < maxRelayedBatches {
		x.relay.fromDomain = append(x.relay.fromDomain, batches...)
	}
	if stage == stageAcross && len(x.relay.fromOthers) < maxRelayedBatches {
		x.relay.fromOthers = append(x.relay.fromOthers, batches...)
	}
	x.mu.Unlock()
	notify(x.relay.wake)
}

// passOn sends the kept batches: those of this domain to its hosts and to the other
// relays, those of other domains to the hosts of this domain.
func (x *Exchange) passOn() {
	x.mu.Lock()
	fromDomain, fromOthers := x.relay.fromDomain, x.relay.fromOthers
	x.relay.fromDomain, x.relay.fromOthers = nil, nil
	x.mu.Unlock()
	t := x.topology(time.Now())
	dropped := 0
	for _, e := range pack(stageToHosts, append(slices.Clone(fromDomain), fromOthers...)) {
		if !x.sendEnvelope(e, t.domain) {
			dropped++
		}
	}
	for _, e := range pack(stageAcross, fromDomain) {
		if !x.sendEnvelope(e, t.others) {
			dropped++
		}
	}
	if dropped > 0 {
		x.opts.Log.WithField("datagrams", dropped).Info("load_reports_not_relayed")
	}
}

// pack divides batches into envelopes that fit into a datagram each.
func pack(stage uint8, batches []batch) []envelope {
	var out []envelope
	size := 0
	for _, b := range batches {
		if len(out) == 0 || size+b.size() > maxDatagramBytes {
			out = append(out, envelope{Stage: stage})
			size = envelopeOverheadBytes
		}
		last := &out[len(out)-1]
		last.Batches = append(last.Batches, b)
		size += b.size()
	}
	return out
}

// applyEnvelope applies relayed reports and keeps those that this host passes on.
// It ignores batches of unknown hosts.
func (x *Exchange) applyEnvelope(e envelope) {
	if e.Stage == stageHeard || e.Stage == stageHeardAcross {
		x.applyHeard(e)
		return
	}
	known := e.Batches[:0]
	x.mu.Lock()
	now := time.Now()
	for _, b := range e.Batches {
		p := x.peers[b.Host]
		if p == nil {
			continue
		}
		known = append(known, b)
		if e.Stage == stageToRelay {
			p.directAt = now
			x.markHeard(p, now)
		}
	}
	x.mu.Unlock()
	for _, b := range known {
		x.applyReports(b.Host, b.Reports)
	}
	if (e.Stage == stageToRelay || e.Stage == stageAcross) && len(known) > 0 {
		x.keep(known, e.Stage)
	}
}
