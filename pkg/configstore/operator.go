package configstore

import (
	"context"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/declaration"
	"github.com/clementineshed/clementineshed/pkg/logservice"
	"github.com/clementineshed/clementineshed/pkg/steperr"
)

const (
	// logServiceName is the name of the log service in errors.
	logServiceName = "log service"
	// operatorPollTimeout is the long-poll time of an operator's read of the log.
	operatorPollTimeout = time.Second
	// hostPollInterval is the time between two rounds of queries to the hosts.
	hostPollInterval = 250 * time.Millisecond
	// maxConcurrentHostQueries limits the queries in flight at the same time.
	maxConcurrentHostQueries = 64
)

var (
	// ErrChangeTooLarge reports a record larger than MaxChangeBytes.
	ErrChangeTooLarge = errors.Errorf("change is larger than %d bytes; split it into several", MaxChangeBytes)
	// ErrVerdictUnknown reports a change or withdrawal whose record was not
	// seen. It may have been accepted, or may be accepted later.
	ErrVerdictUnknown = errors.New("it is unknown whether the change was accepted; load the configuration and compare")
)

// Operator reads the configuration, proposes changes and waits until the hosts
// have them. It is the client of the command line. It is not safe for concurrent
// use.
type Operator struct {
	log   logservice.Client
	clock clockwork.Clock
	ids   func() string

	follower  *follower
	verdicts  map[string]Verdict
	startSeen map[string]bool

	// skipBarrier loads without an own start record. Only tests set it.
	skipBarrier bool
}

// NewOperator returns an Operator on log. ids returns a unique id at each call.
func NewOperator(log logservice.Client, clock clockwork.Clock, ids func() string) *Operator {
	o := &Operator{log: log, clock: clock, ids: ids, verdicts: map[string]Verdict{}, startSeen: map[string]bool{}}
	o.follower = newFollower(log)
	o.follower.onStart = func(nonce string) { o.startSeen[nonce] = true }
	o.follower.onVerdict = o.keepFirstVerdict
	return o
}

// keepFirstVerdict records the first verdict on an id. If a record was appended
// twice, its first copy decides.
func (o *Operator) keepFirstVerdict(v Verdict) {
	if _, known := o.verdicts[v.ID]; !known {
		o.verdicts[v.ID] = v
	}
}

// Load returns the configuration that is in force when Load is called, or a
// later one. It appends a start record and folds through it, so that a lagging
// replica cannot make it return an old configuration. The error wraps
// ErrNoSnapshot if the log holds no complete configuration,
// logservice.ErrNotAppended, or the error of ctx.
func (o *Operator) Load(ctx context.Context) (*View, error) {
	p, err := o.appendBarrier(ctx)
	if err != nil {
		return nil, err
	}
	if err := o.foldUntil(ctx, func() bool { return o.settled(p) }); err != nil {
		return nil, steperr.Wrap(err, "read configuration", logServiceName)
	}
	delete(o.startSeen, p.id)
	return o.follower.fold.view(), nil
}

// pendingRecord is an appended record that the operator has yet to fold.
type pendingRecord struct {
	id     string
	offset int64
	// appended is true if the log acknowledged the append with offset.
	appended bool
}

func (o *Operator) appendBarrier(ctx context.Context) (pendingRecord, error) {
	id := o.ids()
	if o.skipBarrier {
		return pendingRecord{id: id, appended: true, offset: -1}, nil
	}
	return o.appendRecord(ctx, id, record{Start: &startRecord{Nonce: id, Host: "operator"}}, "append start record")
}

// appendRecord appends r under id. The error is nil if the outcome of the append
// is unknown, because the record may still take effect.
func (o *Operator) appendRecord(ctx context.Context, id string, r record, step string) (pendingRecord, error) {
	data, err := r.encode()
	if err == nil && len(data) > MaxChangeBytes {
		err = ErrChangeTooLarge
	}
	if err != nil {
		return pendingRecord{}, errors.Wrap(err, step)
	}
	offset, err := o.log.Append(ctx, logservice.StreamConfig, [][]byte{data})
	if errors.Is(err, logservice.ErrNotAppended) {
		return pendingRecord{}, steperr.Wrap(err, step, logServiceName)
	}
	return pendingRecord{id: id, offset: offset, appended: err == nil}, nil
}

// settled reports whether the fold has passed the record. A snapshot may take
// the fold past the record without a verdict.
func (o *Operator) settled(p pendingRecord) bool {
	_, decided := o.verdicts[p.id]
	passed := p.appended && o.follower.canReplay && o.follower.fold.next > p.offset
	return decided || o.startSeen[p.id] || passed
}

