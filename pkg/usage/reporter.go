package usage

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/clementineshed/clementineshed/pkg/lease"
	"github.com/clementineshed/clementineshed/pkg/logging"
	"github.com/clementineshed/clementineshed/pkg/logservice"
	"github.com/clementineshed/clementineshed/pkg/orders"
	"github.com/clementineshed/clementineshed/pkg/steperr"
)

// reportInterval is the interval of the checks for windows to close or report. It
// adds to the time from the end of a window to its report.
const reportInterval = 500 * time.Millisecond

// flushRounds is the number of flush intervals within which a host appends its
// counts: one round may just have failed.
const flushRounds = 2

// Conn is one connection to the usage interface that carries one report.
type Conn interface {
	// Send sends a report and waits for the response.
	Send(ctx context.Context, r Report) error
	Close()
}

// Interface is the client of the usage interface. Implementations are safe for
// concurrent use.
type Interface interface {
	// Connect opens a new connection; an error means that nothing was sent.
	Connect(ctx context.Context, holder string) (Conn, error)
	// ConnectedHolders returns the holders with an open connection, or
	// orders.ErrNotReported.
	ConnectedHolders(ctx context.Context) ([]string, error)
	// ChecksFencing reports whether the interface rejects old fencing tokens.
	ChecksFencing() bool
}

// Options configures a Reporter.
type Options struct {
	Client logservice.Client
	Clock  clockwork.Clock
	// Rand is the source of jitter; the reporter owns it.
	Rand *rand.Rand
	// Incarnation identifies this run of the process and is never reused.
	Incarnation string
	// LiveHosts returns the number of hosts that append counts.
	LiveHosts func() int
	// Key is the usage-reports lease. The reports of the whole system are sent
	// under the lease of one declared failure domain, the same on all hosts.
	Key       lease.Key
	Leases    *lease.Manager
	Sender    *orders.Sender
	Interface Interface
	Peers     Peers
	// MayHoldCounts, if set, reports whether a host may still keep counts of a
	// window that ended sinceEnd ago. The window then stays open.
	MayHoldCounts func(sinceEnd time.Duration) bool
	// MaxCloseDelay is how long after its end a window may stay open for counts
	// that hosts keep; zero means no limit.
	MaxCloseDelay time.Duration
	// HandOverAccepted hands flushes that were accepted from peers over to other
	// peers if they cannot be appended here.
	HandOverAccepted bool
	// Log receives log lines; they are dropped if it is nil.
	Log log.Interface
	// Window is the length of a window, the same on all hosts; DefaultWindow if
	// zero. Windows start at multiples of it in Unix time.
	Window time.Duration
	// WindowInterface, if set, receives one report per window, with all teams,
	// instead of Interface.
	WindowInterface WindowInterface
	// Grace, FlushInterval and QuietTime must be the same on all hosts. If zero
	// they are DefaultGrace, DefaultFlushInterval and DefaultQuietTime.
	Grace, FlushInterval, QuietTime time.Duration
	// MaxClockSkew is the most by which the times of day of two hosts differ;
	// DefaultMaxClockSkew if zero. Windows that may have ended on the clock of a host when
	// the log came back from an older copy are not reported unless they had been closed.
	MaxClockSkew time.Duration
	// FirstStart reports whether an era is that in which all hosts have started for the first
	// time, so that the log had no earlier one; nil means that none is. A log that states an
	// era may otherwise have had earlier ones, and no window that ended before the first
	// reporter of the era began is reported.
	FirstStart func(era int64) bool
	// ReadOptions configures the reader of the usage stream.
	ReadOptions logservice.ReadOptions
}

// disabledGuards disables safety mechanisms one by one, so that tests can show
// that each is needed. The comments say what happens without it.
type disabledGuards struct {
	firstCloseWins  bool // a later close record replaces the figures
	readBack        bool // own figures are sent without folding the close record
	sequenceCheck   bool // flushes are added instead of replaced
	lateCounts      bool // counts after the close are ignored
	truncationCheck bool // a truncated view counts as complete
	eraOfCloses     bool // close records of other eras count
	eraRecord       bool // each window may be closed in each era
}

