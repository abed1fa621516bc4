// Package loadshare exchanges load reports between entry hosts: what each of
// them sends to engines, so that hosts which decide at the same time do not
// choose the same engine, and what each has read from the store, so that a few
// hosts can read it for all.
//
// State: the peers' addresses and when each was last heard. Reports travel as
// datagrams. A lost report only makes the receiver's view of the engines less
// accurate; nothing that is billed, ordered or promised depends on reports.
// Few hosts send them to each other directly, batched for a time that grows with
// the number of peers. Among many hosts a relay in each failure domain merges and
// passes on the reports of sends, see relay.go. Pages of the store are sent
// at once, as long as they leave the host's link free for callers. A host that
// misses a page reads it from the store.
//
// Datagrams are used instead of QUIC streams because a late report is
// worthless, and because the platform provides no keys for links between hosts.
package loadshare

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/keyedlog"
	"github.com/clementineshed/clementineshed/pkg/outlier"
	"github.com/clementineshed/clementineshed/pkg/pace"
	"github.com/clementineshed/clementineshed/pkg/placement"
	"github.com/clementineshed/clementineshed/pkg/quarantine"
	"github.com/clementineshed/clementineshed/pkg/sleep"
	"github.com/clementineshed/clementineshed/pkg/usage"
)

const (
	// batchDelayUnit times the square of the number of peers is the time for
	// which reports are batched. Two hosts that decide within it may choose the
	// same engine. With 8 peers it is shorter than the latency to a peer. With
	// 80 peers it limits a host to 1,000 received datagrams a second.
	batchDelayUnit = 12 * time.Microsecond
	// readErrorDelay is the wait after a failed read.
	readErrorDelay = 10 * time.Millisecond
	// heartbeatInterval is the longest time between two datagrams to a peer, or to
	// the relays among many hosts. A peer that has not been heard for liveTimeout does
	// not count as live.
	heartbeatInterval = time.Second
	liveTimeout       = 3500 * time.Millisecond
	// silenceThreshold is the time without a datagram after which a peer may
	// have been cut off. handoverTime is how long such a peer takes, once it is
	// heard again, to forward the usage counts that it has kept. awaitTimeout
	// is the silence after which its counts are no longer awaited.
	silenceThreshold = 1500 * time.Millisecond
	handoverTime     = 2 * time.Second
	awaitTimeout     = 12 * time.Second
	// shownGap is the silence after which a peer may have been cut off for longer than a
	// lost heartbeat takes.
	shownGap = 2500 * time.Millisecond
	// maxDatagramBytes keeps a datagram within one network packet.
	maxDatagramBytes = 1300
	// reportBytes is the usual encoded size of a report. It sets the number of
	// reports in a datagram.
	reportBytes = 110
	// maxPageBytes bounds the records of one datagram; the rest is left for the
	// other fields. Each record counts with recordOverheadBytes for its offset
	// and the names of its fields.
	maxPageBytes        = maxDatagramBytes - 200
	recordOverheadBytes = 50
	// maxQueuedReports bounds the queue of reports. Further ones are discarded.
	maxQueuedReports = 512
	// pageLinkFraction is the part of the host's link that pages may use.
	// pageBurstTime is the time for which they may occupy the link at once, and
	// so how long requests wait behind them. Each host gets its own copy of a
	// page: on a link of 10 Mbit/s, a page of 200 announcements for 80 hosts
	// takes five seconds.
	pageLinkFraction = 0.2
	pageBurstTime    = 200 * time.Millisecond
	// packetOverheadBytes is the size of the network headers of a datagram.
	packetOverheadBytes = 28
)

// message is the content of a datagram.
type message struct {
	_       struct{} `cbor:",toarray"`
	Host    string
	Reports []report
	Flushes []usage.Flush
	// Followed holds the sender's progress in the topics that it follows, if
	// the store has answered it recently. Its offsets and those of Pages belong to
	// the era of the store that Followed states under EraTopic.
	Followed map[string]Progress
	Pages    []sharedPage
}

// EraTopic is the name of a topic that does not exist. The Next of its Progress is the
// era of the store to which the offsets of a message belong, see logservice.Eras. A message
// has a fixed number of fields, so that a new field could not be read by earlier versions;
// they ignore unknown topics.
const EraTopic = "era/"

