package tunnel

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/connstate"
	"github.com/clementineshed/clementineshed/pkg/pathwatch"
	"github.com/clementineshed/clementineshed/pkg/sleep"
	"github.com/clementineshed/clementineshed/pkg/upstream"
)

const (
	// hedgeDelay is how long a direct connection may take before another host is asked to
	// open one as well.
	hedgeDelay = 120 * time.Millisecond
	// helperHedgeDelay is how long a host may take to answer before the next one is asked.
	helperHedgeDelay = 100 * time.Millisecond
	// maxHelpers bounds the hosts that are asked for one connection.
	maxHelpers = 3
	// openTimeout bounds the opening of one connection by all ways together. lostOpenTimeout
	// does so where the path is known to be lost: nothing is gained by giving up early then.
	openTimeout     = 450 * time.Millisecond
	lostOpenTimeout = time.Second
	// maxDoubts bounds the direct attempts that are slow or have failed and for which other
	// hosts are asked at the same time. A host without processor time opens all its
	// connections slowly, and must not open more of them for that.
	maxDoubts = 8
	// probeCheckInterval is how often it is checked whether a path is to be probed.
	probeCheckInterval = 125 * time.Millisecond
	// answerTimeout bounds a health check that shows whether a connection carries answers.
	answerTimeout = 500 * time.Millisecond
)

// OpenerOptions configure an Opener. All fields must be set.
type OpenerOptions struct {
	// Domain is the failure domain of this host.
	Domain string
	Watch  *pathwatch.Watch
	// Hosts returns the other hosts that live.
	Hosts func() []pathwatch.Helper
	// Known reports whether there is an endpoint at an address.
	Known func(address string) bool
	// HealthCheck returns the request that checks the health of the endpoint at an address.
	// Any answer to it shows that there is a path.
	HealthCheck func(address string) []byte
	// Direct opens a direct connection to an endpoint within a time of its own.
	Direct func(ctx context.Context, address string) (net.Conn, error)
	Log    log.Interface
}

// Opener opens connections to endpoints: directly, or through another host if that is the
// only way. It is safe for concurrent use.
type Opener struct {
	opts    OpenerOptions
	helpers *pathwatch.Helpers
	// opened counts the connections that were opened through other hosts, failed the
	// requests to other hosts that opened none, by their outcome.
	opened expvar.Int
	failed expvar.Map
	wg     sync.WaitGroup
	// doubts holds an element for each direct attempt for which other hosts are asked.
	doubts chan struct{}

	randMu sync.Mutex
	random *rand.Rand // guarded by randMu
}

// NewOpener returns an opener. random is the source of the order in which hosts are asked;
// the opener owns it.
func NewOpener(opts OpenerOptions, random *rand.Rand) *Opener {
	return &Opener{opts: opts, helpers: pathwatch.NewHelpers(), doubts: make(chan struct{}, maxDoubts), random: random}
}

// Counts returns how many connections were opened through other hosts, and how many
// requests to them failed, by their outcome.
func (o *Opener) Counts() (opened *expvar.Int, failed *expvar.Map) { return &o.opened, &o.failed }

// target is the endpoint of a connection that is being opened. The connection is of no use
// after the time until; zero means that there is no such time.
type target struct {
	address string
	until   time.Time
}

// Open opens a connection to the endpoint at an address. An error means that no byte has
// reached the endpoint.
func (o *Opener) Open(ctx context.Context, address string) (net.Conn, error) {
	to := target{address: address}
	to.until, _ = ctx.Deadline()
	if _, lost := o.opts.Watch.Lost(address); lost {
		hostsCtx, cancel := context.WithTimeout(ctx, lostOpenTimeout)
		defer cancel()
		return o.askHosts(hostsCtx, to)
	}
	direct := o.startDirect(ctx, address)
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	select {
	case r := <-direct.result:
		if r.err == nil {
			return r.conn, nil
		}
		// Another host shows whether the endpoint is down or the path to it is lost.
		through, ok := o.startThroughHosts(ctx, to, direct.began)
		if !ok {
			return nil, r.err
		}
		return o.afterDirectFailure(ctx, to, direct.began, r.err, through)
	case <-ctx.Done():
		o.discard(direct.result)
		return nil, context.Cause(ctx)
	case <-timer.C:
	}
	through, ok := o.startThroughHosts(ctx, to, direct.began)
	if !ok {
		return o.awaitDirect(ctx, direct)
	}
	return o.race(ctx, to, direct, through)
}

// afterDirectFailure waits for the connection through another host after the direct attempt
// has failed.
func (o *Opener) afterDirectFailure(ctx context.Context, to target, began time.Time, directErr error, through <-chan dialResult) (net.Conn, error) {
	select {
	case t := <-through:
		if t.err != nil {
			return nil, directErr
		}
		o.pathLost(to.address, began, directErr)
		return t.conn, nil
	case <-ctx.Done():
		o.discard(through)
		return nil, context.Cause(ctx)
	}
}

