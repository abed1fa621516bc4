package quarantine

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/logservice"
	"github.com/clementineshed/clementineshed/pkg/membership"
)

const (
	// SuspicionTTL is how long a crash keeps a request suspected.
	SuspicionTTL = 10 * time.Minute
	// QuarantineTTL is how long a quarantine lasts. By its end a new engine
	// version may be able to run the request.
	QuarantineTTL = time.Hour
	// claimTTL is the lifetime of a KindRun entry. It releases the request if the
	// host dies while it runs it.
	claimTTL = time.Minute
	// readWait is how long one read of the stream waits for records.
	readWait = 10 * time.Second
	// retryDelay is the delay after a failed read or append.
	retryDelay = 2 * time.Second
	// readLimit bounds the records of one read.
	readLimit = 500
	// maxPending bounds the records that wait to be appended. The oldest are
	// dropped first, since gossip spreads them too.
	maxPending = 1000
	// sweepInterval is how often expired state is dropped.
	sweepInterval = time.Minute
)

// Kinds of membership entries.
const (
	// KindCrash entries have the key <fingerprint>/<endpoint>/<instance> and a
	// crashValue as value.
	KindCrash = "quarantine/crash"
	// KindRefuted entries have a feature as key. A request with it has completed.
	KindRefuted = "quarantine/refuted"
	// KindQuarantined entries have the fingerprint as key.
	KindQuarantined = "quarantine/blocked"
	// KindRun entries have the fingerprint as key. Their value is not empty while
	// the host runs the suspected request.
	KindRun = "quarantine/run"
)

var (
	// ErrQuarantined is returned for a quarantined request. The request did not
	// run; clients get the code request_quarantined.
	ErrQuarantined = errors.New("request crashed endpoints and is in quarantine")
	// ErrRunning is returned for a suspected request while one with the same
	// fingerprint is running. The request did not run and may be sent again later.
	ErrRunning = errors.New("request is suspected of crashing endpoints and is running already")
)

// Table is the part of membership.Table that the service uses.
type Table interface {
	Publish(membership.Entry) error
	Get(kind, key string) (membership.Entry, bool)
	Subscribe(kind string, f func(membership.Entry))
}

// Options configure a Service.
type Options struct {
	// Host is the id of this host.
	Host string
	// Table spreads crashes, quarantines and runs between hosts.
	Table Table
	// Log holds the quarantine stream.
	Log   logservice.Client
	Clock clockwork.Clock
	// Logger receives the log messages.
	Logger log.Interface
}

// record is one record of the quarantine stream.
type record struct {
	Fingerprint string `json:"fingerprint"`
	TTLMillis   int64  `json:"ttl_ms"`
	Host        string `json:"host"`
}

// crashValue is the value of a KindCrash entry: the features of the request, when it was
// sent and when its endpoint crashed, in Unix milliseconds.
type crashValue struct {
	Features   []Feature `json:"features"`
	SentMillis int64     `json:"sent_ms"`
	AtMillis   int64     `json:"at_ms"`
}

// evidence returns the evidence of a crash.
func (v crashValue) evidence(crash Crash, now time.Time) Evidence {
	e := Evidence{Crash: crash, Age: now.Sub(time.UnixMilli(v.AtMillis))}
	for _, f := range v.Features {
		e.Running = append(e.Running, RunningFeature{Feature: f, SentAge: now.Sub(time.UnixMilli(v.SentMillis))})
	}
	return e
}

// Service admits requests and shares crashes and quarantines with the other
// hosts. It is safe for concurrent use.
type Service struct {
	opts   Options
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	wake   chan struct{}

	// mu guards the fields below.
	mu       sync.Mutex
	tracker  *tracker
	suspects *Suspects
	pending  [][]byte
}

// New returns a service that is subscribed to the membership table. It uses the
// quarantine stream only after Start.
func New(opts Options) *Service {
	s := &Service{opts: opts, tracker: newTracker(), suspects: NewSuspects(), wake: make(chan struct{}, 1)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	opts.Table.Subscribe(KindCrash, s.onCrashEntry)
	opts.Table.Subscribe(KindQuarantined, s.onQuarantineEntry)
	opts.Table.Subscribe(KindRefuted, s.onRefutedEntry)
	return s
}

// Start starts to read and append to the quarantine stream and to drop expired
// state. Call it at most once, and Close afterwards.
func (s *Service) Start() {
	s.wg.Go(s.readStream)
	s.wg.Go(s.runAppends)
	s.wg.Go(s.sweep)
}

// Close stops the goroutines of Start and waits for them. Records that are not
// appended yet are dropped; gossip has spread them.
func (s *Service) Close() {
	s.cancel()
	s.wg.Wait()
}

// Quarantined returns the number of quarantined fingerprints, including those whose
// quarantine ended after the last sweep.
func (s *Service) Quarantined() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tracker.quarantined)
}