// Progress is how far a host has followed a topic: Next is the offset of the
// next record, AgeMillis the time since the store last answered the host.
type Progress struct {
	_         struct{} `cbor:",toarray"`
	Next      int64
	AgeMillis int64
}

// sharedPage holds the records of a topic from offset From up to Next, which is
// excluded.
type sharedPage struct {
	_          struct{} `cbor:",toarray"`
	Topic      string
	From, Next int64
	Records    []keyedlog.Record
}

// Options configure an Exchange. All functions must be set. Those that start
// with On are called by one goroutine, in the order of arrival.
type Options struct {
	// Host is this host's name, Domain its failure domain.
	Host, Domain string
	// Conn sends and receives the datagrams. The caller of Run closes it.
	Conn net.PacketConn
	// LinkBytesPerSecond is the rate of this host's link; zero if it is not known.
	LinkBytesPerSecond float64
	// OnSend receives the sends of other hosts to engines and plain endpoints.
	OnSend func(service string, sent placement.SendReport)
	// OnDecoded receives the durations of streams of other hosts.
	OnDecoded func(service string, sample placement.DecodeSample)
	// OnPrefilled receives the times of prefills that other hosts have measured.
	OnPrefilled func(service string, sample placement.PrefillSample)
	// OnCached receives parts that an engine holds.
	OnCached func(service, engine string, parts []placement.Part)
	// OnPace receives what another host has learned of a limited endpoint, with the
	// endpoint's start time in Unix milliseconds.
	OnPace func(p pace.Report, startedMillis int64)
	// OnTeamWork receives the work of a team that another host has sent to engines, in
	// milliseconds.
	OnTeamWork func(service, team string, ms float64)
	// OnBlock receives an engine that takes no work for the time d.
	OnBlock func(service, engine string, d time.Duration)
	// OnEject receives an endpoint that another host has ejected, or has found to be
	// gone, by a failure of the kind.
	OnEject func(endpoint, host string, kind outlier.FailureKind)
	// OnCrash receives the requests that ran at a crash of an endpoint, OnRefuted the
	// features of requests that have completed.
	OnCrash   func(quarantine.Evidence)
	OnRefuted func([]quarantine.Feature)
	// OnLeaving receives an endpoint, with its start time in Unix milliseconds, that
	// has told another host that it leaves.
	OnLeaving func(endpoint, host string, startedMillis int64)
	// ReadProgress returns this host's progress in the topics for which the
	// store answers. OnProgress receives that of another host, OnPage a page
	// that another host has read from an offset on.
	ReadProgress func() map[string]Progress
	OnProgress   func(map[string]Progress)
	OnPage       func(topic string, from int64, page keyedlog.Page)
	// OnUsage receives usage counts that another host has forwarded.
	OnUsage func([]usage.Flush)
	// OnQuota receives a datagram about quotas. reply sends one to its sender, and may be
	// called later.
	OnQuota func(data []byte, reply func([]byte))
	// Leads reports whether this host reads the store for the others, which need
	// its progress often.
	Leads func() bool
	Log   log.Interface
}

// Exchange sends this host's reports to its peers and applies theirs. It is
// safe for concurrent use.
type Exchange struct {
	opts Options
	// wake starts the next batch of reports.
	wake chan struct{}
	// sendWake starts the next batch of reports of sends.
	sendWake chan struct{}
	// pageLimiter limits the bytes of published pages.
	pageLimiter *rate.Limiter
	// relay is used while this host relays for its failure domain.
	relay *relayState

	mu sync.Mutex
	// The fields below are guarded by mu. queue holds reports that go to every peer
	// directly, sends those that may go through a relay.
	queue []report
	sends []report
	peers map[string]*peer
}

// Member is a host that takes part in the exchange.
type Member struct {
	Host, Domain string
	// LinkBytesPerSecond is the rate of the host's link; zero if it is not known.
	LinkBytesPerSecond float64
}

type peer struct {
	address            netip.AddrPort
	domain             string
	linkBytesPerSecond float64
	// heardAt is when the peer was last heard, itself or by a relay, directAt when a
	// datagram of its own last arrived, returnedAt when it was first heard after its
	// last silence.
	heardAt, directAt, returnedAt time.Time
	// shownAt is when a datagram last showed that the peer lives, itself or by a relay,
	// shownSince when the first one after a silence of shownGap did.
	shownAt, shownSince time.Time
}

