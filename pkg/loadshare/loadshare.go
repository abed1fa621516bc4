// Package loadshare tells the other entry hosts what this one sends to engines,
// so that many hosts that decide at once do not choose the same engine, and what
// this one has read in the store, so that not all have to read it.
//
// State: the peers' addresses and when each was last heard. Reports travel as
// datagrams: one that is lost is missed by the receiver's view of the engines
// and by nothing else. Nothing that is billed, ordered or promised depends on
// them. Reports are collected for a time that grows with the number of peers,
// which bounds the datagrams that one host receives each second. Pages of the
// store are sent at once while they leave the host's link free for callers; who
// misses one reads it in the store.
//
// Datagrams are used in place of QUIC streams because a report is worth nothing
// once it is late, and the platform provides no keys for links between hosts.
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
	"github.com/clementineshed/clementineshed/pkg/placement"
	"github.com/clementineshed/clementineshed/pkg/sleep"
	"github.com/clementineshed/clementineshed/pkg/usage"
)

const (
	// collectUnit times the square of the number of peers is the time of
	// collection: two hosts that decide within it may choose the same engine. With
	// 8 peers it is shorter than the way to a peer; with 80, a host receives at
	// most 1,000 datagrams a second.
	collectUnit = 12 * time.Microsecond
	// errorPause is the wait after a failed read.
	errorPause = 10 * time.Millisecond
	// heartbeat is the longest time between two datagrams to a peer; a peer that
	// was not heard for aliveFor does not count as a host.
	heartbeat = time.Second
	aliveFor  = 3500 * time.Millisecond
	// silence is the time without a datagram after which a peer may have been cut
	// off, returnTime the time that it then takes to hand over what it has kept, and
	// forgetTime the time after which a silent one is not waited for any more.
	silence    = 1500 * time.Millisecond
	returnTime = 2 * time.Second
	forgetTime = 12 * time.Second
	// maxDatagramBytes keeps a datagram inside one packet.
	maxDatagramBytes = 1300
	// sendBytes is the usual size of one report, for cutting datagrams.
	sendBytes = 110
	// maxPageBytes bounds the records of one datagram, each with recordOverhead for
	// its offset and the names of its fields; the rest is for the other fields.
	maxPageBytes   = maxDatagramBytes - 200
	recordOverhead = 50
	// maxQueued bounds the reports that wait; older ones are worth least.
	maxQueued = 512
	// publishShare is the part of the host's link that pages may take, and
	// publishBurst the time of the link that they may take at once: requests wait
	// behind them for as long. Every host gets its own copy of a page, so that on
	// 10 Mbit/s a page of 200 announcements for 80 hosts takes five seconds.
	publishShare = 0.2
	publishBurst = 200 * time.Millisecond
	// packetOverhead is what the headers of the network add to a datagram.
	packetOverhead = 28
)

// message is one datagram.
type message struct {
	_       struct{} `cbor:",toarray"`
	Host    string
	Reports []report
	Flushes []usage.Flush
	// Followed holds the topics whose reads the store answers.
	Followed map[string]Progress
	Pages    []sharedPage
}

// Progress is how far a host has followed a topic, and how long ago the store
// answered its last read.
type Progress struct {
	_         struct{} `cbor:",toarray"`
	Next      int64
	AgeMillis int64
}

// sharedPage is a page of a topic, or a part of one, from an offset on.
type sharedPage struct {
	_          struct{} `cbor:",toarray"`
	Topic      string
	From, Next int64
	Records    []keyedlog.Record
}

// report is a placement.Sent of a service, or an engine that changes its role.
type report struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Engine  string
	// Phase is 1 for prefill and 2 for decode sends, 3 for an engine that takes no
	// work for the time in WorkMicros, 4 for an endpoint that the host has ejected, 5
	// for one that it ejected as silent.
	Phase      uint8
	WorkMicros int64
	Parts      []uint64
	Sizes      []int
}

