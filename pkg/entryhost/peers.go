package entryhost

import (
	"bytes"
	"context"
	randv2 "math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/configstore"
	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/endpointapi"
	"github.com/clementineshed/clementineshed/pkg/fairness"
	"github.com/clementineshed/clementineshed/pkg/membership"
	"github.com/clementineshed/clementineshed/pkg/peer"
	"github.com/clementineshed/clementineshed/pkg/quarantine"
	"github.com/clementineshed/clementineshed/pkg/steperr"
	"github.com/clementineshed/clementineshed/pkg/usage"
)

// Kinds of peer messages besides those of the membership exchange.
const (
	kindView          peer.Kind = "config/view"
	kindState         peer.Kind = "config/state"
	kindUsageHandover peer.Kind = "usage/hand"
	kindQuota         peer.Kind = "quota"
)

// Kinds of gossiped entries.
const (
	entryServed  = "served-tokens"
	entryOffered = "offered-work"
	// entryLeaving has the endpoint ID as key and its instance as value.
	entryLeaving = "endpoint-leaving"
)

const (
	// viewInterval is the time between two rounds of requests for the peers'
	// configuration views. Two rounds fit well into the time for which a key
	// stays confirmed.
	viewInterval = 2 * time.Second
	// peersPerDomain bounds the peers that are queried in each failure domain.
	peersPerDomain = 2
	// publishInterval is how often served tokens and offered work are gossiped.
	publishInterval = time.Second
	// stateChunkBytes keeps a chunk below the size limit of a peer message.
	stateChunkBytes = 512 << 10
	// leavingTTL far exceeds the lag of the endpoint list.
	leavingTTL = 2 * time.Minute
	// handoverDomains is the number of other failure domains that receive usage
	// counts which cannot be written to the log.
	handoverDomains = 2
)

// peers connects the host to the other entry hosts. It implements
// configstore.Peers and usage.Peers.
type peers struct {
	host  *Host
	node  *peer.Node
	table *membership.Table
	store *configstore.Store
	// version is the last entry version and published the last value by kind;
	// both are used only by run. An entry lives as long as its publisher, so a
	// value is published only when it has changed.
	version   uint64
	published map[string][]byte
	// quarantine subscribes to the entries of table.
	quarantine *quarantine.Service

	// replaced is closed when a newer process of this host is seen.
	replaced     chan struct{}
	replacedOnce sync.Once

	mu sync.Mutex
	// work is the cumulative work offered to each other host; guarded by mu.
	work map[string]offeredWork
	// state is the encoded configuration that peers fetch in chunks, and
	// stateID identifies it; guarded by mu.
	state   []byte
	stateID string
}

// offeredWork is the cumulative work offered to one incarnation, in engine
// seconds.
type offeredWork struct {
	Incarnation string  `cbor:"1,keyasint"`
	Prefill     float64 `cbor:"2,keyasint"`
	Decode      float64 `cbor:"3,keyasint"`
	Strict      float64 `cbor:"4,keyasint"`
	Tolerant    float64 `cbor:"5,keyasint"`
}

func newPeers(h *Host, seed int64) (*peers, error) {
	p := &peers{host: h, work: map[string]offeredWork{}, replaced: make(chan struct{}), published: map[string][]byte{}}
	node, err := peer.Start(peer.Options{
		Host:    h.settings.Host.Name,
		Listen:  h.settings.Listen.Peers,
		TLS:     h.tls.peers,
		Resolve: func(host string) (string, bool) { return p.table.Address(host) },
		Clock:   h.clock,
		Rand:    randv2.New(randv2.NewPCG(uint64(seed), 3)),
		Log:     h.log,
	})
	if err != nil {
		return nil, err
	}
	p.node = node
	p.table = membership.New(membership.Options{
		Self: membership.Incarnation{
			Host:     h.settings.Host.Name,
			Domain:   h.settings.Host.Domain,
			Instance: h.settings.Host.Instance,
			Nonce:    uint64(h.clock.Now().UnixMilli()),
		},
		Transport: membership.PeerTransport{Node: node},
		Clock:     h.clock,
		Rand:      randv2.New(randv2.NewPCG(uint64(seed), 4)),
		Local:     p.local,
		Log:       h.log,
	})
	p.quarantine = quarantine.New(quarantine.Options{
		Host: h.settings.Host.Name, Table: p.table, Log: h.logs, Clock: h.clock, Logger: h.log,
	})
	p.table.Subscribe(entryServed, p.mergeServed)
	p.table.Subscribe(entryOffered, p.mergeOffered)
	p.table.Subscribe(entryLeaving, p.mergeLeaving)
	h.platform.onHosts = func(hosts []endpointapi.Host) { p.table.SetHosts(listedHosts(hosts)) }
	return p, nil
}