// foldUntil folds the stream until done returns true or ctx ends. It retries
// failed reads, except after ErrNoSnapshot.
func (o *Operator) foldUntil(ctx context.Context, done func() bool) error {
	for !done() {
		if err := ctx.Err(); err != nil {
			return err
		}
		_, err := o.follower.step(ctx, operatorPollTimeout)
		if errors.Is(err, ErrNoSnapshot) {
			return err
		}
		if err != nil {
			o.pause(ctx, retryDelay)
		}
	}
	return nil
}

func (o *Operator) pause(ctx context.Context, d time.Duration) {
	select {
	case <-o.clock.After(d):
	case <-ctx.Done():
	}
}

// Propose appends the change once and returns the fold's verdict on it. A
// refused change is not an error. The error wraps ErrChangeTooLarge or
// logservice.ErrNotAppended if the change has no effect, and ErrVerdictUnknown
// if its effect is unknown.
func (o *Operator) Propose(ctx context.Context, c Change) (Verdict, error) {
	return o.submit(ctx, c.ID, record{Change: &c}, "propose change")
}

// RecordWithdrawal appends the withdrawal. Its errors are those of Propose.
func (o *Operator) RecordWithdrawal(ctx context.Context, w Withdrawal) (Verdict, error) {
	return o.submit(ctx, w.ID, record{Withdraw: &w}, "record withdrawal")
}

func (o *Operator) submit(ctx context.Context, id string, r record, step string) (Verdict, error) {
	p, err := o.appendRecord(ctx, id, r, step)
	if err != nil {
		return Verdict{}, err
	}
	err = o.foldUntil(ctx, func() bool { return o.settled(p) })
	verdict, known := o.verdicts[id]
	if !known {
		return Verdict{ID: id}, steperr.Wrap(withCause(ErrVerdictUnknown, err), step, logServiceName)
	}
	return verdict, nil
}

// causeError wraps both a typed error and its cause.
type causeError struct{ err, cause error }

func (e *causeError) Error() string   { return e.err.Error() + ": " + e.cause.Error() }
func (e *causeError) Unwrap() []error { return []error{e.err, e.cause} }

func withCause(err, cause error) error {
	if cause == nil {
		return err
	}
	return &causeError{err, cause}
}

// HostRef is the name of an entry host and its failure domain.
type HostRef struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
}

// Hosts queries entry hosts at their operator addresses. Implementations are
// safe for concurrent use.
type Hosts interface {
	// List returns the entry hosts of the platform's host list.
	List(ctx context.Context) ([]HostRef, error)
	// Next returns the offset up to which a host has folded, exclusive.
	Next(ctx context.Context, host string) (int64, error)
	// Withdraw withdraws keys directly at a host, without the log.
	Withdraw(ctx context.Context, host string, hashes []KeyHash) error
}

// PendingHost is a host that has not confirmed.
type PendingHost struct {
	HostRef
	// Next is the offset that it last reported; zero if it never answered.
	Next int64 `json:"next"`
	// Reason describes why the host counts as pending.
	Reason string `json:"reason"`
	// KeysStopBy is the time after which the host accepts no key, except those of
	// offline teams, because its view is no longer confirmed. It is zero while too
	// few hosts have confirmed: during a log outage the pending hosts may then
	// confirm each other's older configuration.
	KeysStopBy time.Time `json:"keys_stop_by,omitzero"`
	// OfflineStopBy is the time after which the host accepts no key of an offline
	// team either. It is zero if KeysStopBy is zero or if the loaded configuration
	// has no team with an offline limit.
	OfflineStopBy time.Time `json:"offline_stop_by,omitzero"`
}

// Progress lists the hosts that have confirmed a version or a withdrawal, and
// those that have not.
type Progress struct {
	Confirmed []HostRef     `json:"confirmed"`
	Pending   []PendingHost `json:"pending,omitempty"`
}

// Complete reports whether every host has confirmed and there is at least one.
func (p Progress) Complete() bool { return len(p.Pending) == 0 && len(p.Confirmed) > 0 }

// AwaitHosts polls every host of the host list until all have folded the version
// or ctx ends. A change is in force everywhere only if the result is complete.
// AwaitHosts fails only if the host list cannot be read.
func (o *Operator) AwaitHosts(ctx context.Context, hosts Hosts, version int64) (Progress, error) {
	query := func(ctx context.Context, h HostRef) (int64, error) { return hosts.Next(ctx, h.Name) }
	return o.awaitConfirmations(ctx, hosts, query, func(next int64) bool { return next > version })
}

// PushWithdrawal withdraws keys directly at every host of the host list. It
// retries until all hosts have acknowledged or ctx ends. It works while the log
// is down. It fails only if the host list cannot be read.
func (o *Operator) PushWithdrawal(ctx context.Context, hosts Hosts, hashes []KeyHash) (Progress, error) {
	push := func(ctx context.Context, h HostRef) (int64, error) { return 0, hosts.Withdraw(ctx, h.Name, hashes) }
	return o.awaitConfirmations(ctx, hosts, push, func(int64) bool { return true })
}