// race returns the first of a direct connection that is slow to open and one through
// another host.
func (o *Opener) race(ctx context.Context, to target, direct *directAttempt, through <-chan dialResult) (net.Conn, error) {
	select {
	case r := <-direct.result:
		if r.err != nil {
			return o.afterDirectFailure(ctx, to, direct.began, r.err, through)
		}
		o.discard(through)
		return r.conn, nil
	case t := <-through:
		if t.err != nil {
			return o.awaitDirect(ctx, direct)
		}
		o.wg.Go(func() {
			// The direct attempt goes on to show whether the path is lost.
			if r := <-direct.result; r.err != nil {
				o.pathLost(to.address, direct.began, r.err)
			} else {
				_ = r.conn.Close()
			}
		})
		return t.conn, nil
	case <-ctx.Done():
		o.discard(direct.result)
		o.discard(through)
		return nil, context.Cause(ctx)
	}
}

func (o *Opener) awaitDirect(ctx context.Context, direct *directAttempt) (net.Conn, error) {
	select {
	case r := <-direct.result:
		return r.conn, r.err
	case <-ctx.Done():
		o.discard(direct.result)
		return nil, context.Cause(ctx)
	}
}

// discard closes the connection of an attempt that is not needed any more.
func (o *Opener) discard(result <-chan dialResult) {
	o.wg.Go(func() {
		if r := <-result; r.err == nil {
			_ = connstate.Reset(r.conn)
		}
	})
}

func (o *Opener) pathLost(address string, began time.Time, cause error) {
	o.peerReached(address, pathwatch.NotOpened, began, cause)
}

func (o *Opener) peerReached(address string, loss pathwatch.Loss, began time.Time, cause error) {
	cutOff := o.opts.Watch.PeerReached(address, loss, began, time.Now())
	fields := o.opts.Log.WithFields(log.Fields{"address": address, "loss": loss.String(), "error": cause})
	fields.Debug("path_lost")
	if cutOff {
		fields.WithField("paths_lost", o.opts.Watch.LostPaths()).Warn("cut_off_from_endpoints")
	}
}

// DialDirect opens a direct connection.
func (o *Opener) DialDirect(ctx context.Context, address string) (net.Conn, error) {
	c, err := o.opts.Direct(ctx, address)
	if err == nil {
		o.directOpened(address)
	}
	return c, err
}

func (o *Opener) directOpened(address string) {
	if o.opts.Watch.Opened(address, time.Now()) {
		o.logRestored(address)
	}
}

// Answered records that an answer of an endpoint has arrived on a direct connection.
func (o *Opener) Answered(address string) {
	if o.opts.Watch.Answered(address, time.Now()) {
		o.logRestored(address)
	}
}

func (o *Opener) logRestored(address string) {
	o.opts.Log.WithFields(log.Fields{"address": address, "opened_through_hosts": o.opened.Value()}).Info("endpoints_reached_again")
}

type dialResult struct {
	conn net.Conn
	err  error
}

// directAttempt is a direct connection that is being opened.
type directAttempt struct {
	began  time.Time
	result chan dialResult
}

// startDirect starts a direct attempt. It outlasts ctx: its outcome tells of the path.
func (o *Opener) startDirect(ctx context.Context, address string) *directAttempt {
	a := &directAttempt{began: time.Now(), result: make(chan dialResult, 1)}
	o.wg.Go(func() {
		c, err := o.DialDirect(context.WithoutCancel(ctx), address)
		a.result <- dialResult{c, err}
	})
	return a
}

// startThroughHosts asks other hosts for a connection because a direct attempt is in doubt,
// at most until openTimeout after that began. It reports false if too many are in doubt.
func (o *Opener) startThroughHosts(ctx context.Context, to target, began time.Time) (<-chan dialResult, bool) {
	select {
	case o.doubts <- struct{}{}:
	default:
		return nil, false
	}
	result := make(chan dialResult, 1)
	o.wg.Go(func() {
		defer func() { <-o.doubts }()
		hostsCtx, cancel := context.WithDeadline(ctx, began.Add(openTimeout))
		defer cancel()
		c, err := o.askHosts(hostsCtx, to)
		result <- dialResult{c, err}
	})
	return result, true
}

