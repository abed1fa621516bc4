// Package quotashare asks the owners of teams for tokens and answers the questions of
// other hosts. The decisions are those of package quota.
//
// State: a quota.Book, the questions that await their answers, and the answers of the
// last seconds, so that a question that arrives twice is decided once. It is created
// with the first request of a team that has a quota, and dropped after idleTime without
// any.
package quotashare

import (
	"context"
	"expvar"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/clementineshed/clementineshed/pkg/quota"
	"github.com/clementineshed/clementineshed/pkg/sleep"
)

const (
	// updateInterval is how often the book takes in which hosts are heard.
	updateInterval = 250 * time.Millisecond
	// idleTime is the time without a question after which the state is dropped.
	idleTime = time.Minute
	// maxForwards bounds the questions that are being passed on to other owners.
	maxForwards = 1024
	// answerTime is for how long answers are kept, at least, for questions that arrive
	// again. It is longer than a question is awaited.
	answerTime = time.Second
	// maxUnanswered bounds the hosts that are asked in vain for one request, maxAsked those
	// that are asked at all: some may be stopping.
	maxUnanswered = 2
	maxAsked      = 4
	// maxNewOwnerWait bounds how long a request is held until a new owner grants, and
	// newOwnerSpread the random time added, so that held requests do not return at once.
	// Callers wait two seconds at least.
	maxNewOwnerWait = 1900 * time.Millisecond
	newOwnerSpread  = 100 * time.Millisecond
)

// patience says how long a question is awaited, and when it is sent again.
type patience struct{ resend, total time.Duration }

// The times of a question add up to 150 ms: to the owner, and then to its deputy, which
// asks the owner meanwhile. Answers take a few milliseconds between failure domains.
var (
	ownerPatience   = patience{35 * time.Millisecond, 85 * time.Millisecond}
	deputyPatience  = patience{30 * time.Millisecond, 65 * time.Millisecond}
	forwardPatience = patience{20 * time.Millisecond, 50 * time.Millisecond}
	returnPatience  = patience{200 * time.Millisecond, time.Second}
)

// Options configure a Service. All fields but Settled must be set. The functions must be
// safe for concurrent use.
type Options struct {
	Book quota.Options
	// Send sends a datagram to a host, and reports whether its address is known.
	Send func(host string, data []byte) bool
	// Heard is called with each host that has asked.
	Heard func(host string)
	// Peers returns what is known of the other hosts.
	Peers func() []quota.Peer
	// Settled, if it is set, returns the time until the other hosts are known.
	Settled func() time.Duration
	Metrics *Metrics
	Log     log.Interface
}

// Service decides on the tokens of this host's requests. It is safe for concurrent use.
type Service struct {
	opts     Options
	nextID   atomic.Uint64
	forwards chan struct{}

	mu sync.Mutex
	// book is nil while no team with a quota is served; guarded by mu, like the fields
	// below.
	book    *quota.Book
	leaving bool
	usedAt  time.Time
	// pending holds the questions that await answers, late those that are no longer
	// awaited, with what is to be given back if they are granted.
	pending map[uint64]chan<- answer
	late    map[uint64]lateQuestion
	// answers holds those of the current answerTime, oldAnswers those of the last one.
	// An answer is nil while its question is being passed on.
	answers, oldAnswers map[questionKey][]byte
	rotatedAt           time.Time
}

type questionKey struct {
	host string
	id   uint64
}

type lateQuestion struct {
	team, host string
	tokens     float64
	at         time.Time
}

// New returns a service. Run must be running while it is used.
func New(opts Options) *Service {
	s := &Service{opts: opts, forwards: make(chan struct{}, maxForwards), pending: map[uint64]chan<- answer{}, late: map[uint64]lateQuestion{},
		answers: map[questionKey][]byte{}, oldAnswers: map[questionKey][]byte{}}
	// Ids of a process that ran before under the same name must not be taken for ours.
	s.nextID.Store(rand.Uint64())
	return s
}

// Run updates the book until ctx ends.
func (s *Service) Run(ctx context.Context) {
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			s.update(now)
		}
	}
}