// New returns an exchange that Run starts.
func New(opts Options) *Exchange {
	x := &Exchange{opts: opts, wake: make(chan struct{}, 1), sendWake: make(chan struct{}, 1), pageLimiter: rate.NewLimiter(rate.Inf, 0), relay: newRelayState(opts.LinkBytesPerSecond), peers: map[string]*peer{}}
	if link := opts.LinkBytesPerSecond; link > 0 {
		x.pageLimiter = rate.NewLimiter(rate.Limit(link*pageLinkFraction), int(link*pageBurstTime.Seconds()))
	}
	return x
}

// SetPeer sets the address, as IP:port, and the link rate of a host. It ignores
// this host itself. A new or changed peer counts as heard now.
func (x *Exchange) SetPeer(m Member, address string) error {
	if m.Host == x.opts.Host {
		return nil
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.Wrapf(err, "parse address of host %s", m.Host)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if p := x.peers[m.Host]; p != nil && p.address == parsed && p.domain == m.Domain && p.linkBytesPerSecond == m.LinkBytesPerSecond {
		return nil
	}
	x.peers[m.Host] = &peer{address: parsed, domain: m.Domain, linkBytesPerSecond: m.LinkBytesPerSecond, heardAt: time.Now()}
	return nil
}

// RemovePeer removes a host from the peers.
func (x *Exchange) RemovePeer(host string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.peers, host)
}

// LiveHosts returns the number of hosts that were heard recently, including
// this one.
func (x *Exchange) LiveHosts() int { return len(x.Live()) }

// KnownHosts returns the number of hosts that have announced themselves and not
// withdrawn, live or not, including this one.
func (x *Exchange) KnownHosts() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return 1 + len(x.peers)
}

// ReportSend queues the report of a send to an engine or a plain endpoint.
func (x *Exchange) ReportSend(service string, sent placement.SendReport) {
	r := report{Service: service, Engine: sent.EngineID, Phase: phasePrefill, WorkMicros: sent.WorkMicros}
	switch sent.Role {
	case endpoint.RoleDecode:
		r.Phase = phaseDecode
	case "":
		r.Phase = phasePlain
		r.setAnswers(sent.Answers)
	}
	r.setParts(sent.Parts)
	x.enqueueSend(r)
}

// ReportDecode queues the report of a complete stream.
func (x *Exchange) ReportDecode(service string, sample placement.DecodeSample) {
	x.enqueueSend(decodedReport(service, sample))
}

// ReportCached queues the report that an engine holds parts. It returns false if too
// many reports are queued; the caller may try again later.
func (x *Exchange) ReportCached(service, engine string, parts []placement.Part) bool {
	r := report{Service: service, Engine: engine, Phase: phaseCached}
	r.setParts(parts)
	return x.enqueueSend(r)
}

// ReportPace queues what this host has learned of a limited endpoint, which started at
// startedMillis.
func (x *Exchange) ReportPace(p pace.Report, startedMillis int64) {
	x.enqueueSend(paceReport(p, startedMillis))
}

// ReportPrefill queues the time of a prefill at an idle engine.
func (x *Exchange) ReportPrefill(service string, s placement.PrefillSample) {
	x.enqueueSend(report{Service: service, Phase: phasePrefilled, Parts: []uint64{uint64(s.Tokens), uint64(s.Took.Microseconds())}})
}

// ReportTeamWork queues the work of a team that this host has sent to engines, in
// milliseconds.
func (x *Exchange) ReportTeamWork(service, team string, ms float64) {
	x.enqueueSend(teamReport(service, team, ms))
}

// enqueueSend queues a report that goes through a relay if there is one. It returns
// false if too many are queued.
func (x *Exchange) enqueueSend(r report) bool {
	x.mu.Lock()
	queue, wake := &x.queue, x.wake
	if x.relayed() {
		queue, wake = &x.sends, x.sendWake
	}
	queued := len(*queue) < maxQueuedReports
	if queued {
		*queue = append(*queue, r)
	}
	x.mu.Unlock()
	notify(wake)
	return queued
}

// ReportBlock queues the report that an engine takes no work for the time d.
func (x *Exchange) ReportBlock(service, engine string, d time.Duration) {
	x.enqueue(report{Service: service, Engine: engine, Phase: phaseBlocked, WorkMicros: d.Microseconds()})
}