// Reporter counts work, closes windows and sends reports. It closes and sends
// only while this process holds the lease. Its methods are safe for concurrent
// use.
type Reporter struct {
	*Counter
	opts    Options
	tail    *logservice.Tail
	batcher *logservice.Batcher
	cancel  context.CancelFunc
	wg      sync.WaitGroup
	// beforeCloseAppend is called after the decision to close a window and before
	// the append, where a test may pause the process.
	beforeCloseAppend func()

	mu sync.Mutex
	// The fields below are guarded by mu.
	fold   *fold
	lastID int64
	// viewLogged is set once the view has been logged, see logView.
	viewLogged bool
}

// New starts a reporter. The caller must Close it.
func New(opts Options) *Reporter { return newReporter(opts, disabledGuards{}, func() {}) }

func newReporter(opts Options, disabled disabledGuards, beforeCloseAppend func()) *Reporter {
	if opts.Log == nil {
		opts.Log = logging.Discard()
	}
	opts.Window = cmp.Or(opts.Window, DefaultWindow)
	opts.Grace = cmp.Or(opts.Grace, DefaultGrace)
	opts.FlushInterval = cmp.Or(opts.FlushInterval, DefaultFlushInterval)
	opts.QuietTime = cmp.Or(opts.QuietTime, DefaultQuietTime)
	opts.MaxClockSkew = cmp.Or(opts.MaxClockSkew, DefaultMaxClockSkew)
	length := windowLength(opts.Window)
	ctx, cancel := context.WithCancel(context.Background())
	r := &Reporter{opts: opts, cancel: cancel, fold: newFold(opts.Clock.Now(), length, disabled), beforeCloseAppend: beforeCloseAppend}
	r.fold.grace, r.fold.quietTime = opts.Grace, opts.QuietTime
	r.tail = logservice.NewTail(logservice.TailOptions{
		Client: opts.Client, Stream: logservice.StreamUsage, Clock: opts.Clock, Rand: opts.Rand,
		Fold: r.foldRecord, Truncated: r.onTruncated, EraStarted: r.eraStarted, ReadOptions: opts.ReadOptions, Log: opts.Log,
	})
	r.batcher = logservice.NewBatcher(logservice.BatcherOptions{
		Client: opts.Client, Stream: logservice.StreamUsage, Clock: opts.Clock, Tail: r.tail, LiveHosts: opts.LiveHosts,
	})
	r.Counter = newCounter(opts.Clock, length, opts.FlushInterval, opts.Incarnation, r.batcher, opts.Peers, opts.Log)
	r.setHandOverAccepted(opts.HandOverAccepted)
	r.wg.Go(func() { r.run(ctx) })
	return r
}

// Close stops the reporter and waits for its goroutines. Call Flush first on a
// graceful shutdown.
func (r *Reporter) Close() {
	r.cancel()
	r.wg.Wait()
	r.Counter.close()
	r.batcher.Close()
	r.tail.Close()
}

// Status returns how far the usage stream has been folded.
func (r *Reporter) Status() logservice.TailStatus { return r.tail.Status() }

func (r *Reporter) foldRecord(rec logservice.Record, e logservice.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before, firstBefore, knownBefore := r.fold.lastCloseOffset, r.fold.first, r.fold.firstKnown
	r.fold.fold(rec, e, r.opts.Clock.Now())
	if r.fold.firstKnown && (!knownBefore || r.fold.first != firstBefore) {
		r.opts.Log.WithFields(log.Fields{"era": r.fold.era, "first_window": r.fold.first, "record": e.ID}).Info("usage_era_begun")
	}
	if e.Kind == kindClose && r.viewLogged {
		r.logClose(rec, e, r.fold.lastCloseOffset != before)
	}
}

