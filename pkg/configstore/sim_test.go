package configstore

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/apex/log"
	"github.com/apex/log/handlers/text"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/declaration"
	"github.com/clementineshed/clementineshed/pkg/logservice"
)

// Parameters of a schedule.
const (
	tick          = 250 * time.Millisecond
	scheduleTicks = 400
	maxLag        = 2 * time.Second
	simRetention  = 24 * time.Second
	simKeys       = 12
	simClasses    = 3
)

// guards selects the checks of the store that a run disables.
type guards struct {
	conflicts, barrier, start, gaps, newerPeers, caughtUp bool
}

// simLog is the log of a simulation, with an untruncated copy of its records and
// a reference fold that sees every record in order.
type simLog struct {
	memory    *logservice.Memory
	all       []logservice.Record
	reference *fold
	states    map[int64][]byte
	endAtTick []int64 // end of the log at the start of each tick
	// verdicts maps the id of a change or withdrawal to the first verdict on it.
	verdicts map[string]Verdict
}

func (l *simLog) append(records [][]byte) int64 {
	first, _ := l.memory.Append(context.Background(), logservice.StreamConfig, records)
	for i, data := range records {
		r := logservice.Record{Offset: first + int64(i), Data: data}
		l.all = append(l.all, r)
		decoded, _ := decodeRecord(data)
		if v := l.reference.apply(r, decoded); v != nil {
			if _, twice := l.verdicts[v.ID]; !twice {
				l.verdicts[v.ID] = *v
			}
		}
		l.states[l.reference.next] = foldDigest(l.reference)
	}
	return first
}

// foldDigest returns a digest that is equal for equal folds.
func foldDigest(f *fold) []byte {
	data, err := json.Marshal(f.state())
	if err != nil {
		panic(err)
	}
	sum := sha256.Sum256(data)
	return sum[:]
}

// link is the faulty connection of one process to the log.
type link struct {
	sim *sim
	cut bool
}

func (l *link) Append(_ context.Context, _ string, records [][]byte) (int64, error) {
	switch roll := l.sim.rand.Intn(20); {
	case l.cut:
		return 0, logservice.ErrNotAppended
	case roll == 0:
		l.sim.log.append(records)
		return 0, logservice.ErrOutcomeUnknown
	case roll == 1:
		at := l.sim.currentTick + 1 + l.sim.rand.Intn(20)
		l.sim.scheduled[at] = append(l.sim.scheduled[at], func() { l.sim.log.append(records) })
		return 0, logservice.ErrOutcomeUnknown
	}
	return l.sim.log.append(records), nil
}

// Read answers from a replica that lags by up to maxLag.
func (l *link) Read(ctx context.Context, stream string, from int64, limit int, _ time.Duration) (logservice.Page, error) {
	s := l.sim
	if l.cut || s.rand.Intn(20) == 0 {
		return logservice.Page{}, errors.Wrap(logservice.ErrUnavailable, "cut off")
	}
	page, err := s.log.memory.Read(ctx, stream, from, min(limit, 1+s.rand.Intn(40)), 0)
	if err != nil {
		return page, err
	}
	if s.rand.Intn(3) == 0 && s.currentTick > 0 {
		page.End = s.log.endAtTick[max(0, s.currentTick-1-s.rand.Intn(int(maxLag/tick)))]
	}
	kept := page.Records[:0]
	for _, r := range page.Records {
		if r.Offset < page.End {
			kept = append(kept, r)
		}
	}
	page.Records = kept
	if len(kept) > 1 && s.rand.Intn(40) == 0 {
		page.Records = kept[1:] // simulates a replica that has lost a record
	}
	return page, nil
}

type simHost struct {
	name, domain string
	link         *link
	store        *Store
	startedAt    int
	// endAtStart is the end of the log when the process started.
	endAtStart int64
	lastNext   int64
	group      int
	// stateUnavailable makes the peers answer this host's requests for views but
	// not those for state.
	stateUnavailable bool
}

// sim is the simulation of one schedule. A single goroutine runs it.
type sim struct {
	seed        int64
	rand        *rand.Rand
	clock       *clockwork.FakeClock
	log         *simLog
	hosts       []*simHost
	scheduled   map[int][]func()
	currentTick int
	nonces      int
	disabled    guards
	ops         []*simOp
	operators   []*simOperator
	// majorityWithdrawn maps a key to the first tick at which a majority of the
	// domains held its withdrawal.
	majorityWithdrawn map[KeyHash]int
	violations        []string
	counts            struct{ usable, refused, restarts, ready, snapshots int }
}

func simKey(i int) KeyHash { return HashKey([]byte(fmt.Sprint("key", i))) }

