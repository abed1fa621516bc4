package dispatch

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/admission"
	"github.com/clementineshed/clementineshed/pkg/declaration"
	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/engineclient"
	"github.com/clementineshed/clementineshed/pkg/enginewire"
	"github.com/clementineshed/clementineshed/pkg/fairness"
	"github.com/clementineshed/clementineshed/pkg/gate"
	"github.com/clementineshed/clementineshed/pkg/pace"
	"github.com/clementineshed/clementineshed/pkg/prefix"
	"github.com/clementineshed/clementineshed/pkg/refusal"
	"github.com/clementineshed/clementineshed/pkg/retry"
	"github.com/clementineshed/clementineshed/pkg/retryafter"
	"github.com/clementineshed/clementineshed/pkg/roles"
	"github.com/clementineshed/clementineshed/pkg/routing"
	"github.com/clementineshed/clementineshed/pkg/steperr"
)

// PollInterval is how often held requests are reconsidered.
const PollInterval = 50 * time.Millisecond

// sweepInterval is how often unused ledger and retry budget state is dropped.
const sweepInterval = fairness.DefaultWindow

// Options are the dependencies of a Dispatcher.
type Options struct {
	// Host is this host's name, Domain its failure domain.
	Host, Domain string
	Clock        clockwork.Clock
	// Seed seeds the random choices, so that tests are reproducible.
	Seed uint64
	// Delays are the one-way delays between failure domains.
	Delays routing.Delays
	// Router defaults to routing.DefaultRouter with the preferences Reachable and
	// Paced, Policy to admission.DefaultPredictive.
	Router admission.Router
	Policy admission.Policy
	// OnOffered is called with the work of each new request, in engine seconds,
	// before it is admitted or refused. It may be nil.
	OnOffered func(work roles.Work, tolerant bool)
	// OnDraining is called with an engine that refused a request because it is
	// draining. It may be nil.
	OnDraining func(e endpoint.Endpoint)
	// OnPaused is called with an endpoint that wants no requests of this host for the
	// time d. It may be nil.
	OnPaused func(e endpoint.Endpoint, d time.Duration)
	// OnLimit is called, by Run, with each begin and end of a limit of an endpoint
	// that has just started or recovered. It may be nil.
	OnLimit func(t pace.Transition)
}

// instance is one instance of an endpoint.
type instance struct{ id, instance string }

// Dispatcher implements gate.Dispatcher. It is safe for concurrent use.
type Dispatcher struct {
	clock      clockwork.Clock
	domain     string
	delays     routing.Delays
	index      *prefix.Index
	sends      *routing.SendLog
	trends     *routing.Trends
	ledger     *fairness.Ledger
	lengths    *admission.Lengths
	budgets    *retry.Budgets
	controller *admission.Controller
	onOffered  func(roles.Work, bool)
	onDraining func(endpoint.Endpoint)
	onPaused   func(endpoint.Endpoint, time.Duration)
	pauses     retryafter.Pauses[instance]
	pacer      *pacer
	onLimit    func(pace.Transition)

	// snapshotMu serializes refreshSnapshot. statuses and hosts are those of the last
	// Update, guarded by snapshotMu.
	snapshotMu sync.Mutex
	statuses   []endpoint.Status
	hosts      int

	mu sync.Mutex
	// rates are the mean rates of the engines by model; guarded by mu.
	rates map[string]engineRates
	// rng is guarded by mu.
	rng *rand.Rand
	// waiting holds the channel that gets the outcome of each held request;
	// guarded by mu.
	waiting map[*admission.Request]chan admission.Outcome
	// suspects counts the running suspected requests by endpoint id; guarded by
	// mu.
	suspects map[string]int
}