// askHosts asks other hosts to open a connection, one after the other, and the next one
// also if one is slow to answer. It fails with upstream.ErrNoPath unless an answer tells of the
// endpoint itself: that of a host that is not cut off, or those of all that were asked.
func (o *Opener) askHosts(ctx context.Context, to target) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o.randMu.Lock()
	hosts := o.helpers.Order(o.opts.Hosts(), o.opts.Domain, maxHelpers, o.random, time.Now())
	o.randMu.Unlock()
	results := make(chan dialResult, len(hosts))
	pending := 0
	askNext := func() {
		if len(hosts) == 0 {
			return
		}
		h := hosts[0]
		hosts = hosts[1:]
		pending++
		o.wg.Go(func() {
			c, err := o.askHost(ctx, h, to)
			results <- dialResult{c, err}
		})
	}
	askNext()
	ticker := time.NewTicker(helperHedgeDelay)
	defer ticker.Stop()
	var cause error
	agreed := true
	for pending > 0 {
		select {
		case <-ticker.C:
			askNext()
		case r := <-results:
			pending--
			switch {
			case r.err == nil:
				cancel()
				return r.conn, o.settled(results, pending, nil)
			case !answerOf(r.err).Outcome.ofEndpoint():
				agreed = false
			case answerOf(r.err).Unsure:
				cause = r.err
			default:
				// A further host would find the same.
				return nil, o.settled(results, pending, r.err)
			}
			askNext()
		}
	}
	if cause == nil || !agreed {
		cause = upstream.ErrNoPath
	}
	return nil, cause
}

// settled returns err once the other attempts are left to end by themselves.
func (o *Opener) settled(results <-chan dialResult, pending int, err error) error {
	for range pending {
		o.discard(results)
	}
	return err
}

func (o *Opener) askHost(ctx context.Context, h pathwatch.Helper, to target) (net.Conn, error) {
	c, err := dial(ctx, h, to)
	if err == nil {
		o.opened.Add(1)
		return c, nil
	}
	if ctx.Err() != nil {
		return nil, err
	}
	outcome := answerOf(err).Outcome
	if outcome == "" {
		outcome = "unreachable"
	}
	o.failed.Add(string(outcome), 1)
	switch {
	case outcome == Busy:
		o.helpers.Busy(h.Host, time.Now())
	case !outcome.ofEndpoint() && outcome != NotServing:
		o.helpers.Unavailable(h.Host, time.Now())
	}
	return nil, err
}

// Run checks paths in doubt and probes lost ones until ctx ends.
func (o *Opener) Run(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		switch address, loss, due := o.opts.Watch.Probe(now); {
		case !due:
		case !o.opts.Known(address):
			o.opts.Watch.Forget(address)
		default:
			o.wg.Go(func() { o.probe(ctx, address, loss) })
		}
		switch address, since, due := o.opts.Watch.Check(now); {
		case !due:
		case !o.opts.Known(address):
			o.opts.Watch.Forget(address)
		default:
			o.wg.Go(func() { o.check(ctx, address, since) })
		}
		sleep.For(ctx, probeCheckInterval)
	}
}

// probe finds out whether a lost path is back.
func (o *Opener) probe(ctx context.Context, address string, loss pathwatch.Loss) {
	if loss == pathwatch.NotAnswered {
		if o.directAnswers(ctx, address) == nil {
			o.Answered(address)
		}
		return
	}
	if c, err := o.DialDirect(ctx, address); err == nil {
		_ = c.Close()
	}
}

// check finds out whether an endpoint is silent only for this host.
func (o *Opener) check(ctx context.Context, address string, since time.Time) {
	through := make(chan error, 1)
	o.wg.Go(func() {
		hostsCtx, cancel := context.WithTimeout(ctx, openTimeout)
		defer cancel()
		c, err := o.askHosts(hostsCtx, target{address, time.Now().Add(openTimeout + answerTimeout)})
		if err == nil {
			err = o.answers(c, address)
		}
		through <- err
	})
	direct := o.directAnswers(ctx, address)
	if direct == nil {
		o.Answered(address)
	}
	if err := <-through; err == nil && direct != nil && ctx.Err() == nil {
		o.peerReached(address, pathwatch.NotAnswered, since, direct)
	}
}

// directAnswers returns nil if the endpoint answers on a new direct connection.
func (o *Opener) directAnswers(ctx context.Context, address string) error {
	c, err := o.opts.Direct(ctx, address)
	if err != nil {
		return err
	}
	return o.answers(c, address)
}

// answers returns nil if the endpoint answers on a connection, which it closes.
func (o *Opener) answers(c net.Conn, address string) error {
	defer func() { _ = connstate.Reset(c) }()
	if err := c.SetDeadline(time.Now().Add(answerTimeout)); err != nil {
		return errors.Wrap(err, "set deadline")
	}
	if _, err := c.Write(o.opts.HealthCheck(address)); err != nil {
		return errors.Wrap(err, "write health check")
	}
	var first [1]byte
	_, err := c.Read(first[:])
	return errors.Wrap(err, "read answer to health check")
}

// Wait waits until no attempt to open a connection is in progress.
func (o *Opener) Wait() { o.wg.Wait() }