func newSim(seed int64, disabled guards) *sim {
	clock := clockwork.NewFakeClock()
	s := &sim{seed: seed, rand: rand.New(rand.NewSource(seed)), clock: clock, disabled: disabled, scheduled: map[int][]func(){}, majorityWithdrawn: map[KeyHash]int{}}
	s.log = &simLog{memory: logservice.NewMemory(clock), reference: newFold(), states: map[int64][]byte{}, verdicts: map[string]Verdict{}}
	s.log.reference.ignoreConflicts = disabled.conflicts
	s.log.states[0] = foldDigest(s.log.reference)
	s.seedConfig()
	for i := range 5 {
		h := &simHost{name: fmt.Sprint("h", i), domain: fmt.Sprint("d", i%4), link: &link{sim: s}}
		s.hosts = append(s.hosts, h)
		s.startProcess(h)
	}
	for range 3 {
		s.operators = append(s.operators, s.newOperator())
	}
	return s
}

func (s *sim) seedConfig() {
	doc := declaration.Document{Teams: []declaration.Team{{Name: "t"}}}
	for i := range simKeys {
		doc.Keys = append(doc.Keys, declaration.Key{Name: fmt.Sprint("k", i), Team: "t", SHA256: simKey(i).String()})
	}
	for i := range simClasses {
		doc.Classes = append(doc.Classes, declaration.Class{Name: fmt.Sprint("c", i), Share: 0.5})
	}
	c := NewChange("seed", "", NoVersion, declaration.Diff(declaration.Document{}, doc))
	data, _ := record{Change: &c}.encode()
	s.log.append([][]byte{data})
}

// startProcess starts a process on h without any state.
func (s *sim) startProcess(h *simHost) {
	s.nonces++
	h.startedAt, h.endAtStart, h.lastNext = s.currentTick, s.log.reference.next, 0
	h.store = New(Options{
		Log: h.link, Peers: simPeers{s, h}, Clock: s.clock, Rand: rand.New(rand.NewSource(s.rand.Int63())),
		Host: h.name, Nonce: fmt.Sprint("n", s.nonces), Domain: h.domain, Domains: []string{"d0", "d1", "d2", "d3"},
		Retention: simRetention, Logger: &log.Logger{Handler: text.New(io.Discard), Level: log.FatalLevel},
	})
	h.store.chunkBytes = 96
	h.store.follower.fold.ignoreConflicts = s.disabled.conflicts
	h.store.follower.ignoreGaps = s.disabled.gaps
	h.store.skipStart = s.disabled.start
	h.store.skipNewerCheck = s.disabled.newerPeers
	h.store.skipCaughtUpCheck = s.disabled.caughtUp
}

func (s *sim) reachable(a, b *simHost) bool { return a.group == b.group }

type simPeers struct {
	s    *sim
	self *simHost
}

func (p simPeers) Views(context.Context) ([]PeerView, error) {
	var views []PeerView
	for _, h := range p.s.hosts {
		if h != p.self && p.s.reachable(h, p.self) && h.store != nil && h.store.isReady() {
			views = append(views, h.store.OwnView())
		}
	}
	return views, nil
}

func (p simPeers) State(_ context.Context, host string) ([]byte, error) {
	for _, h := range p.s.hosts {
		if h.name == host && !p.self.stateUnavailable && p.s.rand.Intn(3) > 0 {
			return h.store.State()
		}
	}
	return nil, errors.New("peer does not answer")
}

func (s *sim) fail(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("seed %d tick %d: ", s.seed, s.currentTick)+fmt.Sprintf(format, args...))
}

func (s *sim) run() {
	for s.currentTick = 0; s.currentTick < scheduleTicks; s.currentTick++ {
		s.log.endAtTick = append(s.log.endAtTick, s.log.reference.next)
		for _, f := range s.scheduled[s.currentTick] {
			f()
		}
		s.injectFaults()
		for _, h := range s.hosts {
			if s.rand.Intn(3) > 0 {
				_ = h.store.Step(context.Background(), 0)
			}
			s.gossip(h)
			s.checkHost(h)
		}
		for _, o := range s.operators {
			o.step()
		}
		s.withdrawKeys()
		s.log.memory.TruncateOlderThan(s.clock.Now().Add(-simRetention))
		s.clock.Advance(tick)
	}
	for _, o := range s.operators {
		if o.op != nil {
			o.abandon()
		}
	}
}

