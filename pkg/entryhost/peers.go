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

// Kinds of peer messages beside the membership exchange.
const (
	kindView  peer.Kind = "config/view"
	kindState peer.Kind = "config/state"
	kindHand  peer.Kind = "usage/hand"
)

// Kinds of gossiped entries.
const (
	entryServed  = "served-tokens"
	entryOffered = "offered-work"
	// entryLeaving has the endpoint as key and its instance as value.
	entryLeaving = "endpoint-leaving"
)

const (
	// viewInterval is how often configuration views are asked for; two rounds
	// fit well into the time for which a key stays confirmed.
	viewInterval = 2 * time.Second
	// viewFanout bounds the peers asked in each failure domain.
	viewFanout = 2
	// publishInterval is how often served tokens and offered work are gossiped.
	publishInterval = time.Second
	// stateChunkBytes is below the size limit of a peer message.
	stateChunkBytes = 512 << 10
	// leavingTTL is far longer than the endpoint list lags.
	leavingTTL = 2 * time.Minute
	// handDomains is the number of other failure domains that get the counts
	// which cannot be written to the log.
	handDomains = 2
)

// peers connects the host to the other entry hosts. It implements
// configstore.Peers and usage.Peers.
type peers struct {
	host  *Host
	node  *peer.Node
	table *membership.Table
	store *configstore.Store
	// version and published belong to run: the last version, and the last value
	// of each kind. An entry lives as long as its publisher, so that a value is
	// gossiped only when it has changed.
	version   uint64
	published map[string][]byte
	// quarantine follows the table's entries.
	quarantine *quarantine.Service

	// replaced is closed when a newer process of this host was seen.
	replaced     chan struct{}
	replacedOnce sync.Once

	mu sync.Mutex
	// work is the offered work of the other hosts; guarded by mu.
	work map[string]offeredWork
	// state is the compact state that a peer fetches in parts, and stateDigest
	// names it; guarded by mu.
	state       []byte
	stateDigest string
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
		TLS:     h.keys.peers,
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

// serve registers the handlers that need the configuration store.
func (p *peers) serve(store *configstore.Store) {
	p.store = store
	membership.Serve(p.node, p.table)
	peer.Handle(p.node, kindView, func(context.Context, string, struct{}) (configstore.PeerView, error) {
		return store.OwnView(), nil
	})
	peer.Handle(p.node, kindState, p.serveState)
	peer.Handle(p.node, kindHand, func(_ context.Context, _ string, flushes []usage.Flush) (struct{}, error) {
		p.host.billing.reporter.Accept(flushes)
		return struct{}{}, nil
	})
}

// local is what each exchange tells the peers about this host.
func (p *peers) local() membership.Local {
	view := p.store.OwnView()
	local := membership.Local{ConfigOffset: view.Next, ConfirmedAge: -1}
	if view.Read {
		local.ConfirmedAge = view.ReadAge
	}
	return local
}

// run publishes to peers until ctx ends.
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

// runViews confirms the configuration through peers until ctx ends. It has a
// goroutine of its own, because peers that are cut off hold each round for its
// timeout.
func (p *peers) runViews(ctx context.Context) {
	ticker := p.host.clock.NewTicker(viewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			p.askViews(ctx)
		}
	}
}

// close ends the contact with peers; the quarantine is closed with the other
// parts that follow the log.
func (p *peers) close() {
	p.table.Close()
	p.node.Close()
}

// crashes returns the gate's view of the quarantine.
func (p *peers) crashes() *crashGuard {
	guard := newCrashGuard(p.quarantine, p.host.platform.table, p.host.clock, p.host.keys.endpointsTLS())
	p.table.Subscribe(quarantine.KindCrash, guard.heard)
	return guard
}

// publish gossips this host's served tokens and offered work.
func (p *peers) publish() {
	if p.table.Replaced() {
		p.replacedOnce.Do(func() { close(p.replaced) })
	}
	served, err := fairness.Encode(p.host.dispatcher.Ledger().AppendLocal(nil, p.host.settings.Host.Name, p.host.incarnation))
	p.put(entryServed, served, err)
	offered, err := cbor.Marshal(p.host.authority.offered())
	p.put(entryOffered, offered, err)
}

