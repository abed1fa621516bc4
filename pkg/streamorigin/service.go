package streamorigin

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/logservice"
	"github.com/clementineshed/clementineshed/pkg/sleep"
)

const (
	// recordKind is the kind of the log's entries.
	recordKind = "origin"
	// readLimit is the number of records of one read, callTimeout bounds a call.
	readLimit   = 4096
	callTimeout = 700 * time.Millisecond
	// resolveTimeout bounds the decision on a stream that is taken up. Callers disconnect
	// after two seconds without an event.
	resolveTimeout = 1200 * time.Millisecond
	// establishTimeout bounds the wait of a stream's first event for the record of its
	// version. It occurs once for each version at a host. After a failure it is tried again
	// after establishPause, but streams of a version that the log has named before do not wait
	// for waitPause, so that an outage of the log delays few of them.
	establishTimeout = time.Second
	establishPause   = time.Second
	waitPause        = 20 * time.Second
	// maxRestarts bounds how often a read starts again because the log has changed its era.
	maxRestarts = 4
	// minFlushInterval and flushIntervalPerHost bound the appends of attempts: all hosts
	// together make at most 40 a second, of the several hundred that the service takes.
	minFlushInterval     = 100 * time.Millisecond
	flushIntervalPerHost = 25 * time.Millisecond
	// maxQueued bounds the attempts that wait to be appended. The oldest are discarded.
	maxQueued = 1 << 14
	// renewalAge is the age at which a leader records again that a version is in service;
	// other hosts do so at twice the age. checkInterval is the time between two checks.
	renewalAge    = 20 * time.Second
	checkInterval = 250 * time.Millisecond
	// newVersionSpreadPerHost spreads the reads and records of hosts that learn of a version
	// at the same moment.
	newVersionSpreadPerHost = 5 * time.Millisecond
)

// ErrUnknown reports that it is not known which software version began a stream.
var ErrUnknown = errors.New("it is not known which software version began the stream")

// Options are the dependencies of a Service.
type Options struct {
	Client logservice.Client
	// Services returns the services whose streams callers may take up, Serving the software
	// versions of the announced endpoints of one. The slices are not modified.
	Services func() []string
	Serving  func(service string) []string
	// LiveHosts returns the number of hosts; values below 1 count as 1.
	LiveHosts func() int
	// Leads reports whether this host reads the log for others.
	Leads func() bool
	Log   log.Interface
}

// Service keeps Origins in line with the log. Run must be running. Its methods are safe for
// concurrent use.
type Service struct {
	opts Options
	// wake tells Run that attempts are queued.
	wake chan struct{}

	mu sync.Mutex
	// The fields below are guarded by mu.
	origins *Origins
	// own holds the attempts that this process has begun, whose origin needs no read.
	own *Origins
	// recorded holds when the log last named each version in its present era.
	recorded map[version]time.Time
	// several holds the services of which more than one version is known.
	several map[string]bool
	// establishAfter is when a version may be established again after a failure, waitAfter when
	// streams of a version that was recorded long ago wait for it again.
	establishAfter, waitAfter time.Time
	queue                     []queued
	// era and next are the position of the next read.
	era, next int64
	// reading is the read in progress, following the one that begins after it.
	reading, following *read
}

type queued struct {
	version version
	attempt Attempt
	at      time.Time
}

// read is a read of the log to its end.
type read struct {
	done chan struct{}
	err  error
}

// New returns a service that knows nothing yet.
func New(opts Options) *Service {
	return &Service{opts: opts, wake: make(chan struct{}, 1), origins: NewOrigins(), own: NewOrigins(), recorded: map[version]time.Time{}, several: map[string]bool{}}
}