// injectFaults cuts links, splits the network, stops and restarts processes.
func (s *sim) injectFaults() {
	if s.rand.Intn(30) == 0 {
		for _, h := range s.hosts {
			h.group = s.rand.Intn(2)
		}
	}
	if s.rand.Intn(20) == 0 {
		for _, h := range s.hosts {
			h.group = 0
		}
	}
	if s.rand.Intn(40) == 0 {
		all := s.rand.Intn(2) == 0
		for _, h := range s.hosts {
			h.link.cut = all || s.rand.Intn(2) == 0
			h.stateUnavailable = s.rand.Intn(3) == 0
		}
	}
	if s.rand.Intn(25+100*int(s.seed%2)) == 0 {
		for _, h := range s.hosts {
			h.link.cut = false
		}
	}
	if s.rand.Intn(40) == 0 {
		s.counts.restarts++
		s.startProcess(s.hosts[s.rand.Intn(len(s.hosts))])
	}
}

// gossip requests the view of a random peer for h. The peer forms the view some
// ticks later, and h receives it some ticks after that.
func (s *sim) gossip(h *simHost) {
	peer := s.hosts[s.rand.Intn(len(s.hosts))]
	if s.rand.Intn(2) == 0 || peer == h || !s.reachable(h, peer) {
		return
	}
	store, requestedAt, formed := h.store, s.clock.Now(), s.currentTick+1+s.rand.Intn(3)
	s.scheduled[formed] = append(s.scheduled[formed], func() {
		view := peer.store.OwnView()
		arrives := s.currentTick + 1 + s.rand.Intn(3)
		s.scheduled[arrives] = append(s.scheduled[arrives], func() { store.MergePeerView(view, requestedAt) })
	})
}

// checkHost compares a host with the reference fold and checks its keys.
func (s *sim) checkHost(h *simHost) {
	f := h.store.follower.fold
	moved := f.next != h.lastNext
	if f.next < h.lastNext {
		s.fail("%s went from offset %d to %d", h.name, h.lastNext, f.next)
	}
	h.lastNext = f.next
	v := h.store.View()
	if moved && !declaration.Equal(v.Document(), f.document()) {
		s.fail("%s: the view differs from the fold at offset %d", h.name, f.next)
	}
	for k := range f.withdrawn {
		if moved && !v.Withdrawn(k) {
			s.fail("%s: key withdrawn in the fold but not in the view", h.name)
		}
	}
	if v.Next() != f.next {
		s.fail("%s: view at %d, fold at %d", h.name, v.Next(), f.next)
	}
	if want, ok := s.log.states[f.next]; moved && (!ok || !bytes.Equal(want, foldDigest(f))) {
		s.fail("%s differs from the log at offset %d", h.name, f.next)
	}
	if !h.store.isReady() {
		return
	}
	s.counts.ready++
	// While the log is down, a host may become ready from peers that lag. Its own
	// reads must not confirm its view then.
	if f.next < h.endAtStart && !h.store.Confirmation().OwnRead.IsZero() {
		s.fail("%s is ready at offset %d, the log ended at %d when its process started", h.name, f.next, h.endAtStart)
	}
	s.checkKeys(h)
}

// checkKeys checks that a withdrawn key stops being usable within the
// confirmation window plus maxLag after a majority of the domains held its
// withdrawal. It skips hosts whose process started after that.
func (s *sim) checkKeys(h *simHost) {
	bound := int((ConfirmWindow + maxLag) / tick)
	for i := range simKeys {
		k := simKey(i)
		_, u := h.store.Check(k)
		if u == KeyUsable {
			s.counts.usable++
		} else {
			s.counts.refused++
		}
		since, withdrawn := s.majorityWithdrawn[k]
		if withdrawn && u == KeyUsable && h.startedAt <= since && s.currentTick-since > bound+1 {
			s.fail("%s uses key %d, withdrawn %d ticks ago", h.name, i, s.currentTick-since)
		}
	}
}

// withdrawKeys sometimes withdraws a key directly at some hosts, and sometimes
// through the log. It records when a majority of the domains first holds a
// withdrawal.
func (s *sim) withdrawKeys() {
	if s.rand.Intn(30) == 0 {
		k := simKey(s.rand.Intn(simKeys))
		for _, h := range s.hosts {
			if s.rand.Intn(4) > 0 {
				h.store.Withdraw(k)
			}
		}
	}
	if s.rand.Intn(40) == 0 {
		w := Withdrawal{ID: fmt.Sprint("w", s.currentTick), Hashes: []KeyHash{simKey(s.rand.Intn(simKeys))}}
		data, _ := record{Withdraw: &w}.encode()
		s.log.append([][]byte{data})
	}
	for i := range simKeys {
		k := simKey(i)
		lacking := map[string]bool{}
		for _, h := range s.hosts {
			lacking[h.domain] = lacking[h.domain] || !h.store.View().Withdrawn(k)
		}
		holding := 0
		for _, lacks := range lacking {
			if !lacks {
				holding++
			}
		}
		if _, known := s.majorityWithdrawn[k]; !known && holding > 2 {
			s.majorityWithdrawn[k] = s.currentTick
		}
	}
}