// New returns a dispatcher that holds requests until the first Update.
func New(opts Options) *Dispatcher {
	if opts.Router == nil {
		router := routing.DefaultRouter()
		router.Preferences = append([]routing.Filter{routing.Reachable{}, routing.Paced{}}, router.Preferences...)
		opts.Router = router
	}
	if opts.Policy == nil {
		opts.Policy = admission.DefaultPredictive()
	}
	now := opts.Clock.Now()
	d := &Dispatcher{
		onOffered:  opts.OnOffered,
		onDraining: opts.OnDraining,
		onPaused:   opts.OnPaused,
		rates:      map[string]engineRates{},
		clock:      opts.Clock,
		domain:     opts.Domain,
		delays:     opts.Delays,
		index:      prefix.NewIndex(prefix.DefaultMaxChunks),
		sends:      routing.NewSendLog(),
		trends:     routing.NewTrends(),
		ledger:     fairness.NewLedger(fairness.DefaultWindow, now),
		lengths:    admission.NewLengths(),
		budgets:    retry.NewBudgets(),
		rng:        rand.New(rand.NewPCG(opts.Seed, 1)),
		waiting:    map[*admission.Request]chan admission.Outcome{},
		suspects:   map[string]int{},
		pacer:      newPacer(opts.Host),
		onLimit:    opts.OnLimit,
	}
	d.controller = admission.NewController(admission.Config{
		Router:  opts.Router,
		Policy:  opts.Policy,
		Index:   d.index,
		Sends:   d.sends,
		Ledger:  d.ledger,
		Lengths: d.lengths,
		Rand:    rand.New(rand.NewPCG(opts.Seed, 2)),
		Fair:    true,
	}, now)
	return d
}

// Index returns the prefix index. The caller applies the engines' cache events
// to it.
func (d *Dispatcher) Index() *prefix.Index { return d.index }

// ObserveLoad processes a load report of an engine, taken at takenAt by this
// host's clock.
func (d *Dispatcher) ObserveLoad(endpointID string, load endpoint.Load, takenAt time.Time) {
	d.sends.Acknowledge(endpointID, takenAt)
	d.trends.Observe(endpointID, load, takenAt)
}

// Forget drops all state of an endpoint that is gone.
func (d *Dispatcher) Forget(endpointID string) {
	d.sends.Forget(endpointID)
	d.trends.Forget(endpointID)
	d.index.Forget(endpointID)
}

// SetClasses replaces the declared classes. Their strictest limit between tokens
// becomes the neighbours' limit of admission.
func (d *Dispatcher) SetClasses(classes []declaration.Class) {
	var strictest time.Duration
	for _, c := range classes {
		if limit := c.BetweenTokens.Std(); limit > 0 && (strictest == 0 || limit < strictest) {
			strictest = limit
		}
	}
	d.controller.SetNeighbourLimit(strictest)
}

// Ledger returns the ledger of served work, which hosts exchange by gossip.
func (d *Dispatcher) Ledger() *fairness.Ledger { return d.ledger }

// Held returns the number of held requests.
func (d *Dispatcher) Held() int { return d.controller.Held() }

// Update replaces the statuses of the endpoints and reconsiders held requests.
// hosts is the number of entry hosts that send to the endpoints. PausedUntil is set by
// the dispatcher.
func (d *Dispatcher) Update(statuses []endpoint.Status, hosts int) {
	d.pacer.update(statuses, hosts, d.clock.Now())
	d.snapshotMu.Lock()
	d.statuses, d.hosts = statuses, hosts
	d.snapshotMu.Unlock()
	d.refreshSnapshot()
	rates := meanRates(statuses)
	d.mu.Lock()
	d.rates = rates
	d.mu.Unlock()
	d.poll()
}