// Attempt is one run of a request on one endpoint. It is safe for concurrent
// use.
type Attempt struct {
	// Exclusive is set if the request is suspected. The endpoint must then run
	// nothing else until the attempt ends.
	Exclusive bool

	service *Service
	request Request
	sentAt  time.Time
	once    sync.Once
}

// Begin admits a request to one endpoint. The error is ErrQuarantined or
// ErrRunning; in both cases the request did not run. The caller ends the attempt
// with Completed, Crashed or Done. Only the first of these calls has an effect.
func (s *Service) Begin(request Request) (*Attempt, error) {
	f := request.Fingerprint
	now := s.opts.Clock.Now()
	claim, ok := s.opts.Table.Get(KindRun, f.String())
	runningElsewhere := ok && len(claim.Value) > 0 && claim.Host != s.opts.Host
	s.mu.Lock()
	verdict := s.tracker.decide(f, runningElsewhere, now)
	if s.suspects.Harmful(request.Features, now) {
		verdict = Quarantined
	}
	if verdict == RunExclusive {
		s.tracker.runningExclusive[f] = true
	}
	s.mu.Unlock()
	switch verdict {
	case Quarantined:
		return nil, ErrQuarantined
	case AlreadyRunning:
		return nil, ErrRunning
	case RunExclusive:
		s.publishClaim(f, []byte{1})
	}
	return &Attempt{Exclusive: verdict == RunExclusive, service: s, request: request, sentAt: now}, nil
}

// Completed ends the attempt after a complete answer.
func (a *Attempt) Completed() {
	a.once.Do(func() {
		a.service.recordSuccess(a.request.Features)
		a.end()
	})
}

// Done ends the attempt without a crash and without a complete answer.
func (a *Attempt) Done() { a.once.Do(a.end) }

// Crashed ends the attempt after a crash of its endpoint: the connection was
// reset and the instance is gone or has changed. It must not be called for an
// endpoint that left as announced.
func (a *Attempt) Crashed(endpoint, instance string) {
	a.once.Do(func() {
		a.service.recordCrash(a, Crash{Endpoint: endpoint, Process: instance})
		a.end()
	})
}

func (a *Attempt) end() {
	if !a.Exclusive {
		return
	}
	a.service.mu.Lock()
	delete(a.service.tracker.runningExclusive, a.request.Fingerprint)
	a.service.mu.Unlock()
	a.service.publishClaim(a.request.Fingerprint, nil)
}

// publishClaim publishes whether this host runs the suspected request; an empty
// value means that it does not.
func (s *Service) publishClaim(f Fingerprint, value []byte) {
	s.publish(membership.Entry{Kind: KindRun, Key: f.String(), Value: value, TTL: claimTTL, Version: uint64(s.opts.Clock.Now().UnixNano())})
}

// recordCrash records a crash that this host detected. It publishes the crash if
// it is new, and the quarantine if one is due.
func (s *Service) recordCrash(a *Attempt, process Crash) {
	f, crash := a.request.Fingerprint, process.Endpoint+"/"+process.Process
	now := s.opts.Clock.Now()
	// Hosts have only the time of day in common.
	value := crashValue{Features: a.request.Features, SentMillis: a.sentAt.UnixMilli(), AtMillis: now.UnixMilli()}
	s.mu.Lock()
	suspected := s.suspects.Record(value.evidence(process, now), now)
	isNew, quarantine := s.tracker.addCrash(f, crash, now.Add(SuspicionTTL), now)
	if quarantine {
		s.tracker.quarantine(f, now.Add(QuarantineTTL))
	}
	s.mu.Unlock()
	s.logSuspected(suspected, process)
	if isNew {
		data, err := json.Marshal(value)
		if err != nil {
			s.opts.Logger.WithError(err).Error("crash not encoded; other hosts count it against the whole request only")
		}
		s.publish(membership.Entry{Kind: KindCrash, Key: f.String() + "/" + crash, Value: data, Version: 1, TTL: SuspicionTTL, Lasting: true})
		s.opts.Logger.WithFields(log.Fields{"fingerprint": f.String(), "crash": crash}).Warn("request suspected after endpoint crash")
	}
	if quarantine {
		s.announceQuarantine(f, now)
	}
}

