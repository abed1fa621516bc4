package configstore

import (
	"context"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/logservice"
)

const (
	// pollTimeout is the long-poll time of a read. Twice this time plus the
	// duration of a request has to be shorter than ConfirmWindow.
	pollTimeout = 2 * time.Second
	// retryDelay is the pause after a failed step.
	retryDelay = 250 * time.Millisecond
	// watchCheckInterval is the time between checks of the watched keys.
	watchCheckInterval = 250 * time.Millisecond
	// startRetryInterval is the time after which a failed or unanswered append
	// of the start record is repeated.
	startRetryInterval = 2 * time.Second
	// peerCatchUpDelay is the time without a read of the log's end after which
	// the state of a newer peer is fetched.
	peerCatchUpDelay = 4 * time.Second
	// peerQueryInterval is the shortest time between two queries to the peers.
	peerQueryInterval = time.Second
	// withdrawalAppendJitter is the maximum random delay before a host appends
	// a direct withdrawal that the log does not hold yet. The delay differs per
	// host, so that usually only one host appends it.
	withdrawalAppendJitter = 10 * time.Second
	// snapshotsPerRetention divides the retention into the shortest intervals
	// between two snapshots.
	snapshotsPerRetention = 4
)

// Options configure a Store. Log, Clock, Rand, Host, Nonce, Domain and Domains
// are required.
type Options struct {
	Log logservice.Client
	// Peers are the other entry hosts. Nil means none.
	Peers Peers
	Clock clockwork.Clock
	// Rand must not be used outside the store.
	Rand *rand.Rand
	Host string
	// Nonce is unique to the process. It marks the store's start record.
	Nonce  string
	Domain string
	// Domains lists all failure domains of the deployment.
	Domains []string
	// Retention is the time for which the log service keeps records. Zero means
	// 24 hours.
	Retention time.Duration
	// Logger is log.Log if nil.
	Logger log.Interface
}

// Store follows the config stream and holds the configuration of one process.
// It is safe for concurrent use, except for Step.
type Store struct {
	opts Options

	view         atomic.Pointer[View]
	confirmation atomic.Pointer[Confirmation]

	ready     chan struct{}
	readyOnce sync.Once

	// mu guards the fields below, except those that only the goroutine of Step
	// uses. Only that goroutine changes the follower and its fold, and it does so
	// under mu.
	mu          sync.Mutex
	follower    *follower
	direct      map[KeyHash]struct{}
	peerViews   map[string]PeerView
	lastContact map[string]time.Time
	// highestEnd is the highest end of the stream known from reads, appends and
	// peers, exclusive.
	highestEnd int64
	watches    map[KeyHash]map[*Watch]struct{}

	startOffset  int64
	startSentAt  time.Time
	startSeen    bool
	logDown      bool
	peersAskedAt time.Time
	// withdrawalsMerged is true once the peers were queried for withdrawals.
	withdrawalsMerged bool
	// caughtUp is true if the process contains every change and withdrawal that
	// was in force when it started.
	caughtUp bool
	// chunkBytes is ChunkBytes, except in tests.
	chunkBytes          int
	appendWithdrawalsAt time.Time
	nextSnapshotAt      time.Time
	// scheduledAfter is the time of the snapshot from which nextSnapshotAt was
	// computed.
	scheduledAfter time.Time

	cancel context.CancelFunc
	done   sync.WaitGroup

	// The fields below disable one check each. Only tests set them, to show that
	// they detect the violation. skipStart makes the store ready without its start
	// record. skipNewerCheck lets peers with a newer version confirm the view.
	// skipCaughtUpCheck lets peers that are not caught up confirm it.
	skipStart         bool
	skipNewerCheck    bool
	skipCaughtUpCheck bool
}