// ReportEjection queues the report that this host has ejected an endpoint, or has found
// an ejected one to be gone, by a failure of the kind.
func (x *Exchange) ReportEjection(service, endpoint string, kind outlier.FailureKind) {
	r := report{Service: service, Engine: endpoint, Phase: phaseEjected, Parts: []uint64{uint64(kind)}, Sizes: []int{0}}
	if kind == outlier.Unreachable || kind == outlier.Refused {
		r.Phase = phaseEjectedUnreachable
	}
	x.enqueue(r)
}

// ReportLeaving queues the report that an endpoint, which started at startedMillis,
// has told this host that it leaves.
func (x *Exchange) ReportLeaving(endpoint string, startedMillis int64) {
	x.enqueue(report{Engine: endpoint, Phase: phaseLeaving, Parts: []uint64{uint64(startedMillis)}, Sizes: []int{0}})
}

func (x *Exchange) enqueue(r report) {
	x.mu.Lock()
	if len(x.queue) < maxQueuedReports {
		x.queue = append(x.queue, r)
	}
	x.mu.Unlock()
	x.SendSoon()
}

// Publish sends a page of a topic, which was read from an offset on, to all
// peers at once. It stops at the first part for which the link has no room; the
// peers then learn from the progress report that they lack records and read them
// from the store. This occurs when many endpoints come or go at once and the
// host has a narrow link.
func (x *Exchange) Publish(topic string, from int64, page keyedlog.Page) {
	addresses := x.addresses()
	parts := splitPage(topic, from, page)
	for i, part := range parts {
		data, err := cbor.Marshal(message{Host: x.opts.Host, Followed: x.progressIn(page.Era), Pages: []sharedPage{part}})
		if err != nil {
			x.opts.Log.WithError(err).Error("page_not_encoded")
			return
		}
		if !x.pageLimiter.AllowN(time.Now(), (len(data)+packetOverheadBytes)*len(addresses)) {
			x.opts.Log.WithFields(log.Fields{"topic": topic, "from": part.From, "next": page.Next, "parts_sent": i, "parts": len(parts), "hosts": len(addresses)}).Info("page_not_shared")
			x.SendSoon()
			return
		}
		x.send(data, addresses)
	}
}

// progressIn returns this host's progress if it is in an era of the store, and the era
// alone otherwise.
func (x *Exchange) progressIn(era int64) map[string]Progress {
	followed := x.opts.ReadProgress()
	if followed[EraTopic].Next == era {
		return followed
	}
	return map[string]Progress{EraTopic: {Next: era}}
}

// splitPage divides a page into consecutive parts that fit into a datagram
// each. A record that is larger than a datagram becomes a part of its own.
func splitPage(topic string, from int64, page keyedlog.Page) []sharedPage {
	var parts []sharedPage
	part, size := sharedPage{Topic: topic, From: from}, 0
	for _, r := range page.Records {
		bytes := len(r.Key) + len(r.Value) + recordOverheadBytes
		if size > 0 && size+bytes > maxPageBytes {
			part.Next = r.Offset
			parts = append(parts, part)
			part, size = sharedPage{Topic: topic, From: r.Offset}, 0
		}
		part.Records = append(part.Records, r)
		size += bytes
	}
	part.Next = page.Next
	return append(parts, part)
}

// SendSoon wakes Run, which sends the queued reports and this host's progress
// after the batch delay.
func (x *Exchange) SendSoon() {
	notify(x.wake)
}

// notify wakes the receiver of a channel with a buffer of one.
func notify(wake chan<- struct{}) {
	select {
	case wake <- struct{}{}:
	default:
	}
}

// send treats a failed send as a lost datagram.
func (x *Exchange) send(data []byte, addresses []netip.AddrPort) {
	for _, address := range addresses {
		_, _ = x.opts.Conn.WriteTo(data, net.UDPAddrFromAddrPort(address))
	}
}

// addresses returns the addresses of all peers, live or not.
func (x *Exchange) addresses() []netip.AddrPort {
	x.mu.Lock()
	defer x.mu.Unlock()
	addresses := make([]netip.AddrPort, 0, len(x.peers))
	for _, p := range x.peers {
		addresses = append(addresses, p.address)
	}
	return addresses
}