// logClose logs whether a close record fixes the figures of its window. It must be called
// with mu held.
func (r *Reporter) logClose(rec logservice.Record, e logservice.Entry, accepted bool) {
	var body closeRecord
	if json.Unmarshal(e.Body, &body) != nil {
		return
	}
	total := Counts{}
	for _, counts := range body.Figures {
		total = total.plus(counts)
	}
	message := "usage_close_ignored"
	if accepted {
		message = "usage_window_closed"
	}
	r.opts.Log.WithFields(log.Fields{"window": body.Window, "record": e.ID, "close_offset": rec.Offset, "close_era": rec.Era, "quiet": body.Quiet, "requests": total.Requests}).Info(message)
}

// logView logs from what a view starts, once it has been read to its end.
func (r *Reporter) logView() {
	if r.tail.Status().ReadToEndAt.IsZero() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.viewLogged {
		return
	}
	r.viewLogged = true
	f := r.fold
	r.opts.Log.WithFields(log.Fields{"start": f.startOffset, "complete": f.complete, "last_closed": f.lastClosed, "close_offset": f.lastCloseOffset, "next": f.lastOffset + 1}).Info("usage_view_read")
}

func (r *Reporter) onTruncated(_, oldest int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fold.restartAt(oldest, r.opts.Clock.Now())
	r.viewLogged = false
}

func (r *Reporter) run(ctx context.Context) {
	for ctx.Err() == nil {
		r.logView()
		_, err := r.opts.Leases.Check(r.opts.Key)
		r.ObserveEra(r.tail.Status().Era)
		r.beginEra(ctx, err == nil)
		if err == nil {
			r.closeDueWindow(ctx)
			r.sendDueReports(ctx)
		}
		select {
		case <-ctx.Done():
		case <-r.opts.Clock.After(reportInterval):
		}
	}
}

// closeDueWindow closes the next due window if the stream was read to its end
// after the window's grace period.
func (r *Reporter) closeDueWindow(ctx context.Context) {
	now := r.opts.Clock.Now()
	e, rec, ok := r.closeEntry(now, r.tail.Status())
	if !ok {
		return
	}
	r.beforeCloseAppend()
	appendCtx, cancel := clockwork.WithTimeout(ctx, r.opts.Clock, appendTimeout)
	defer cancel()
	err := r.batcher.AppendFolded(appendCtx, e)
	if err != nil && ctx.Err() == nil {
		r.opts.Log.WithFields(log.Fields{"window": rec.Window, "error": err}).Warn("usage_close_not_folded")
	}
}

func (r *Reporter) closeEntry(now time.Time, read logservice.TailStatus) (logservice.Entry, closeRecord, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	window, ok := r.fold.nextDue(now)
	if !ok || read.ReadToEndAt.Before(r.length.endOf(window).Add(r.opts.Grace)) || r.awaitsCounts(window, now, read) {
		return logservice.Entry{}, closeRecord{}, false
	}
	r.lastID++
	rec := closeRecord{Window: window, Era: r.fold.era, First: r.fold.first, Previous: r.fold.lastCloseOffset, Through: r.fold.lastOffset, Figures: r.fold.unreportedCounts(window)}
	if !r.fold.complete {
		rec.Quiet, rec.QuietSince = true, max(r.fold.lastSeenCloseOffset+1, r.fold.startOffset)
	}
	e, err := logservice.NewEntry(fmt.Sprintf("%s/close/%d", r.opts.Incarnation, r.lastID), kindClose, rec)
	if r.fold.disabled.readBack && r.fold.closed[window] == nil {
		r.fold.closed[window] = &closedWindow{figures: rec.Figures}
	}
	return e, rec, err == nil
}

// awaitsCounts reports whether the window stays open for counts that hosts may
// still keep: those not yet appended after an outage of the log, and those of
// hosts that are cut off.
func (r *Reporter) awaitsCounts(window int64, now time.Time, read logservice.TailStatus) bool {
	end := r.length.endOf(window)
	sinceEnd, appended := now.Sub(end), flushRounds*r.opts.FlushInterval
	if r.opts.MaxCloseDelay > 0 && sinceEnd >= r.opts.MaxCloseDelay {
		return false
	}
	kept := !end.Add(appended).Before(read.OutageStart) && now.Sub(read.OutageEnd) < appended
	return kept || r.opts.MayHoldCounts != nil && r.opts.MayHoldCounts(sinceEnd)
}

