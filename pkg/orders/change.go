package orders

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/enginewire"
	"github.com/clementineshed/clementineshed/pkg/lease"
	"github.com/clementineshed/clementineshed/pkg/steperr"
)

const (
	// MaxReportLag is the upper bound on the age of an engine's report when it
	// is read.
	MaxReportLag = 5 * time.Second
	// ChangeRetryDelay is the time after which a role change or load that was
	// accepted but does not show in a report is ordered again. It is longer than
	// a load, which takes tens of seconds.
	ChangeRetryDelay = 2 * time.Minute
)

// Target is the configuration that an engine is to run.
type Target struct {
	Role    endpoint.Role
	Model   string
	Version string
	// Adapter is loaded with the model. Reports do not contain it, so Next does
	// not compare it.
	Adapter string
}

// Step is one step of a planned change of an engine.
type Step string

// Steps. StepWait and StepDone send no order.
const (
	StepDrain  Step = "drain"
	StepWait   Step = "wait"
	StepRole   Step = "role"
	StepLoad   Step = "load"
	StepResume Step = "resume"
	StepDone   Step = "done"
)

// Next returns the step that follows for an engine with the given report.
// drained says that the engine accepted a drain under this lease and that the
// report is later than that. Next uses no other state, so that a successor can
// continue a change at any step.
func Next(load endpoint.Load, target Target, drained bool) Step {
	modelMatches := load.Model == target.Model && load.Version == target.Version
	matches := modelMatches && load.Role == target.Role
	switch {
	case matches && load.Draining:
		return StepResume
	case matches:
		return StepDone
	case !load.Draining || !drained:
		return StepDrain
	case load.Running > 0 || load.Waiting > 0:
		return StepWait
	case !modelMatches:
		return StepLoad
	}
	return StepRole
}

// progress is the progress of one engine's change under one lease term and one
// engine instance. It is lost with the process.
type progress struct {
	fence    int64
	instance string
	// drained is set once the engine accepts a drain, changeAccepted once it
	// accepts a role change or load.
	drained, changeAccepted bool
	changeAcceptedAt        time.Time
	// freshFrom is a time of the engine's clock, in Unix milliseconds. A report
	// from then on is certainly later than the last order.
	freshFrom int64
	// lastReport is the newest report; receivedAt is when it arrived.
	lastReport endpoint.Load
	receivedAt time.Time
}

// Changer carries out planned changes of engines. Its methods are safe for
// concurrent use, but steps for one engine must not run concurrently.
type Changer struct {
	sender *Sender

	mu sync.Mutex
	// engines is guarded by mu.
	engines map[string]*progress
}

// NewChanger returns a changer that sends through s.
func NewChanger(s *Sender) *Changer { return &Changer{sender: s, engines: map[string]*progress{}} }

// Step reads the engine's report and sends at most one order that brings the
// engine closer to target, under the lease k. The caller repeats it until it
// returns StepDone. Errors are those of SendEngine and of reading the report;
// after any of them the call may be repeated.
func (c *Changer) Step(ctx context.Context, k lease.Key, ep endpoint.Endpoint, target Target) (Step, error) {
	grant, err := c.sender.opts.Leases.Check(k)
	if err != nil {
		return "", steperr.Wrap(err, "plan change", ep.ID)
	}
	load, err := c.sender.opts.Engines.Load(ctx, ep)
	if err != nil {
		return "", steperr.Wrap(err, "read report", ep.ID)
	}
	p := c.recordReport(ep.ID, grant.Fence, load)
	step := c.nextStep(p, target)
	order, ok := orderFor(step, target)
	if !ok {
		return step, nil
	}
	ep.Instance = p.instance
	err = c.sender.SendEngine(ctx, k, ep, order)
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Code == enginewire.CodeChanging {
		return StepWait, nil
	}
	if errors.Is(err, ErrUnanswered) {
		c.requireLaterReport(p)
		p.drained = p.drained && step != StepResume
	}
	if err != nil {
		return step, err
	}
	c.recordAnswer(p, step)
	c.sender.opts.Log.WithFields(log.Fields{"engine": ep.ID, "step": string(step), "fence": grant.Fence}).Info("engine_order_answered")
	return step, nil
}

// recordReport stores a report. A new lease term or a new engine instance resets
// the progress.
func (c *Changer) recordReport(id string, fence int64, load endpoint.Load) *progress {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.engines[id]
	if p == nil || p.fence != fence || p.instance != load.Instance {
		p = &progress{fence: fence, instance: load.Instance}
		c.engines[id] = p
	}
	if p.receivedAt.IsZero() || load.ReportedAtMillis > p.lastReport.ReportedAtMillis {
		p.lastReport, p.receivedAt = load, c.sender.opts.Clock.Now()
	}
	return p
}

// nextStep returns the step to take now. It returns StepWait until a report is
// certainly later than the last order, and while an accepted change may still be
// running.
func (c *Changer) nextStep(p *progress, target Target) Step {
	fresh := p.lastReport.ReportedAtMillis >= p.freshFrom || c.sender.overrides.noFreshReport
	if !fresh {
		return StepWait
	}
	step := Next(p.lastReport, target, p.drained)
	pending := p.changeAccepted && c.sender.opts.Clock.Since(p.changeAcceptedAt) < ChangeRetryDelay
	if pending && (step == StepRole || step == StepLoad) {
		return StepWait
	}
	return step
}

// recordAnswer records that the engine accepted the order of step.
func (c *Changer) recordAnswer(p *progress, step Step) {
	c.requireLaterReport(p)
	p.drained = step != StepResume
	p.changeAccepted = step == StepRole || step == StepLoad
	p.changeAcceptedAt = c.sender.opts.Clock.Now()
}

// requireLaterReport makes nextStep wait for a report taken after now. At this
// moment the engine's clock shows at most the time in the last report, plus the
// time since that report arrived, plus MaxReportLag.
func (c *Changer) requireLaterReport(p *progress) {
	age := c.sender.opts.Clock.Since(p.receivedAt)
	p.freshFrom = p.lastReport.ReportedAtMillis + (age + MaxReportLag).Milliseconds()
}

// orderFor returns the order of a step, and false for a step without one.
func orderFor(step Step, target Target) (enginewire.Order, bool) {
	switch step {
	case StepDrain:
		return enginewire.Order{Kind: enginewire.OrderDrain}, true
	case StepResume:
		return enginewire.Order{Kind: enginewire.OrderResume}, true
	case StepRole:
		return enginewire.Order{Kind: enginewire.OrderRole, Role: target.Role}, true
	case StepLoad:
		return enginewire.Order{Kind: enginewire.OrderLoad, Role: target.Role, Model: target.Model, Version: target.Version, Adapter: target.Adapter}, true
	}
	return enginewire.Order{}, false
}
