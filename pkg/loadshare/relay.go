package loadshare

import (
	"cmp"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"golang.org/x/time/rate"
)

const (
	// relayMinPeers is the number of peers from which on the reports of sends go
	// through relays. With fewer, a host sends them to each peer itself.
	relayMinPeers = 24
	// relaySendDelay is the time for which a host batches its reports for a relay,
	// relayMergeDelay the time for which a relay merges those of other hosts.
	relaySendDelay  = 30 * time.Millisecond
	relayMergeDelay = 20 * time.Millisecond
	// relayTimeout is the silence after which another relay is chosen. It covers a
	// lost heartbeat.
	relayTimeout = 2500 * time.Millisecond
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

// Stages of a relayed report.
const (
	// stageToRelay is from a host to the relay of its failure domain.
	stageToRelay = 1
	// stageAcross is from there to the relays of the other failure domains.
	stageAcross = 2
	// stageToHosts is from a relay to the hosts of its failure domain.
	stageToHosts = 3
)

// batch holds reports of one host.
type batch struct {
	_       struct{} `cbor:",toarray"`
	Host    string
	Reports []report
}

// size estimates the encoded size of a batch in bytes.
func (b batch) size() int { return batchOverheadBytes + len(b.Reports)*reportBytes }

// envelope is a datagram with relayed reports. Its encoding is an array of a length
// that no message has.
type envelope struct {
	_       struct{} `cbor:",toarray"`
	Stage   uint8
	Batches []batch
}

// envelopeHeader is the first byte of the encoding of an envelope (RFC 8949, an
// array of two elements).
const envelopeHeader = 0x82

// chooseRelay returns the name of the host that relays for a failure domain, or ""
// if there is none. Hosts with wide links come first, because a relay sends to every
// host of its domain. Hosts that hear the same members choose the same one.
//
// Load pattern: hundreds of hosts that each report every send to all others. The
// datagrams grow with the square of the hosts and the bytes between failure domains
// with their product. With relays each report crosses once to each other domain, and
// a host receives few full datagrams instead of many small ones.
func chooseRelay(members []Member) string {
	if len(members) == 0 {
		return ""
	}
	return slices.MinFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.LinkBytesPerSecond, a.LinkBytesPerSecond),
			cmp.Compare(xxhash.Sum64String(a.Host), xxhash.Sum64String(b.Host)), strings.Compare(a.Host, b.Host))
	}).Host
}

// topology says where relayed reports go.
type topology struct {
	// relayed is false if there are too few peers.
	relayed bool
	// own is the address of the relay of this host's failure domain. It is not valid
	// if this host is the relay, or if there is none.
	own     netip.AddrPort
	isRelay bool
	// domain holds the addresses of the other hosts in this host's failure domain,
	// others those of the relays of the other domains.
	domain, others []netip.AddrPort
}

func (x *Exchange) topology(now time.Time) topology {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.peers) < relayMinPeers {
		return topology{}
	}
	t := topology{relayed: true}
	members := map[string][]Member{x.opts.Domain: {{Host: x.opts.Host, Domain: x.opts.Domain, LinkBytesPerSecond: x.opts.LinkBytesPerSecond}}}
	for name, p := range x.peers {
		if p.domain == x.opts.Domain {
			t.domain = append(t.domain, p.address)
		}
		if now.Sub(p.heardAt) < x.scaled(relayTimeout) {
			members[p.domain] = append(members[p.domain], Member{Host: name, Domain: p.domain, LinkBytesPerSecond: p.linkBytesPerSecond})
		}
	}
	for domain, list := range members {
		relay := chooseRelay(list)
		switch {
		case domain != x.opts.Domain:
			t.others = append(t.others, x.peers[relay].address)
		case relay == x.opts.Host:
			t.isRelay = true
		default:
			t.own = x.peers[relay].address
		}
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
		x.sendEnvelope(envelope{Stage: stageToRelay, Batches: []batch{b}}, []netip.AddrPort{t.own})
	}
}

// sendEnvelope reports whether the link had room for it.
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
	select {
	case x.relay.wake <- struct{}{}:
	default:
	}
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
	known := e.Batches[:0]
	x.mu.Lock()
	for _, b := range e.Batches {
		if x.peers[b.Host] != nil {
			known = append(known, b)
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