// registerHandlers registers the message handlers, which need the configuration
// store.
func (p *peers) registerHandlers(store *configstore.Store) {
	p.store = store
	membership.Serve(p.node, p.table)
	peer.Handle(p.node, kindView, func(context.Context, string, struct{}) (configstore.PeerView, error) {
		return store.OwnView(), nil
	})
	peer.Handle(p.node, kindState, p.serveState)
	peer.Handle(p.node, kindUsageHandover, func(_ context.Context, _ string, flushes []usage.Flush) (struct{}, error) {
		p.host.usage.reporter.AcceptFlushes(flushes)
		return struct{}{}, nil
	})
}

// local returns what this host reports in each membership exchange.
func (p *peers) local() membership.LocalStatus {
	view := p.store.OwnView()
	local := membership.LocalStatus{ConfigOffset: view.Next, ConfirmedAge: -1}
	if view.Read {
		local.ConfirmedAge = view.ReadAge
	}
	return local
}

// run publishes gossip entries until ctx ends.
func (p *peers) run(ctx context.Context) {
	p.table.Run()
	p.quarantine.Start()
	ticker := p.host.clock.NewTicker(publishInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			p.publish()
		}
	}
}

// runViews confirms the configuration through peers until ctx ends. It has its
// own goroutine, because a round waits for the timeout of unreachable peers.
func (p *peers) runViews(ctx context.Context) {
	ticker := p.host.clock.NewTicker(viewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			p.pollViews(ctx)
		}
	}
}

// close closes the membership table and the peer node. The quarantine follows
// the log and is closed by Host.closeFollowers.
func (p *peers) close() {
	p.table.Close()
	p.node.Close()
}

// startCrashGuard returns a crash guard that also receives other hosts'
// crashes.
func (p *peers) startCrashGuard() *crashGuard {
	guard := newCrashGuard(p.quarantine, p.host.platform.table, p.host.clock, p.host.tls.endpointsTLS())
	p.table.Subscribe(quarantine.KindCrash, guard.onCrashEntry)
	return guard
}

// publish gossips this host's served tokens and offered work.
func (p *peers) publish() {
	if p.table.Replaced() {
		p.replacedOnce.Do(func() { close(p.replaced) })
	}
	served, err := fairness.Encode(p.host.dispatcher.Ledger().AppendLocal(nil, p.host.settings.Host.Name, p.host.incarnation))
	p.publishIfChanged(entryServed, served, err)
	offered, err := cbor.Marshal(p.host.authority.offered())
	p.publishIfChanged(entryOffered, offered, err)
}

// publishIfChanged publishes data if it differs from the last value of kind. If
// err, the encoding error of data, is not nil, it is logged instead.
func (p *peers) publishIfChanged(kind string, data []byte, err error) {
	if err != nil {
		p.host.log.WithFields(log.Fields{"step": "encode entry", "kind": kind}).WithError(err).Error("entry was not published")
		return
	}
	if bytes.Equal(p.published[kind], data) {
		return
	}
	p.published[kind] = data
	p.version++
	err = p.table.Publish(membership.Entry{
		Kind: kind, Key: p.host.settings.Host.Name, Scope: membership.ScopeGlobal, Version: p.version, Value: data,
	})
	if err != nil {
		p.host.log.WithFields(log.Fields{"step": "publish entry", "kind": kind}).WithError(err).Error("entry was not published")
	}
}

func (p *peers) mergeServed(e membership.Entry) {
	if e.Host == p.host.settings.Host.Name {
		return
	}
	served, err := fairness.Decode(e.Host, e.Value)
	if err != nil {
		p.host.log.WithFields(log.Fields{"step": "decode entry", "kind": e.Kind, "peer": e.Host}).WithError(err).Warn("entry was ignored")
		return
	}
	p.host.dispatcher.Ledger().Merge(served, p.host.clock.Now())
}

func (p *peers) mergeOffered(e membership.Entry) {
	var work offeredWork
	if e.Host == p.host.settings.Host.Name || cbor.Unmarshal(e.Value, &work) != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.work[e.Host] = work
}

// publishLeaving announces a leaving endpoint to the other hosts, so that they
// stop routing to it even if the platform's list reaches them later.
func (p *peers) publishLeaving(e endpoint.Endpoint) {
	err := p.table.Publish(membership.Entry{
		Kind: entryLeaving, Key: e.ID, Scope: membership.ScopeGlobal, Version: uint64(p.host.clock.Now().UnixMilli()),
		Value: []byte(e.Instance), TTL: leavingTTL,
	})
	if err != nil {
		p.host.log.WithFields(log.Fields{"step": "publish entry", "kind": entryLeaving, "endpoint": e.ID}).WithError(err).Warn("entry was not published")
	}
}