// refreshSnapshot makes the controller use the statuses of the last Update with the
// present pauses.
func (d *Dispatcher) refreshSnapshot() {
	d.snapshotMu.Lock()
	defer d.snapshotMu.Unlock()
	now := d.clock.Now()
	statuses := slices.Clone(d.statuses)
	for i := range statuses {
		if until := d.pauses.Until(instance{statuses[i].ID, statuses[i].Instance}); now.Before(until) {
			statuses[i].PausedUntil = until
		}
	}
	d.controller.SetSnapshot(routing.NewSnapshot(routing.View{
		Domain: d.domain, Hosts: d.hosts, Endpoints: statuses, Sends: d.sends, Trends: d.trends, Delays: d.delays,
		Full: func(n int, id func(int) string) []bool { return d.pacer.full(n, id, d.clock.Now()) },
	}))
}

// pause makes the dispatcher send nothing to an endpoint for a time.
func (d *Dispatcher) pause(e endpoint.Endpoint, t time.Duration) {
	if !d.pauses.Add(instance{e.ID, e.Instance}, t, d.clock.Now()) {
		// The snapshot leaves out the endpoint already; Update takes over a later end.
		return
	}
	d.pacer.limit(e, pace.Paused, d.clock.Now())
	d.refreshSnapshot()
	if d.onPaused != nil {
		d.onPaused(e, t)
	}
}

// Run reconsiders held requests every PollInterval until ctx is done.
func (d *Dispatcher) Run(ctx context.Context) {
	ticker := d.clock.NewTicker(PollInterval)
	defer ticker.Stop()
	lastSweep := d.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.Chan():
			d.poll()
			d.reportLimits()
		}
		if now := d.clock.Now(); now.Sub(lastSweep) >= sweepInterval {
			d.ledger.Sweep(now)
			d.budgets.Sweep(now)
			lastSweep = now
		}
	}
}

// poll reconsiders held requests and sends the outcomes to the waiting
// goroutines. An accepted request that has been withdrawn is reported as not
// run.
func (d *Dispatcher) poll() {
	if d.controller.Held() == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, outcome := range d.controller.Poll(d.clock.Now()) {
		if ch, ok := d.waiting[outcome.Request]; ok {
			delete(d.waiting, outcome.Request)
			ch <- outcome
		} else if outcome.Verdict.Action == admission.Accept {
			d.controller.NotRun(outcome.Request, d.clock.Now())
		}
	}
}

// Acquire implements gate.Dispatcher.
func (d *Dispatcher) Acquire(ctx context.Context, work *gate.Work) (gate.Assignment, error) {
	request := d.admissionRequest(work)
	if len(work.ExcludedEndpoints) == 0 && work.Delivered == 0 {
		d.reportOffered(request)
	}
	outcome, err := d.decide(ctx, request)
	if err != nil {
		return nil, err
	}
	if outcome.Verdict.Action != admission.Accept {
		return nil, overloadRefusal(outcome)
	}
	now := d.clock.Now()
	if len(work.ExcludedEndpoints) == 0 {
		d.budgets.Earn(work.Team, work.Class.Name, now)
	}
	a := &assignment{dispatcher: d, request: request, endpoint: outcome.Run, exclusive: work.Exclusive, delivered: work.Delivered}
	if outcome.Plan.Disaggregated {
		a.prefill, a.endpoint = &outcome.Run, outcome.Decode
	}
	if work.Exclusive {
		d.countSuspect(a.endpoint.ID, 1)
	}
	a.sentAt, a.expected = now, outcome.Plan.Estimate.FirstToken
	d.pacer.begin(a.endpoints())
	return a, nil
}

func overloadRefusal(outcome admission.Outcome) error {
	return refusal.NotRun(429, refusal.CodeOverloaded,
		"the request cannot be served within its class's target now").WithRetryAfter(outcome.Verdict.RetryAfter)
}