// sendDueReports sends the reports of closed windows that are not marked as
// reported.
func (r *Reporter) sendDueReports(ctx context.Context) {
	for _, window := range r.unreportedWindows() {
		if err := r.sendWindow(ctx, window); err != nil {
			step, peer := steperr.StepAndPeer(err)
			r.opts.Log.WithFields(log.Fields{"window": window, "step": step, "peer": peer, "error": err}).Warn("usage_report_not_sent")
			return
		}
	}
}

func (r *Reporter) unreportedWindows() []int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	var windows []int64
	for window, c := range r.fold.closed {
		if !c.reported {
			windows = append(windows, window)
		}
	}
	slices.Sort(windows)
	return windows
}

func (r *Reporter) sendWindow(ctx context.Context, window int64) error {
	for _, receiver := range r.receivers(window) {
		if err := r.opts.Sender.Send(ctx, r.opts.Key, receiver); err != nil {
			return err
		}
	}
	id := fmt.Sprintf("%s/reported/%d", r.opts.Incarnation, window)
	e, err := logservice.NewEntry(id, kindReported, reportedRecord{Window: window})
	if err != nil {
		return err
	}
	appendCtx, cancel := clockwork.WithTimeout(ctx, r.opts.Clock, appendTimeout)
	defer cancel()
	err = r.batcher.AppendFolded(appendCtx, e)
	return steperr.Wrap(err, "record reported window", "log service")
}

// receivers returns one receiver for each report of a window.
func (r *Reporter) receivers(window int64) []orders.Receiver {
	if r.opts.WindowInterface != nil {
		if receiver, ok := r.windowReceiverOf(window); ok {
			return []orders.Receiver{receiver}
		}
		return nil
	}
	var receivers []orders.Receiver
	for _, report := range r.teamReports(window) {
		receivers = append(receivers, reportReceiver{usage: r.opts.Interface, report: report})
	}
	return receivers
}

func (r *Reporter) teamReports(window int64) []Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	closed := r.fold.closed[window]
	if closed == nil { // reported by another process in the meantime
		return nil
	}
	var reports []Report
	for team, counts := range closed.figures {
		reports = append(reports, newReport(r.length, window, team, counts))
	}
	slices.SortFunc(reports, func(a, b Report) int {
		if a.Team < b.Team {
			return -1
		}
		return 1
	})
	return reports
}

// reportReceiver is an orders.Receiver that sends one report to the usage
// interface. A late duplicate has the same ID and figures and does no harm.
type reportReceiver struct {
	usage  Interface
	report Report
}

func (r reportReceiver) Name() string                             { return "usage interface" }
func (r reportReceiver) ChecksFencing() bool                      { return r.usage.ChecksFencing() }
func (r reportReceiver) Idempotent() bool                         { return true }
func (r reportReceiver) Instance(context.Context) (string, error) { return "", nil }

func (r reportReceiver) ConnectedHolders(ctx context.Context) ([]string, error) {
	return r.usage.ConnectedHolders(ctx)
}

func (r reportReceiver) Connect(ctx context.Context, holder string) (orders.Conn, error) {
	c, err := r.usage.Connect(ctx, holder)
	return reportConn{c, r.report}, err
}

type reportConn struct {
	conn   Conn
	report Report
}

func (c reportConn) Instances() (connected, wanted string) { return "", "" }
func (c reportConn) Close()                                { c.conn.Close() }

// Send sends the report under its own ID.
func (c reportConn) Send(ctx context.Context, _, holder string, fence int64) error {
	c.report.Holder, c.report.Fence = holder, fence
	return c.conn.Send(ctx, c.report)
}