// New returns a store that is not ready. Start or calls of Step make it ready.
func New(opts Options) *Store {
	if opts.Peers == nil {
		opts.Peers = NoPeers{}
	}
	if opts.Logger == nil {
		opts.Logger = log.Log
	}
	if opts.Retention == 0 {
		opts.Retention = 24 * time.Hour
	}
	s := &Store{
		opts:        opts,
		ready:       make(chan struct{}),
		follower:    newFollower(opts.Log),
		direct:      map[KeyHash]struct{}{},
		peerViews:   map[string]PeerView{},
		lastContact: map[string]time.Time{},
		watches:     map[KeyHash]map[*Watch]struct{}{},
		startOffset: -1,
		chunkBytes:  ChunkBytes,
	}
	s.follower.onStart = func(nonce string) { s.startSeen = s.startSeen || nonce == opts.Nonce }
	s.view.Store(s.follower.fold.view())
	s.confirmation.Store(&Confirmation{})
	return s
}

// Start follows the stream in the background until Close. It must be called at
// most once.
func (s *Store) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.done.Add(2)
	go s.run(ctx)
	go s.watchKeys(ctx)
}

// Close stops following the stream and waits for the goroutines of Start. The
// last view stays readable.
func (s *Store) Close() {
	if s.cancel != nil {
		s.cancel()
	}
	s.done.Wait()
}

func (s *Store) run(ctx context.Context) {
	defer s.done.Done()
	failed := false
	for ctx.Err() == nil {
		err := s.Step(ctx, pollTimeout)
		if err == nil {
			failed = false
			continue
		}
		if !failed && ctx.Err() == nil {
			s.opts.Logger.WithFields(log.Fields{"step": "follow config", "next": s.View().Next()}).WithError(err).Warn("config_follow_failed")
		}
		failed = true
		select {
		case <-s.opts.Clock.After(retryDelay):
		case <-ctx.Done():
		}
	}
}

// watchKeys runs EndExpiredWatches every watchCheckInterval until ctx ends.
func (s *Store) watchKeys(ctx context.Context) {
	defer s.done.Done()
	ticker := s.opts.Clock.NewTicker(watchCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
			s.EndExpiredWatches()
		case <-ctx.Done():
			return
		}
	}
}

// EndExpiredWatches ends the watches of keys that are no longer usable. After
// Start the store calls it regularly.
func (s *Store) EndExpiredWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endWatches()
}

// View returns the configuration in force. It never returns nil.
func (s *Store) View() *View { return s.view.Load() }

// Ready returns a channel that is closed once the store is ready to serve.
func (s *Store) Ready() <-chan struct{} { return s.ready }

// Confirmation returns the times at which the view was last confirmed.
func (s *Store) Confirmation() Confirmation { return *s.confirmation.Load() }

// Check decides about the key with hash h now (see CheckKey).
func (s *Store) Check(h KeyHash) (KeyEntry, Usability) {
	// The confirmation is read before the view. A later view contains all that an
	// earlier one did, so a confirmation also holds for any later view.
	c := s.confirmation.Load()
	return CheckKey(s.opts.Clock.Now(), s.view.Load(), *c, h)
}

// Step runs one step: it appends the start record if needed, reads one page with
// the long-poll time wait, and appends the withdrawals and the snapshot that are
// due. Start runs it in a loop. A caller that does not use Start calls Step from
// one goroutine.
func (s *Store) Step(ctx context.Context, wait time.Duration) error {
	s.mergePeerWithdrawalsOnce(ctx)
	s.appendStart(ctx)
	requestedAt := s.opts.Clock.Now()
	result, err := s.read(ctx, wait)
	if err == nil {
		s.recordRead(requestedAt, result)
		s.appendWithdrawals(ctx)
		s.writeSnapshot(ctx)
		return nil
	}
	s.recordReadError(err)
	if catchUp := s.catchUp(ctx, errors.Is(err, ErrNoSnapshot)); catchUp != nil {
		return errors.Wrap(err, catchUp.Error())
	}
	return err
}