// Began records that a stream of an attempt has begun at a software version. It must be called
// before the first event is passed on, and returns once other hosts can learn of the version,
// or after establishTimeout.
func (s *Service) Began(ctx context.Context, service, software, attempt string) {
	v, a, now := version{service, software}, AttemptOf(service, attempt), time.Now()
	s.mu.Lock()
	s.own.begin(a, v, now)
	wait := s.mustWait(v, now)
	s.mu.Unlock()
	if wait {
		// That a caller leaves says nothing of the log.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), establishTimeout)
		defer cancel()
		if err := s.establish(ctx, v, renewalAge); err != nil {
			s.opts.Log.WithFields(log.Fields{"service": service, "software": software}).WithError(err).Warn("software_version_not_recorded")
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.several[service] {
		s.enqueue(queued{v, a, now})
	}
	s.countVersions(service, now)
}

// mustWait reports whether a first event waits until the log names its version. It must be called
// with mu held.
func (s *Service) mustWait(v version, now time.Time) bool {
	at, wasRecorded := s.recorded[v]
	if !wasRecorded {
		return now.After(s.establishAfter)
	}
	return now.Sub(at) >= Retention/2 && now.After(s.waitAfter)
}

// countVersions finds out whether several versions of a service are known. Once they are, all
// attempts that this host has begun are queued: so far their version went without saying. It
// must be called with mu held.
func (s *Service) countVersions(service string, now time.Time) {
	several := len(s.origins.Versions(service, s.opts.Serving(service), now)) > 1
	if several && !s.several[service] {
		s.enqueueOwn(service)
	}
	s.several[service] = several
}

// enqueueOwn queues the attempts of a service that this host has begun, of all services if it
// is empty. It must be called with mu held.
func (s *Service) enqueueOwn(service string) {
	for _, a := range s.own.attempts.Keys() {
		if b, _ := s.own.attempts.Peek(a); b.software != "" && (service == "" || b.service == service) && time.Since(b.at) < Retention {
			s.enqueue(queued{b.version, a, b.at})
		}
	}
}

// enqueue must be called with mu held.
func (s *Service) enqueue(q queued) {
	if len(s.queue) >= maxQueued {
		s.queue = s.queue[1:]
	}
	s.queue = append(s.queue, q)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Origin returns the software version that began the stream of an attempt. Errors wrap
// ErrUnknown.
func (s *Service) Origin(ctx context.Context, service, attempt string) (software string, err error) {
	a := AttemptOf(service, attempt)
	if software, found := s.begunHere(a); found {
		return software, nil
	}
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	for retried := false; ; retried = true {
		if err := s.refresh(ctx); err != nil {
			return "", errors.Wrap(ErrUnknown, err.Error())
		}
		s.mu.Lock()
		software, known := s.origins.Origin(service, a, s.opts.Serving(service), time.Now())
		s.mu.Unlock()
		if known {
			return software, nil
		}
		if retried {
			return "", errors.Wrapf(ErrUnknown, "attempt %q", attempt)
		}
		// The host that began it may append it within its flush interval.
		sleep.For(ctx, s.flushInterval()+minFlushInterval)
	}
}

func (s *Service) begunHere(a Attempt) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, found := s.own.attempts.Peek(a)
	return b.software, found && b.software != "" && time.Since(b.at) < Retention
}

// Run appends what this host has begun and records the versions in service until ctx ends.
func (s *Service) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.flushQueue(ctx) })
	s.recordVersions(ctx)
	wg.Wait()
}

func (s *Service) flushInterval() time.Duration {
	return max(minFlushInterval, time.Duration(s.opts.LiveHosts())*flushIntervalPerHost)
}

// flushQueue appends the queued attempts until ctx ends.
func (s *Service) flushQueue(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		if err := s.flush(ctx); err != nil && ctx.Err() == nil {
			s.opts.Log.WithError(err).Warn("stream_origins_not_recorded")
		}
		sleep.For(ctx, s.flushInterval())
	}
}

// flush appends the queue. After an error it is queued again: a record that is appended twice
// changes nothing.
func (s *Service) flush(ctx context.Context) error {
	s.mu.Lock()
	batch := s.queue
	s.queue = nil
	s.mu.Unlock()
	now := time.Now()
	byVersion := map[version][]Attempt{}
	for _, q := range batch {
		if now.Sub(q.at) < Retention {
			byVersion[q.version] = append(byVersion[q.version], q.attempt)
		}
	}
	if len(byVersion) == 0 {
		return nil
	}
	records := make([]Record, 0, len(byVersion))
	for v, attempts := range byVersion {
		records = append(records, newRecord(v.service, v.software, attempts, now))
	}
	if err := s.append(ctx, records); err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		for _, q := range batch {
			s.enqueue(q)
		}
		return err
	}
	return nil
}