// Leave hands all teams over to other hosts. The service decides on further requests
// by asking them.
func (s *Service) Leave() {
	s.mu.Lock()
	s.leaving = true
	if s.book != nil {
		s.book.Leave()
	}
	s.mu.Unlock()
	s.update(time.Now())
}

// active returns the book, and creates it if there is none. It must be called with mu
// held.
func (s *Service) active(now time.Time) *quota.Book {
	s.usedAt = now
	if s.book == nil {
		s.book = quota.NewBook(s.opts.Book)
		if s.leaving {
			s.book.Leave()
		}
		// There are no buckets to hand over yet.
		s.book.Update(now, s.opts.Peers())
		s.rotatedAt = now
	}
	return s.book
}

func (s *Service) update(now time.Time) {
	s.mu.Lock()
	if s.book == nil {
		s.mu.Unlock()
		return
	}
	if now.Sub(s.usedAt) > idleTime {
		s.book = nil
		s.mu.Unlock()
		return
	}
	handovers, stops := s.book.Update(now, s.opts.Peers()), int64(0)
	if s.leaving {
		stops = 1
	}
	if now.Sub(s.rotatedAt) > answerTime {
		s.answers, s.oldAnswers, s.rotatedAt = map[questionKey][]byte{}, s.answers, now
		for id, l := range s.late {
			if now.Sub(l.at) > answerTime {
				delete(s.late, id)
			}
		}
	}
	s.mu.Unlock()
	for _, o := range handovers {
		s.opts.Metrics.Questions.Add("handover", 1)
		go func() {
			if _, ok := s.ask(context.Background(), o.To, question{Kind: kindHandover, Team: o.Team, Tokens: o.Level, Stamp: stops}, returnPatience); !ok {
				s.opts.Log.WithFields(log.Fields{"team": o.Team, "to": o.To}).Info("quota_not_handed_over")
			}
		}()
	}
}

// Result is a decision on a request.
type Result struct {
	quota.Decision
	// Owner decided; it is empty if no owner answered and the decision is within this
	// host's own share.
	Owner  string
	Tokens float64
}

// Take decides on a request of a team. If tokens are granted for later it waits for
// that time. Tokens that the request does not spend must be given back with Return.
func (s *Service) Take(ctx context.Context, team string, limit quota.Limit, tokens float64) Result {
	if s.opts.Settled != nil {
		sleep.For(ctx, s.opts.Settled())
	}
	r := s.decide(ctx, team, limit, tokens)
	// The requests that were held until a new owner refills are more than it has credit for
	// then, so that they ask again.
	if began := time.Now(); r.Reason == quota.ReasonNewOwner {
		for ctx.Err() == nil && !r.Grant && r.Reason != quota.ReasonTooLarge && time.Since(began)+r.After < maxNewOwnerWait {
			sleep.For(ctx, r.After+rand.N(newOwnerSpread))
			r = s.decide(ctx, team, limit, tokens)
		}
	}
	if r.Grant {
		sleep.For(ctx, r.After)
	}
	s.opts.Metrics.record(team, r)
	return r
}