// announceQuarantine publishes a quarantine that this host decided on and queues
// its record for the quarantine stream.
func (s *Service) announceQuarantine(f Fingerprint, now time.Time) {
	until := now.Add(QuarantineTTL)
	s.publish(membership.Entry{Kind: KindQuarantined, Key: f.String(), Version: uint64(until.UnixMilli()), TTL: QuarantineTTL, Lasting: true})
	s.opts.Logger.WithFields(log.Fields{"fingerprint": f.String(), "until": until.UTC().Format(time.RFC3339)}).Warn("request quarantined")
	data, err := json.Marshal(record{Fingerprint: f.String(), TTLMillis: QuarantineTTL.Milliseconds(), Host: s.opts.Host})
	if err != nil {
		return
	}
	s.mu.Lock()
	s.pending = append(s.pending, data)
	s.pending = s.pending[max(0, len(s.pending)-maxPending):]
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *Service) publish(e membership.Entry) {
	e.Scope = membership.ScopeGlobal
	if err := s.opts.Table.Publish(e); err != nil && !errors.Is(err, membership.ErrStale) {
		s.opts.Logger.WithFields(log.Fields{"kind": e.Kind, "error": err.Error()}).Error("publishing the membership entry failed")
	}
}

// onCrashEntry handles a KindCrash entry of the membership table.
func (s *Service) onCrashEntry(e membership.Entry) {
	id, crash, _ := strings.Cut(e.Key, "/")
	f, ok := parseFingerprint(id)
	if !ok || crash == "" {
		return
	}
	now := s.opts.Clock.Now()
	var value crashValue
	// Hosts of an earlier version send no value.
	if err := json.Unmarshal(e.Value, &value); err != nil && len(e.Value) > 0 {
		s.opts.Logger.WithError(err).WithField("host", e.Host).Warn("features of a crash not readable")
	}
	// Endpoint names may have slashes, processes have none.
	i := strings.LastIndexByte(crash, '/')
	process := Crash{Endpoint: crash[:max(i, 0)], Process: crash[i+1:]}
	s.mu.Lock()
	suspected := s.suspects.Record(value.evidence(process, now), now)
	_, quarantine := s.tracker.addCrash(f, crash, now.Add(e.TTL), now)
	if quarantine {
		// Two hosts may each have detected one crash, so every host that
		// receives both entries announces the quarantine.
		s.tracker.quarantine(f, now.Add(QuarantineTTL))
	}
	s.mu.Unlock()
	s.logSuspected(suspected, process)
	if quarantine {
		s.announceQuarantine(f, now)
	}
}

func (s *Service) logSuspected(features []Feature, crash Crash) {
	for _, f := range features {
		s.opts.Logger.WithFields(log.Fields{"feature": f.String(), "endpoint": crash.Endpoint}).Warn("requests suspected after endpoint crashes")
	}
}

// recordSuccess refutes what counts against the features of a completed request, and
// tells the other hosts.
func (s *Service) recordSuccess(features []Feature) {
	s.mu.Lock()
	refuted := s.suspects.RecordSuccess(features)
	s.mu.Unlock()
	for _, f := range refuted {
		s.publish(membership.Entry{Kind: KindRefuted, Key: f.String(), Value: []byte{1}, Version: uint64(s.opts.Clock.Now().UnixNano()), TTL: SuspicionTTL, Lasting: true})
	}
}

// onRefutedEntry handles a KindRefuted entry of the membership table.
func (s *Service) onRefutedEntry(e membership.Entry) {
	f, err := strconv.ParseUint(e.Key, 16, 64)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects.RecordSuccess([]Feature{Feature(f)})
}

// onQuarantineEntry handles a KindQuarantined entry of the membership table.
func (s *Service) onQuarantineEntry(e membership.Entry) {
	if f, ok := parseFingerprint(e.Key); ok {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.tracker.quarantine(f, s.opts.Clock.Now().Add(e.TTL))
	}
}