// recordVersions records the versions in service that the log does not name, and those that it
// named long ago, until ctx ends.
func (s *Service) recordVersions(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		for _, service := range s.opts.Services() {
			s.mu.Lock()
			s.countVersions(service, time.Now())
			s.mu.Unlock()
			for _, software := range s.opts.Serving(service) {
				s.recordVersion(ctx, version{service, software})
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Service) recordVersion(ctx context.Context, v version) {
	age, now := renewalAge, time.Now()
	if !s.opts.Leads() {
		age *= 2
	}
	s.mu.Lock()
	due := now.After(s.establishAfter) && now.Sub(s.recorded[v]) >= age
	s.mu.Unlock()
	if v.software == "" || !due || ctx.Err() != nil {
		return
	}
	if !s.opts.Leads() {
		sleep.For(ctx, rand.N(max(1, time.Duration(s.opts.LiveHosts())*newVersionSpreadPerHost)))
	}
	if err := s.establish(ctx, v, age); err != nil && ctx.Err() == nil {
		s.opts.Log.WithFields(log.Fields{"service": v.service, "software": v.software}).WithError(err).Warn("software_version_not_recorded")
	}
}

// establish makes sure that the log names a version, in a record that is younger than age.
func (s *Service) establish(ctx context.Context, v version, age time.Duration) error {
	err := s.refresh(ctx)
	if err == nil {
		s.mu.Lock()
		at := s.recorded[v]
		s.mu.Unlock()
		if time.Since(at) < age {
			return nil
		}
		err = s.append(ctx, []Record{newRecord(v.service, v.software, nil, time.Now())})
	}
	if err != nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		now := time.Now()
		s.establishAfter, s.waitAfter = now.Add(establishPause), now.Add(waitPause)
	}
	return err
}

// append appends records and applies them.
func (s *Service) append(ctx context.Context, records []Record) error {
	data := make([][]byte, 0, len(records))
	for _, r := range records {
		entry, err := logservice.NewEntry(uuid.NewString(), recordKind, r)
		if err != nil {
			return err
		}
		encoded, err := entry.Encode()
		if err != nil {
			return err
		}
		data = append(data, encoded)
	}
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if _, err := s.opts.Client.Append(ctx, logservice.StreamOrigins, data); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.era == era {
		s.apply(records, time.Now())
	}
	return nil
}

// apply must be called with mu held.
func (s *Service) apply(records []Record, now time.Time) {
	for _, r := range records {
		s.origins.Apply(r, now)
		v := version{r.Service, r.Software}
		if at := s.origins.InService(v.service, v.software, now); !at.IsZero() {
			s.recorded[v] = at
		}
	}
}

// refresh reads the log to its end, with a read that begins after the call.
func (s *Service) refresh(ctx context.Context) error {
	s.mu.Lock()
	var r *read
	switch {
	case s.reading == nil:
		r = &read{done: make(chan struct{})}
		s.reading = r
		go s.runReads(r)
	case s.following == nil:
		s.following = &read{done: make(chan struct{})}
		r = s.following
	default:
		r = s.following
	}
	s.mu.Unlock()
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// runReads performs a read, and those that were asked for meanwhile.
func (s *Service) runReads(r *read) {
	for r != nil {
		r.err = s.readToEnd()
		close(r.done)
		s.mu.Lock()
		r = s.following
		s.reading, s.following = r, nil
		s.mu.Unlock()
	}
}

// readToEnd folds the records up to the end that the first read states.
func (s *Service) readToEnd() error {
	end := int64(-1)
	for restarts := 0; restarts < maxRestarts; {
		s.mu.Lock()
		next, era := s.next, s.era
		s.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
		page, err := s.opts.Client.Read(ctx, logservice.StreamOrigins, next, readLimit, 0)
		cancel()
		var truncated *logservice.TruncatedError
		if errors.As(err, &truncated) && (truncated.Oldest != next || truncated.Era != era) {
			s.startOver(truncated.Era, truncated.Oldest)
			end, restarts = -1, restarts+1
			continue
		}
		if err != nil {
			return err
		}
		if page.Era != era {
			if page.Era > era {
				s.startOver(page.Era, page.Oldest)
			}
			end, restarts = -1, restarts+1
			continue
		}
		if end < 0 {
			end = page.End
		}
		s.mu.Lock()
		var records []Record
		for _, r := range page.Records {
			if record, ok := decodeRecord(r.Data); ok {
				records = append(records, record)
			}
		}
		s.apply(records, time.Now())
		s.next = next + int64(len(page.Records))
		next = s.next
		s.mu.Unlock()
		if next >= end || len(page.Records) == 0 {
			return nil
		}
	}
	return errors.New("the log starts again while it is read")
}

// startOver makes the next read begin at an offset. In a new era the log may lack records that
// it had: versions count as not recorded, and the attempts of this host are appended again.
func (s *Service) startOver(era, from int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = from
	if era == s.era {
		return
	}
	lost := s.era > 0
	s.era = era
	clear(s.recorded)
	if lost {
		s.enqueueOwn("")
	}
}

func decodeRecord(data []byte) (Record, bool) {
	entry, ok := logservice.DecodeEntry(data)
	if !ok || entry.Kind != recordKind {
		return Record{}, false
	}
	var r Record
	if json.Unmarshal(entry.Body, &r) != nil {
		return Record{}, false
	}
	return r, true
}