// put publishes the entry unless its encoding failed with err.
func (p *peers) put(kind string, data []byte, err error) {
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

// publishLeaving tells the other hosts of an endpoint that leaves, so that they
// stop sending to it even if the platform's list reaches them later.
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

// offeredByOthers returns the cumulative work of the other hosts.
func (p *peers) offeredByOthers() map[string]offeredWork {
	p.mu.Lock()
	defer p.mu.Unlock()
	copied := make(map[string]offeredWork, len(p.work))
	for host, work := range p.work {
		copied[host] = work
	}
	return copied
}

// sample returns up to viewFanout hosts of each failure domain, those that are
// alive first.
func (p *peers) sample() []membership.Host {
	var picked []membership.Host
	count := map[string]int{}
	for _, state := range []membership.State{membership.StateAlive, membership.StateSuspected} {
		for _, h := range p.table.Hosts() {
			if h.State != state || h.Host == p.host.settings.Host.Name || count[h.Domain] >= viewFanout {
				continue
			}
			count[h.Domain]++
			picked = append(picked, h)
		}
	}
	return picked
}

// askViews confirms the configuration through peers.
func (p *peers) askViews(ctx context.Context) {
	asked := p.host.clock.Now()
	views, _ := p.Views(ctx)
	for _, v := range views {
		p.store.HeardPeer(v, asked)
	}
}

// Views implements configstore.Peers.
func (p *peers) Views(ctx context.Context) ([]configstore.PeerView, error) {
	hosts := p.sample()
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

// stateRequest asks for a part of a peer's compact state.
type stateRequest struct {
	From int
}

// stateAnswer is a part; Total is the size of the whole and Digest names the
// state, so that parts of different states are not joined.
type stateAnswer struct {
	Data   []byte
	Total  int
	Digest string
}

func (p *peers) serveState(_ context.Context, _ string, request stateRequest) (stateAnswer, error) {
	state, digest, err := p.encodedState(request.From == 0)
	if err != nil {
		return stateAnswer{}, err
	}
	from := min(max(request.From, 0), len(state))
	to := min(from+stateChunkBytes, len(state))
	return stateAnswer{Data: state[from:to], Total: len(state), Digest: digest}, nil
}

// encodedState returns the compact state. A request for a later part gets the
// state of the last first part, so that a state of several parts is encoded once.
func (p *peers) encodedState(renew bool) (state []byte, digest string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if renew || p.state == nil {
		next := p.store.View().Next()
		if p.state, err = p.store.State(); err != nil {
			return nil, "", err
		}
		p.stateDigest = strconv.FormatInt(next, 10)
	}
	return p.state, p.stateDigest, nil
}

// errStateChanged reports a peer's state that was renewed for another host
// between two parts.
var errStateChanged = errors.New("the peer's state changed between two parts")

// State implements configstore.Peers. It fails with errStateChanged if the
// peer's state changes between two parts; the store asks again.
func (p *peers) State(ctx context.Context, host string) ([]byte, error) {
	var state []byte
	var digest string
	for {
		part, err := peer.Call[stateAnswer](ctx, p.node, host, kindState, stateRequest{From: len(state)})
		if err != nil {
			return nil, err
		}
		if digest != "" && part.Digest != digest {
			return nil, steperr.Wrap(errStateChanged, "fetch state", host)
		}
		digest = part.Digest
		state = append(state, part.Data...)
		if len(state) >= part.Total || len(part.Data) == 0 {
			return state, nil
		}
	}
}

// Hand implements usage.Peers.
func (p *peers) Hand(ctx context.Context, flushes []usage.Flush) error {
	var lastErr error
	handed := map[string]bool{}
	for _, h := range p.sample() {
		if h.Domain == p.host.settings.Host.Domain || handed[h.Domain] || len(handed) >= handDomains {
			continue
		}
		if _, err := peer.Call[struct{}](ctx, p.node, h.Host, kindHand, flushes); err != nil {
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