func (s *Service) decide(ctx context.Context, team string, limit quota.Limit, tokens float64) Result {
	q := question{Kind: kindAsk, Team: team, Rate: limit.Rate, Burst: limit.Burst, Tokens: tokens}
	wait, last, unanswered := ownerPatience, "", 0
	for range maxAsked {
		now := time.Now()
		s.mu.Lock()
		book := s.active(now)
		owner := book.Owner(team)
		if owner == last {
			owner = book.Deputy(team, last)
		}
		if owner == s.opts.Book.Host {
			d := book.Decide(team, limit, tokens, now)
			s.mu.Unlock()
			return Result{Decision: d, Owner: owner, Tokens: tokens}
		}
		s.mu.Unlock()
		if owner == "" {
			break
		}
		a, ok := s.ask(ctx, owner, q, wait)
		if ok && a.Decided {
			return Result{Decision: a.decision(), Owner: a.Owner, Tokens: tokens}
		}
		if ctx.Err() != nil {
			break
		}
		last = owner
		if !ok {
			unanswered++
			wait = deputyPatience
		}
		if unanswered == maxUnanswered {
			break
		}
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.opts.Metrics.Questions.Add("own_share", 1)
	return Result{Decision: s.active(now).DecideLocal(team, limit, tokens, now), Tokens: tokens}
}

func (a answer) decision() quota.Decision {
	return quota.Decision{Grant: a.Grant, After: time.Duration(a.AfterMicros) * time.Microsecond, Reason: quota.Reason(a.Reason), Stamp: a.Stamp, Level: a.Level, Share: a.Share}
}

// ask sends a question to a host, once again if it is not answered in time. The owner
// in the answer is set.
func (s *Service) ask(ctx context.Context, host string, q question, wait patience) (answer, bool) {
	q.Host, q.ID = s.opts.Book.Host, s.nextID.Add(1)
	data, answered, asked := encode(q), make(chan answer, 1), time.Now()
	s.mu.Lock()
	s.pending[q.ID] = answered
	s.mu.Unlock()
	timer := time.NewTimer(wait.resend)
	defer timer.Stop()
	sent := s.opts.Send(host, data)
	s.opts.Metrics.Questions.Add("asked", 1)
	for resent := false; sent; {
		select {
		case a := <-answered:
			s.mu.Lock()
			switch {
			case s.book == nil:
			case a.Decided:
				s.book.Answered(q.Team, host, time.Now())
			case a.Reason == reasonLeaving:
				s.book.Left(host, time.Now())
			}
			s.mu.Unlock()
			if a.Owner == "" {
				a.Owner = host
			}
			return a, true
		case <-timer.C:
			if sent = !resent; sent {
				resent = true
				s.opts.Send(host, data)
				s.opts.Metrics.Questions.Add("resent", 1)
				timer.Reset(wait.total - wait.resend)
			}
		case <-ctx.Done():
			sent = false
		}
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, q.ID)
	if q.Kind == kindAsk || q.Kind == kindForwarded {
		s.late[q.ID] = lateQuestion{team: q.Team, host: host, tokens: q.Tokens, at: now}
	}
	if ctx.Err() == nil {
		s.opts.Metrics.Questions.Add("unanswered", 1)
		if s.book != nil && s.book.Suspect(host, asked, now) {
			s.opts.Log.WithFields(log.Fields{"owner": host, "team": q.Team}).Info("quota_owner_silent")
		}
	}
	return answer{}, false
}

// Return gives back the tokens of a granted request that has not run.
func (s *Service) Return(team string, r Result) {
	if !r.Grant {
		return
	}
	s.opts.Metrics.returned(team, r.Tokens)
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.book == nil:
	case r.Owner == "":
		s.book.ReturnLocal(team, r.Tokens, r.Stamp, now)
	case r.Owner == s.opts.Book.Host:
		s.book.Return(team, r.Tokens, r.Stamp, now)
	default:
		s.sendReturn(team, r.Owner, r.Tokens, r.Stamp)
	}
}

func (s *Service) sendReturn(team, owner string, tokens float64, stamp int64) {
	go func() {
		s.ask(context.Background(), owner, question{Kind: kindReturn, Team: team, Tokens: tokens, Stamp: stamp}, returnPatience)
	}()
}

// Receive takes a datagram of another host that begins with QuestionHeader or
// AnswerHeader. reply sends a datagram to its sender, also after Receive has returned.
func (s *Service) Receive(data []byte, reply func([]byte)) {
	var err error
	if data[0] == AnswerHeader {
		var a answer
		if err = cbor.Unmarshal(data, &a); err == nil {
			s.receiveAnswer(a)
		}
	} else {
		var q question
		if err = cbor.Unmarshal(data, &q); err == nil {
			s.opts.Heard(q.Host)
			s.receiveQuestion(q, reply)
		}
	}
	if err != nil {
		s.opts.Log.WithError(err).Warn("quota_datagram_not_readable")
	}
}

func (s *Service) receiveAnswer(a answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if answered := s.pending[a.ID]; answered != nil {
		delete(s.pending, a.ID)
		answered <- a
		return
	}
	l, ok := s.late[a.ID]
	if !ok {
		return
	}
	delete(s.late, a.ID)
	if s.book != nil {
		s.book.Answered(l.team, l.host, time.Now())
	}
	if a.Grant {
		if a.Owner != "" {
			l.host = a.Owner
		}
		s.sendReturn(l.team, l.host, l.tokens, a.Stamp)
	}
}