// read reads one page outside the lock and folds it under the lock, so that a
// slow log does not delay withdrawals and watches. Only the goroutine of Step
// changes the follower.
func (s *Store) read(ctx context.Context, wait time.Duration) (stepResult, error) {
	s.mu.Lock()
	from, wait := s.follower.nextRead(wait)
	s.mu.Unlock()
	page, err := s.opts.Log.Read(ctx, logservice.StreamConfig, from, maxPageRecords, wait)
	s.mu.Lock()
	defer s.mu.Unlock()
	// The view must not lag behind the fold, even after a page that failed midway,
	// because a confirmation of the fold counts as one of the view.
	defer s.publish()
	return s.follower.handleRead(page, err)
}

func (s *Store) recordRead(requestedAt time.Time, result stepResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logDown = false
	s.highestEnd = max(s.highestEnd, result.end)
	s.checkReady()
	// Reaching the end of a lagging replica confirms nothing. A replica lags if
	// its end is lower than one seen before. Before the host has folded its own
	// start record, it cannot tell whether a replica lags.
	if result.atEnd && result.end >= s.highestEnd && s.startFolded() {
		s.updateConfirmation(func(c *Confirmation) { c.OwnRead = requestedAt })
	}
}

func (s *Store) recordReadError(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logDown = errors.Is(err, logservice.ErrUnavailable)
}

// publish makes the fold visible to readers if its offset changed. It drops the
// direct withdrawals that the fold contains. s.mu is held.
func (s *Store) publish() {
	if s.follower.fold.next == s.view.Load().next {
		return
	}
	for h := range s.direct {
		if _, inFold := s.follower.fold.withdrawn[h]; inFold {
			s.setDirect(h, false)
		}
	}
	s.view.Store(s.follower.fold.view().withDirect(s.direct))
	s.endWatches()
}

// setDirect adds h to the direct withdrawals or removes it. It copies the set,
// because views share it. s.mu is held.
func (s *Store) setDirect(h KeyHash, add bool) {
	next := make(map[KeyHash]struct{}, len(s.direct)+1)
	for k := range s.direct {
		next[k] = struct{}{}
	}
	delete(next, h)
	if add {
		next[h] = struct{}{}
	}
	s.direct = next
}

// updateConfirmation replaces the confirmation by a changed copy. s.mu is held.
func (s *Store) updateConfirmation(change func(*Confirmation)) {
	c := *s.confirmation.Load()
	change(&c)
	s.confirmation.Store(&c)
}

// startFolded reports whether the own start record is folded. s.mu is held.
func (s *Store) startFolded() bool {
	passed := s.startOffset >= 0 && s.follower.fold.next > s.startOffset
	return s.follower.canReplay && (passed || s.startSeen || s.skipStart)
}

// checkReady makes the store ready once it has folded its own start record. s.mu
// is held.
func (s *Store) checkReady() {
	if s.startFolded() {
		s.caughtUp = true
		s.readyOnce.Do(func() { close(s.ready) })
	}
}

func (s *Store) isReady() bool {
	select {
	case <-s.ready:
		return true
	default:
		return false
	}
}

// appendStart appends the start record unless the log already acknowledged one.
// After a lost answer it appends the record again. Any record with the nonce was
// appended after the process started, so folding the first of them suffices.
func (s *Store) appendStart(ctx context.Context) {
	now := s.opts.Clock.Now()
	if s.startSeen || s.skipStart || s.startOffset >= 0 || (!s.startSentAt.IsZero() && now.Sub(s.startSentAt) < startRetryInterval) {
		return
	}
	data, err := record{Start: &startRecord{Nonce: s.opts.Nonce, Host: s.opts.Host}}.encode()
	if err != nil {
		return
	}
	offset, err := s.opts.Log.Append(ctx, logservice.StreamConfig, [][]byte{data})
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.startOffset = offset
		s.highestEnd = max(s.highestEnd, offset+1)
	}
	s.startSentAt = now
}