func (p *peers) mergeLeaving(e membership.Entry) {
	p.host.platform.table.Notify(endpoint.Notice{ID: e.Key, Instance: string(e.Value), Kind: endpoint.NoticeLeaving})
}

// offeredByOthers returns the cumulative work of the other hosts, by host.
func (p *peers) offeredByOthers() map[string]offeredWork {
	p.mu.Lock()
	defer p.mu.Unlock()
	copied := make(map[string]offeredWork, len(p.work))
	for host, work := range p.work {
		copied[host] = work
	}
	return copied
}

// pickPeers returns up to peersPerDomain hosts of each failure domain, alive
// ones before suspected ones.
func (p *peers) pickPeers() []membership.Host {
	var picked []membership.Host
	count := map[string]int{}
	for _, state := range []membership.State{membership.StateAlive, membership.StateSuspected} {
		for _, h := range p.table.Hosts() {
			if h.State != state || h.Host == p.host.settings.Host.Name || count[h.Domain] >= peersPerDomain {
				continue
			}
			count[h.Domain]++
			picked = append(picked, h)
		}
	}
	return picked
}

func (p *peers) pollViews(ctx context.Context) {
	requestedAt := p.host.clock.Now()
	views, _ := p.Views(ctx)
	for _, v := range views {
		p.store.MergePeerView(v, requestedAt)
	}
}

// Views implements configstore.Peers. It omits peers that do not answer and
// returns no error.
func (p *peers) Views(ctx context.Context) ([]configstore.PeerView, error) {
	hosts := p.pickPeers()
	answers := make(chan *configstore.PeerView, len(hosts))
	for _, h := range hosts {
		go func() {
			view, err := peer.Call[configstore.PeerView](ctx, p.node, h.Host, kindView, struct{}{})
			if err != nil {
				answers <- nil
				return
			}
			answers <- &view
		}()
	}
	var views []configstore.PeerView
	for range hosts {
		if view := <-answers; view != nil {
			views = append(views, *view)
		}
	}
	return views, nil
}

// stateRequest requests the chunk of a peer's encoded configuration that starts
// at byte From.
type stateRequest struct {
	From int
}

// stateChunk is one chunk. Total is the size of the whole state. Digest
// identifies the state, so that chunks of different states are not joined.
type stateChunk struct {
	Data   []byte
	Total  int
	Digest string
}

func (p *peers) serveState(_ context.Context, _ string, request stateRequest) (stateChunk, error) {
	state, id, err := p.encodedState(request.From == 0)
	if err != nil {
		return stateChunk{}, err
	}
	from := min(max(request.From, 0), len(state))
	to := min(from+stateChunkBytes, len(state))
	return stateChunk{Data: state[from:to], Total: len(state), Digest: id}, nil
}

// encodedState returns the encoded configuration. Only a request for a first
// chunk renews it, so that a state of several chunks is encoded once.
func (p *peers) encodedState(renew bool) (state []byte, id string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if renew || p.state == nil {
		next := p.store.View().Next()
		if p.state, err = p.store.State(); err != nil {
			return nil, "", err
		}
		p.stateID = strconv.FormatInt(next, 10)
	}
	return p.state, p.stateID, nil
}

// errStateChanged reports that a peer renewed its state for another host
// between two chunks.
var errStateChanged = errors.New("the peer's state changed between two chunks")

// State implements configstore.Peers. It fails with errStateChanged if the
// peer's state changes between two chunks; the store requests it again.
func (p *peers) State(ctx context.Context, host string) ([]byte, error) {
	var state []byte
	var id string
	for {
		chunk, err := peer.Call[stateChunk](ctx, p.node, host, kindState, stateRequest{From: len(state)})
		if err != nil {
			return nil, err
		}
		if id != "" && chunk.Digest != id {
			return nil, steperr.Wrap(errStateChanged, "fetch state", host)
		}
		id = chunk.Digest
		state = append(state, chunk.Data...)
		if len(state) >= chunk.Total || len(chunk.Data) == 0 {
			return state, nil
		}
	}
}

// HandOver implements usage.Peers. It succeeds if a peer in at least one other
// failure domain accepted the flushes.
func (p *peers) HandOver(ctx context.Context, flushes []usage.Flush) error {
	var lastErr error
	handed := map[string]bool{}
	for _, h := range p.pickPeers() {
		if h.Domain == p.host.settings.Host.Domain || handed[h.Domain] || len(handed) >= handoverDomains {
			continue
		}
		if _, err := peer.Call[struct{}](ctx, p.node, h.Host, kindUsageHandover, flushes); err != nil {
			lastErr = err
			continue
		}
		handed[h.Domain] = true
	}
	if len(handed) > 0 {
		return nil
	}
	return lastErr
}