const (
	phasePrefill = 1
	phaseDecode  = 2
	phaseBlocked = 3
	phaseEjected = 4
	phaseSilent  = 5
)

// Options configure a Share.
type Options struct {
	// Host is this host's name.
	Host string
	Conn net.PacketConn
	// LinkBytesPerSecond is the rate of this host's link; zero if it is not known.
	LinkBytesPerSecond float64
	// Observe receives the sends of other hosts.
	Observe func(service string, sent placement.Sent)
	// Blocked receives the engines that take no work for a time.
	Blocked func(service, engine string, d time.Duration)
	// Ejected receives the endpoints that other hosts have ejected; silent ones could
	// not be reached.
	Ejected func(endpoint, host string, silent bool)
	// Followed returns how far this host has followed the topics whose reads the
	// store answers; Told is given the same of another host, Offer a page that it
	// has read.
	Followed func() map[string]Progress
	Told     func(map[string]Progress)
	Offer    func(topic string, from int64, page keyedlog.Page)
	// Accept receives counts of a host that does not reach the store.
	Accept func([]usage.Flush)
	Log    log.Interface
}

// Share exchanges reports. It is safe for concurrent use.
type Share struct {
	opts Options
	wake chan struct{}
	// pages limits the bytes of published pages.
	pages *rate.Limiter

	mu sync.Mutex
	// The fields below are guarded by mu.
	queue []report
	peers map[string]*peer
}

// Member is a host.
type Member struct {
	Host string
	// LinkBytesPerSecond is the rate of the host's link; zero if it is not known.
	LinkBytesPerSecond float64
}

type peer struct {
	address netip.AddrPort
	link    float64
	// heardAt is when the host was last heard, returnedAt when for the first time
	// after a silence.
	heardAt, returnedAt time.Time
}

// New returns a share that Run starts.
func New(opts Options) *Share {
	s := &Share{opts: opts, wake: make(chan struct{}, 1), pages: rate.NewLimiter(rate.Inf, 0), peers: map[string]*peer{}}
	if link := opts.LinkBytesPerSecond; link > 0 {
		s.pages = rate.NewLimiter(rate.Limit(link*publishShare), int(link*publishBurst.Seconds()))
	}
	return s
}

// SetPeer notes the address of a host; this host itself is ignored.
func (s *Share) SetPeer(m Member, address string) error {
	if m.Host == s.opts.Host {
		return nil
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.Wrapf(err, "address of host %s", m.Host)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.peers[m.Host]; p != nil && p.address == parsed && p.link == m.LinkBytesPerSecond {
		return nil
	}
	s.peers[m.Host] = &peer{address: parsed, link: m.LinkBytesPerSecond, heardAt: time.Now()}
	return nil
}

// RemovePeer drops a host.
func (s *Share) RemovePeer(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.peers, host)
}

// Hosts returns the number of hosts that were heard lately, this one included.
func (s *Share) Hosts() int { return len(s.Alive()) }

// Known returns the number of hosts that have announced themselves and not
// withdrawn, this one included.
func (s *Share) Known() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return 1 + len(s.peers)
}

// Report queues a send for the other hosts.
func (s *Share) Report(service string, sent placement.Sent) {
	r := report{Service: service, Engine: sent.EngineID, Phase: phasePrefill, WorkMicros: sent.WorkMicros}
	if sent.Role == endpoint.RoleDecode {
		r.Phase = phaseDecode
	}
	for _, p := range sent.Parts {
		r.Parts = append(r.Parts, p.ID)
		r.Sizes = append(r.Sizes, p.Tokens)
	}
	s.enqueue(r)
}

// Block tells the other hosts that an engine takes no work for a time.
func (s *Share) Block(service, engine string, d time.Duration) {
	s.enqueue(report{Service: service, Engine: engine, Phase: phaseBlocked, WorkMicros: d.Microseconds()})
}