// admissionRequest converts the gate's work to an admission request. A suspected
// request excludes the endpoints that run other suspected requests.
func (d *Dispatcher) admissionRequest(work *gate.Work) *admission.Request {
	exclude := work.ExcludedEndpoints
	if work.Exclusive {
		exclude = slices.Concat(exclude, d.suspectEndpoints())
	}
	return &admission.Request{
		Request: routing.Request{
			Service:       work.Service,
			Model:         work.Model,
			PromptTokens:  prefix.Tokens(len(work.Prompt)),
			Chain:         prefix.Chain(work.CacheSalt, work.Prompt),
			Tolerant:      work.Class.Tolerant(),
			Repeatable:    work.Repeatable,
			Priority:      priority(work),
			FirstToken:    work.Class.FirstToken.Std(),
			BetweenTokens: work.Class.BetweenTokens.Std(),
			Exclude:       exclude,
		},
		Team:      work.Team,
		Class:     work.Class,
		Arrived:   work.ArrivedAt,
		MaxOutput: work.MaxTokens,
		Produced:  work.Delivered,
	}
}

// priority returns the request's priority at the engine. Strict classes run
// before tolerant ones, and a resumed stream before both, since its caller is
// already reading.
func priority(work *gate.Work) int {
	switch {
	case work.Delivered > 0:
		return 2
	case !work.Class.Tolerant():
		return 1
	default:
		return 0
	}
}

// decide offers the request and waits while it is held.
func (d *Dispatcher) decide(ctx context.Context, request *admission.Request) (admission.Outcome, error) {
	ch := make(chan admission.Outcome, 1)
	d.mu.Lock()
	outcome := d.controller.Offer(request, d.clock.Now())
	if outcome.Verdict.Action == admission.Hold {
		d.waiting[request] = ch
	}
	d.mu.Unlock()
	if outcome.Verdict.Action != admission.Hold {
		return outcome, nil
	}
	select {
	case outcome = <-ch:
		return outcome, nil
	case <-ctx.Done():
		return d.withdraw(ctx, request, ch)
	}
}

// withdraw removes a held request whose context is done. A request that was
// accepted in the meantime is reported as not run.
func (d *Dispatcher) withdraw(ctx context.Context, request *admission.Request, ch chan admission.Outcome) (admission.Outcome, error) {
	d.mu.Lock()
	delete(d.waiting, request)
	d.mu.Unlock()
	d.controller.Withdraw(request)
	select {
	case outcome := <-ch:
		if outcome.Verdict.Action == admission.Accept {
			d.controller.NotRun(request, d.clock.Now())
		}
	default:
	}
	return admission.Outcome{}, refusal.NotRun(503, refusal.CodeOverloaded,
		"the request ended before an endpoint was free").WithCause(context.Cause(ctx))
}

// Retry implements gate.Dispatcher.
func (d *Dispatcher) Retry(work *gate.Work, failure gate.Failure) (time.Duration, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.budgets.Retry(retry.Attempt{
		Team:       work.Team,
		Class:      work.Class.Name,
		Number:     len(work.ExcludedEndpoints),
		Repeatable: work.Repeatable,
		NotRun:     failure.NotRun,
		Planned:    failure.Planned,
	}, d.clock.Now(), d.rng)
}

// GiveUpSilent implements gate.Dispatcher.
func (d *Dispatcher) GiveUpSilent(work *gate.Work, silent endpoint.Endpoint) (time.Duration, bool) {
	without := *work
	without.ExcludedEndpoints = append(slices.Clone(work.ExcludedEndpoints), silent.ID)
	silence := retry.Silence{
		Repeatable: work.Repeatable, Sends: len(without.ExcludedEndpoints), MaxSends: retry.MaxAttempts,
		Alternative: d.controller.WouldAccept(d.admissionRequest(&without), d.clock.Now()),
	}
	if !silence.MayGiveUp() {
		return 0, false
	}
	return d.Retry(&without, gate.Failure{})
}

func (d *Dispatcher) countSuspect(endpointID string, change int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.suspects[endpointID] += change
	if d.suspects[endpointID] == 0 {
		delete(d.suspects, endpointID)
	}
}