// receiveQuestion answers a question, again in the same way if it is a repeated one.
func (s *Service) receiveQuestion(q question, reply func([]byte)) {
	now, key := time.Now(), questionKey{q.Host, q.ID}
	s.mu.Lock()
	defer s.mu.Unlock()
	data, known := s.answers[key]
	if !known {
		data, known = s.oldAnswers[key]
	}
	if known {
		if data != nil {
			reply(data)
		}
		return
	}
	book := s.active(now)
	a := answer{ID: q.ID}
	switch q.Kind {
	case kindAsk, kindForwarded:
		if s.leaving {
			a.Reason = reasonLeaving
			break
		}
		if owner := book.Owner(q.Team); owner != s.opts.Book.Host && q.Kind == kindAsk {
			s.answers[key] = nil
			s.forward(owner, q, reply)
			return
		}
		a = s.decideFor(q, now)
	case kindReturn:
		book.Return(q.Team, q.Tokens, q.Stamp, now)
	case kindHandover:
		if q.Stamp == 1 {
			book.Left(q.Host, now)
		}
		book.Accept(q.Team, q.Tokens, now)
	}
	s.answers[key] = encode(a)
	reply(s.answers[key])
}

// decideFor decides on a question as the owner. It must be called with mu held.
func (s *Service) decideFor(q question, now time.Time) answer {
	d := s.active(now).Decide(q.Team, quota.Limit{Rate: q.Rate, Burst: q.Burst}, q.Tokens, now)
	return answer{ID: q.ID, Grant: d.Grant, AfterMicros: d.After.Microseconds(), Reason: string(d.Reason), Stamp: d.Stamp, Level: math.Round(d.Level), Share: math.Round(d.Share*1000) / 1000, Decided: true}
}

// forward passes a question on to the owner and its answer back. If the owner does not
// answer, this host decides if it is the owner now. It must be called with mu held.
func (s *Service) forward(owner string, q question, reply func([]byte)) {
	select {
	case s.forwards <- struct{}{}:
	default:
		return
	}
	s.opts.Metrics.Questions.Add("forwarded", 1)
	go func() {
		defer func() { <-s.forwards }()
		f := q
		f.Kind = kindForwarded
		a, ok := s.ask(context.Background(), owner, f, forwardPatience)
		s.mu.Lock()
		if !ok {
			a = answer{}
			if now := time.Now(); s.active(now).Owner(q.Team) == s.opts.Book.Host {
				a = s.decideFor(q, now)
			}
		}
		a.ID = q.ID
		data := encode(a)
		s.answers[questionKey{q.Host, q.ID}] = data
		s.mu.Unlock()
		reply(data)
	}()
}

// Metrics are the counters of a Service. They are safe for concurrent use.
type Metrics struct {
	// Questions counts questions: asked, resent, unanswered, forwarded to another owner,
	// handover, and requests decided within the own_share.
	Questions expvar.Map
	// Granted, Refused and Returned count the tokens of this host's requests, by team.
	// Refusals counts refused requests by reason.
	Granted, Refused, Returned, Refusals expvar.Map
}

// NewMetrics returns metrics at zero.
func NewMetrics() *Metrics {
	m := &Metrics{}
	for _, v := range []*expvar.Map{&m.Questions, &m.Granted, &m.Refused, &m.Returned, &m.Refusals} {
		v.Init()
	}
	return m
}

func (m *Metrics) record(team string, r Result) {
	if r.Grant {
		m.Granted.Add(team, int64(r.Tokens))
		return
	}
	m.Refused.Add(team, int64(r.Tokens))
	m.Refusals.Add(string(r.Reason), 1)
}

func (m *Metrics) returned(team string, tokens float64) { m.Returned.Add(team, int64(tokens)) }

// State is what a host knows of the quotas.
type State struct {
	// Known and Heard count hosts, with this one.
	Known, Heard int
	// Owned are the teams that this host owns.
	Owned []quota.Usage
}

// State returns the present state; it is zero if no team with a quota is served.
func (s *Service) State() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.book == nil {
		return State{}
	}
	known, heard := s.book.Hosts()
	return State{Known: known, Heard: heard, Owned: s.book.Owned()}
}