// simOp is one load or change of one class by an operator. end is -1 while the
// outcome of a change is unknown.
type simOp struct {
	client    int
	class     int
	load      bool
	base      int64
	share     float64
	call, end int
	id        string
	accepted  bool
	version   int64
}

type simOperator struct {
	s          *sim
	id         int
	o          *Operator
	link       *link
	pending    pendingRecord
	op         *simOp
	lastLoaded *View
}

func (s *sim) newOperator() *simOperator {
	p := &simOperator{s: s, id: len(s.operators), link: &link{sim: s}}
	p.restart()
	return p
}

func (p *simOperator) restart() {
	p.o = NewOperator(p.link, p.s.clock, func() string { p.s.nonces++; return fmt.Sprint("op", p.s.nonces) })
	p.o.skipBarrier = p.s.disabled.barrier
	p.o.follower.fold.ignoreConflicts = p.s.disabled.conflicts
	p.o.follower.ignoreGaps = p.s.disabled.gaps
	p.lastLoaded = nil
}

func (p *simOperator) step() {
	if p.op == nil {
		if p.s.rand.Intn(4) == 0 {
			p.begin()
		}
		return
	}
	_, _ = p.o.follower.step(context.Background(), 0)
	if p.o.settled(p.pending) {
		p.finish()
	} else if p.s.currentTick-p.op.call > 60 {
		p.abandon()
	}
}

func (p *simOperator) begin() {
	s := p.s
	op := &simOp{client: p.id, class: s.rand.Intn(simClasses), load: p.lastLoaded == nil || s.rand.Intn(3) == 0, call: s.currentTick}
	var err error
	if op.load {
		p.pending, err = p.o.appendBarrier(context.Background())
	} else {
		op.base, op.share = p.lastLoaded.Version(), float64(1+s.rand.Intn(999))/1000
		op.id = p.o.ids()
		value := declaration.Document{Classes: []declaration.Class{{Name: fmt.Sprint("c", op.class), Share: op.share}}}.Objects()[0]
		c := Change{ID: op.id, Base: op.base, Upserts: []declaration.Object{value}}
		p.pending, err = p.o.appendRecord(context.Background(), op.id, record{Change: &c}, "propose")
	}
	if err == nil {
		p.op = op
	}
}

func (p *simOperator) finish() {
	op := p.op
	p.op, op.end = nil, p.s.currentTick
	delete(p.o.startSeen, p.pending.id)
	if op.load {
		p.lastLoaded = p.o.follower.fold.view()
		c, ok := p.lastLoaded.Class(fmt.Sprint("c", op.class))
		if !ok {
			return
		}
		op.share = c.Share
		op.version = p.o.follower.fold.changedAt(declaration.Ref{Kind: declaration.KindClass, Name: c.Name})
		p.s.ops = append(p.s.ops, op)
		return
	}
	v, known := p.o.verdicts[op.id]
	if !known {
		p.op = op
		p.abandon()
		return
	}
	op.accepted, op.version = v.Accepted, v.Version
	p.s.ops = append(p.s.ops, op)
}

// abandon ends an operation whose outcome the operator does not know. At the end
// of the schedule, the verdicts of simLog show whether a change took effect.
func (p *simOperator) abandon() {
	if !p.op.load {
		p.op.end = -1
		p.s.ops = append(p.s.ops, p.op)
	}
	p.op = nil
	p.restart()
}

type classState struct {
	share   float64
	version int64
}

// history converts the operations of the operators for porcupine.
func (s *sim) history() []porcupine.Operation {
	var history []porcupine.Operation
	for _, op := range s.ops {
		done := *op
		if op.end < 0 {
			v, decided := s.log.verdicts[op.id]
			if !decided || !v.Accepted {
				continue
			}
			done.accepted, done.version, done.end = true, v.Version, scheduleTicks*10
		}
		history = append(history, porcupine.Operation{ClientId: op.client, Input: done, Output: done, Call: int64(done.call) * 2, Return: int64(done.end)*2 + 1})
	}
	return history
}

// model is the sequential specification: one register per class that accepts a
// write only if the register has not changed since the base of the write.
func model() porcupine.Model {
	return porcupine.Model{
		Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
			parts := make([][]porcupine.Operation, simClasses)
			for _, op := range history {
				c := op.Input.(simOp).class
				parts[c] = append(parts[c], op)
			}
			return parts
		},
		Init: func() any { return classState{share: 0.5} },
		Step: func(state, input, _ any) (bool, any) {
			now, op := state.(classState), input.(simOp)
			switch {
			case op.load:
				return op.share == now.share && op.version == now.version, now
			case op.accepted:
				return now.version <= op.base && op.version > now.version, classState{op.share, op.version}
			default:
				return now.version > op.base, now
			}
		},
	}
}