// Eject tells the other hosts that this one has ejected an endpoint.
func (s *Share) Eject(service, endpoint string, silent bool) {
	r := report{Service: service, Engine: endpoint, Phase: phaseEjected}
	if silent {
		r.Phase = phaseSilent
	}
	s.enqueue(r)
}

func (s *Share) enqueue(r report) {
	s.mu.Lock()
	if len(s.queue) < maxQueued {
		s.queue = append(s.queue, r)
	}
	s.mu.Unlock()
	s.Wake()
}

// Publish sends a page of a topic, read from an offset on, to all peers at once.
// Parts of it that the link has no room for are not sent: the peers are told how
// far this host has read, and read them in the store. The load pattern: many
// endpoints that come or go at once, at a host with a narrow link.
func (s *Share) Publish(topic string, from int64, page keyedlog.Page) {
	addresses := s.addresses()
	parts := cutPage(topic, from, page)
	for i, part := range parts {
		data, err := cbor.Marshal(message{Host: s.opts.Host, Followed: s.opts.Followed(), Pages: []sharedPage{part}})
		if err != nil {
			s.opts.Log.WithError(err).Error("page_not_encoded")
			return
		}
		if !s.pages.AllowN(time.Now(), (len(data)+packetOverhead)*len(addresses)) {
			s.opts.Log.WithFields(log.Fields{"topic": topic, "from": part.From, "next": page.Next, "parts_sent": i, "parts": len(parts), "hosts": len(addresses)}).Info("page_not_shared")
			s.Wake()
			return
		}
		s.send(data, addresses)
	}
}

// cutPage divides a page into parts that fit into a datagram each; the parts go on
// from each other. A record that is larger makes a part of its own.
func cutPage(topic string, from int64, page keyedlog.Page) []sharedPage {
	var parts []sharedPage
	part, size := sharedPage{Topic: topic, From: from}, 0
	for _, r := range page.Records {
		bytes := len(r.Key) + len(r.Value) + recordOverhead
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

// Wake has the peers told of this host's progress soon.
func (s *Share) Wake() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// send passes a datagram to each address. One that cannot be sent counts as lost.
func (s *Share) send(data []byte, addresses []netip.AddrPort) {
	for _, address := range addresses {
		_, _ = s.opts.Conn.WriteTo(data, net.UDPAddrFromAddrPort(address))
	}
}

// addresses returns those of all peers, heard or not.
func (s *Share) addresses() []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	addresses := make([]netip.AddrPort, 0, len(s.peers))
	for _, p := range s.peers {
		addresses = append(addresses, p.address)
	}
	return addresses
}

// Hand passes counts to the first n of the named hosts that were heard lately. It
// fails if there are none.
func (s *Share) Hand(hosts []string, n int, flushes []usage.Flush) error {
	addresses := s.alive(hosts, n)
	if len(addresses) == 0 {
		return errors.New("no host that takes counts was heard lately")
	}
	for _, f := range flushes {
		data, err := cbor.Marshal(message{Host: s.opts.Host, Flushes: []usage.Flush{f}})
		if err != nil {
			return errors.Wrap(err, "encode counts")
		}
		for _, address := range addresses {
			if _, err := s.opts.Conn.WriteTo(data, net.UDPAddrFromAddrPort(address)); err != nil {
				return errors.Wrapf(err, "hand counts to %s", address)
			}
		}
	}
	return nil
}

// alive returns the addresses of the first n named hosts that were heard lately.
func (s *Share) alive(hosts []string, n int) []netip.AddrPort {
	s.mu.Lock()
	defer s.mu.Unlock()
	var addresses []netip.AddrPort
	for _, host := range hosts {
		p := s.peers[host]
		if p != nil && len(addresses) < n && time.Since(p.heardAt) < aliveFor {
			addresses = append(addresses, p.address)
		}
	}
	return addresses
}

// Awaited reports whether a host has been silent since a time and may still come
// back with what it has kept, or has just come back.
func (s *Share) Awaited(since time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, p := range s.peers {
		if p.heardAt.Before(since) && now.Sub(p.heardAt) < forgetTime || now.Sub(p.returnedAt) < returnTime {
			return true
		}
	}
	return false
}

// Alive returns the hosts that were heard lately, this one included, in no
// particular order.
func (s *Share) Alive() []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	members := []Member{{s.opts.Host, s.opts.LinkBytesPerSecond}}
	for name, p := range s.peers {
		if time.Since(p.heardAt) < aliveFor {
			members = append(members, Member{name, p.link})
		}
	}
	return members
}