func (d *Dispatcher) suspectEndpoints() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	ids := make([]string, 0, len(d.suspects))
	for id := range d.suspects {
		ids = append(ids, id)
	}
	return ids
}

// assignment implements gate.Assignment.
type assignment struct {
	dispatcher *Dispatcher
	request    *admission.Request
	endpoint   endpoint.Endpoint
	// prefill is the engine of a disaggregated prefill; nil if endpoint runs
	// both phases.
	prefill *endpoint.Endpoint
	// exclusive is set for a suspected request, see gate.Work.Exclusive.
	exclusive bool
	// delivered is the number of output tokens delivered so far, including those
	// of earlier attempts.
	delivered int
	// sentAt is when the request was assigned, expected the expected time to the first
	// token.
	sentAt   time.Time
	expected time.Duration
}

// endpoints returns the IDs of the endpoints that run the request.
func (a *assignment) endpoints() []string {
	if a.prefill != nil {
		return []string{a.prefill.ID, a.endpoint.ID}
	}
	return []string{a.endpoint.ID}
}

// Endpoint implements gate.Assignment.
func (a *assignment) Endpoint() endpoint.Endpoint { return a.endpoint }

// Prefill implements gate.Assignment.
func (a *assignment) Prefill() (endpoint.Endpoint, bool) {
	if a.prefill == nil {
		return endpoint.Endpoint{}, false
	}
	return *a.prefill, true
}

// Priority implements gate.Assignment.
func (a *assignment) Priority() int { return a.request.Priority }

// TokenDelivered implements gate.Assignment.
func (a *assignment) TokenDelivered() {
	if a.delivered == a.request.Produced {
		a.dispatcher.pacer.answered(a.endpoints(), a.sentAt, a.expected, a.dispatcher.clock.Now())
	}
	a.delivered++
}

// CannotMeetTarget implements gate.Assignment.
func (a *assignment) CannotMeetTarget(elapsed, perToken time.Duration) bool {
	remaining := a.dispatcher.lengths.Remaining(a.request.Class.Name, a.delivered)
	return admission.ShouldCancel(admission.Progress{
		Class:      a.request.Class,
		Repeatable: a.request.Repeatable,
		Sent:       true,
		Elapsed:    elapsed,
		Produced:   a.delivered,
		Remaining:  time.Duration(remaining) * perToken,
	})
}

// Done implements gate.Assignment.
func (a *assignment) Done(result gate.Result) {
	d := a.dispatcher
	d.pacer.end(a, result.Err, d.clock.Now())
	if a.notRun(result.Err) {
		d.controller.NotRun(a.request, d.clock.Now())
	} else {
		d.controller.Finished(a.request, a.delivered, result.Err == nil, d.clock.Now())
	}
	if a.exclusive {
		d.countSuspect(a.endpoint.ID, -1)
	}
	if result.RetryAfter > 0 {
		d.pause(a.answered(result.Err), result.RetryAfter)
	}
	var refused *engineclient.RefusedError
	if errors.As(result.Err, &refused) && refused.Code == enginewire.CodeDraining && d.onDraining != nil {
		d.onDraining(a.answered(result.Err))
	}
}

// answered returns the endpoint whose answer ended the attempt with err.
func (a *assignment) answered(err error) endpoint.Endpoint {
	if _, peer := steperr.StepAndPeer(err); a.prefill != nil && peer == a.prefill.Address {
		return *a.prefill
	}
	return a.endpoint
}

// notRun reports whether an attempt that ended with err certainly did not run,
// because its engine refused it or could not be reached. With a separate prefill
// engine the error does not show whether the prefill ran, so the result is
// false.
func (a *assignment) notRun(err error) bool {
	if a.prefill != nil || a.delivered > a.request.Produced {
		return false
	}
	var refused *engineclient.RefusedError
	var connectErr *engineclient.ConnectError
	return errors.As(err, &refused) || errors.As(err, &connectErr)
}