// hostQuery queries one host. It returns the offset up to which the host has
// folded, or zero for a query that does not ask for it.
type hostQuery func(ctx context.Context, h HostRef) (int64, error)

func (o *Operator) awaitConfirmations(ctx context.Context, hosts Hosts, query hostQuery, confirms func(int64) bool) (Progress, error) {
	list, err := hosts.List(ctx)
	if err != nil {
		return Progress{}, steperr.Wrap(err, "read host list", "platform")
	}
	waiting := make([]PendingHost, len(list))
	for i, h := range list {
		waiting[i] = PendingHost{HostRef: h}
	}
	var progress Progress
	for {
		waiting = o.queryHosts(ctx, waiting, query, confirms, &progress)
		if len(waiting) == 0 || ctx.Err() != nil {
			break
		}
		o.pause(ctx, hostPollInterval)
	}
	progress.Pending = waiting
	if majorityHolds(list, waiting) {
		o.setDeadlines(progress.Pending, o.clock.Now())
	}
	sort.Slice(progress.Confirmed, func(i, j int) bool { return progress.Confirmed[i].Name < progress.Confirmed[j].Name })
	return progress, nil
}

// majorityHolds reports whether no host is pending in a majority of the failure
// domains. Every majority of domains that a pending host contacts then includes
// a host with the newer configuration, so that the pending host's view is not
// confirmed.
func majorityHolds(list []HostRef, pending []PendingHost) bool {
	lacking := map[string]bool{}
	for _, h := range list {
		lacking[h.Domain] = false
	}
	for _, h := range pending {
		lacking[h.Domain] = true
	}
	holding := 0
	for _, lacks := range lacking {
		if !lacks {
			holding++
		}
	}
	return holding > len(lacking)/2
}

// setDeadlines sets the times after which the pending hosts accept no key. They
// count from now, when a majority of the domains is known to hold the change.
func (o *Operator) setDeadlines(pending []PendingHost, now time.Time) {
	for i := range pending {
		pending[i].KeysStopBy = now.Add(ConfirmWindow)
		pending[i].OfflineStopBy = o.offlineDeadline(now)
	}
}

// offlineDeadline returns the time at which the longest offline limit of the
// loaded teams ends, or zero if no team has such a limit.
func (o *Operator) offlineDeadline(since time.Time) time.Time {
	var longest time.Duration
	for ref, obj := range o.follower.fold.objects {
		if ref.Kind == declaration.KindTeam {
			longest = max(longest, obj.value.(declaration.Team).OfflineLimit.Std())
		}
	}
	if longest == 0 {
		return time.Time{}
	}
	return since.Add(longest)
}

// queryHosts queries all waiting hosts once. It adds those that confirmed to
// progress and returns the others.
func (o *Operator) queryHosts(ctx context.Context, waiting []PendingHost, query hostQuery, confirms func(int64) bool, progress *Progress) []PendingHost {
	confirmed := make([]bool, len(waiting))
	slots := make(chan struct{}, maxConcurrentHostQueries)
	var queries sync.WaitGroup
	for i := range waiting {
		slots <- struct{}{}
		queries.Go(func() {
			defer func() { <-slots }()
			next, err := query(ctx, waiting[i].HostRef)
			confirmed[i] = err == nil && confirms(next)
			waiting[i].setAnswer(next, err)
		})
	}
	queries.Wait()
	var stillWaiting []PendingHost
	for i, h := range waiting {
		if confirmed[i] {
			progress.Confirmed = append(progress.Confirmed, h.HostRef)
		} else {
			stillWaiting = append(stillWaiting, h)
		}
	}
	return stillWaiting
}

func (h *PendingHost) setAnswer(next int64, err error) {
	if err != nil {
		h.Reason = "no answer: " + err.Error()
		return
	}
	h.Next = next
	h.Reason = "has folded the log up to offset " + strconv.FormatInt(next, 10) + " only"
}

// Text returns the verdict as lines of text for an operator.
func (v Verdict) Text() string {
	var b strings.Builder
	if v.Accepted {
		return "accepted as version " + strconv.FormatInt(v.Version, 10) + "\n"
	}
	if len(v.Conflicts) > 0 {
		b.WriteString("conflict: changed by somebody else since the version the change was made from\n")
	}
	for _, c := range v.Conflicts {
		what := "changed"
		if !c.Exists {
			what = "removed"
		}
		b.WriteString("  " + c.String() + " was " + what + " at version " + strconv.FormatInt(c.Changed, 10) + "\n")
	}
	for _, problem := range v.Invalid {
		b.WriteString("invalid: " + problem + "\n")
	}
	return b.String()
}