// Run sends and receives until ctx ends. The caller closes the connection.
func (s *Share) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.receive(ctx) })
	timer := time.NewTimer(heartbeat)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			_ = s.opts.Conn.SetReadDeadline(time.Unix(1, 0))
			wg.Wait()
			return
		case <-s.wake:
			sleep.For(ctx, s.collect())
		case <-timer.C:
		}
		s.flush()
		timer.Reset(heartbeat)
	}
}

func (s *Share) collect() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(len(s.peers)*len(s.peers)) * collectUnit
}

// flush sends the queued reports to all peers, or an empty datagram.
func (s *Share) flush() {
	s.mu.Lock()
	queue := s.queue
	s.queue = nil
	s.mu.Unlock()
	addresses := s.addresses()
	for first := true; first || len(queue) > 0; first = false {
		n := min(len(queue), maxDatagramBytes/sendBytes)
		data, err := cbor.Marshal(message{Host: s.opts.Host, Reports: queue[:n], Followed: s.opts.Followed()})
		if err != nil {
			s.opts.Log.WithError(err).Error("load_report_not_encoded")
			return
		}
		queue = queue[n:]
		s.send(data, addresses)
	}
}

func (s *Share) receive(ctx context.Context) {
	buf := make([]byte, 64<<10)
	for ctx.Err() == nil {
		n, _, err := s.opts.Conn.ReadFrom(buf)
		if err != nil {
			if ctx.Err() == nil {
				// An error of an earlier datagram's delivery shows up here.
				sleep.For(ctx, errorPause)
			}
			continue
		}
		var m message
		if err := cbor.Unmarshal(buf[:n], &m); err != nil {
			s.opts.Log.WithError(err).Warn("load_report_not_readable")
			continue
		}
		s.apply(m)
	}
}

func (s *Share) apply(m message) {
	s.mu.Lock()
	p := s.peers[m.Host]
	if p != nil {
		now := time.Now()
		if now.Sub(p.heardAt) > silence {
			p.returnedAt = now
		}
		p.heardAt = now
	}
	s.mu.Unlock()
	if p == nil {
		return
	}
	for _, p := range m.Pages {
		s.opts.Offer(p.Topic, p.From, keyedlog.Page{Records: p.Records, Next: p.Next, End: p.Next})
	}
	// Pages come before the progress, which says that they exist.
	s.opts.Told(m.Followed)
	if len(m.Flushes) > 0 {
		s.opts.Accept(m.Flushes)
	}
	for _, r := range m.Reports {
		if len(r.Parts) != len(r.Sizes) || r.WorkMicros < 0 {
			continue
		}
		switch r.Phase {
		case phaseBlocked:
			s.opts.Blocked(r.Service, r.Engine, time.Duration(r.WorkMicros)*time.Microsecond)
			continue
		case phaseEjected, phaseSilent:
			s.opts.Ejected(r.Engine, m.Host, r.Phase == phaseSilent)
			continue
		}
		sent := placement.Sent{EngineID: r.Engine, Role: endpoint.RolePrefill, WorkMicros: r.WorkMicros}
		if r.Phase == phaseDecode {
			sent.Role = endpoint.RoleDecode
		}
		for i, id := range r.Parts {
			sent.Parts = append(sent.Parts, placement.Part{ID: id, Tokens: r.Sizes[i]})
		}
		s.opts.Observe(r.Service, sent)
	}
}