// ForwardUsage sends usage counts to the first n live hosts among the named
// ones. It fails if none of them is live or a datagram cannot be sent; some
// counts may have been sent by then.
func (x *Exchange) ForwardUsage(hosts []string, n int, flushes []usage.Flush) error {
	addresses := x.liveAddresses(hosts, n)
	if len(addresses) == 0 {
		return errors.New("forward usage counts: no candidate host is live")
	}
	for _, f := range flushes {
		data, err := cbor.Marshal(message{Host: x.opts.Host, Flushes: []usage.Flush{f}})
		if err != nil {
			return errors.Wrap(err, "encode usage counts")
		}
		for _, address := range addresses {
			if _, err := x.opts.Conn.WriteTo(data, net.UDPAddrFromAddrPort(address)); err != nil {
				return errors.Wrapf(err, "forward usage counts to %s", address)
			}
		}
	}
	return nil
}

// liveAddresses returns the addresses of the first n hosts that are live.
func (x *Exchange) liveAddresses(hosts []string, n int) []netip.AddrPort {
	x.mu.Lock()
	defer x.mu.Unlock()
	var addresses []netip.AddrPort
	for _, host := range hosts {
		p := x.peers[host]
		if p != nil && len(addresses) < n && time.Since(p.heardAt) < x.live() {
			addresses = append(addresses, p.address)
		}
	}
	return addresses
}

// AwaitsUsage reports whether usage counts of a host that was cut off may still
// arrive: a peer has been silent since the given time but not for awaitTimeout,
// or was heard again within the last handoverTime.
func (x *Exchange) AwaitsUsage(since time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	for _, p := range x.peers {
		if p.heardAt.Before(since) && now.Sub(p.heardAt) < awaitTimeout || now.Sub(p.returnedAt) < handoverTime {
			return true
		}
	}
	return false
}

// Live returns the hosts that were heard recently, including this one,
// in no particular order.
func (x *Exchange) Live() []Member {
	x.mu.Lock()
	defer x.mu.Unlock()
	members := []Member{{x.opts.Host, x.opts.Domain, x.opts.LinkBytesPerSecond}}
	for name, p := range x.peers {
		if time.Since(p.heardAt) < x.live() {
			members = append(members, Member{name, p.domain, p.linkBytesPerSecond})
		}
	}
	return members
}

// PeerAddress is the address of another host.
type PeerAddress struct {
	Host, Domain string
	Address      netip.AddrPort
}

// LivePeers returns the addresses of the other hosts that were heard recently, in no
// particular order.
func (x *Exchange) LivePeers() []PeerAddress {
	x.mu.Lock()
	defer x.mu.Unlock()
	live := make([]PeerAddress, 0, len(x.peers))
	for name, p := range x.peers {
		if time.Since(p.heardAt) < x.live() {
			live = append(live, PeerAddress{name, p.domain, p.address})
		}
	}
	return live
}

// Run sends and receives until ctx ends.
func (x *Exchange) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { x.receive(ctx) })
	wg.Go(func() { x.runSends(ctx) })
	wg.Go(func() { x.runRelay(ctx) })
	timer := time.NewTimer(heartbeatInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = x.opts.Conn.SetReadDeadline(time.Unix(1, 0))
			wg.Wait()
			return
		case <-x.wake:
			sleep.For(ctx, x.batchDelay())
		case <-timer.C:
		}
		x.sendReports()
		timer.Reset(heartbeatInterval)
	}
}

func (x *Exchange) batchDelay() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	return time.Duration(len(x.peers)*len(x.peers)) * batchDelayUnit
}

// sendReports sends the queued reports and this host's progress to all peers.
// An empty queue still makes one datagram, the heartbeat, which may go to relays only.
func (x *Exchange) sendReports() {
	x.mu.Lock()
	queue := x.queue
	x.queue = nil
	x.mu.Unlock()
	var addresses []netip.AddrPort
	if len(queue) > 0 {
		addresses = x.addresses()
	} else {
		addresses = x.heartbeatAddresses()
	}
	for first := true; first || len(queue) > 0; first = false {
		n := min(len(queue), maxDatagramBytes/reportBytes)
		data, err := cbor.Marshal(message{Host: x.opts.Host, Reports: queue[:n], Followed: x.opts.ReadProgress()})
		if err != nil {
			x.opts.Log.WithError(err).Error("load_report_not_encoded")
			return
		}
		queue = queue[n:]
		x.send(data, addresses)
	}
}
