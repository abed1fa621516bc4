package admission

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/clementineshed/clementineshed/pkg/declaration"
	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/fairness"
	"github.com/clementineshed/clementineshed/pkg/prefix"
	"github.com/clementineshed/clementineshed/pkg/routing"
)

const (
	// pollScanLimit bounds the held requests that one Poll routes.
	pollScanLimit = 64
	// maxStillHeld ends a Poll after this number of requests that remain held,
	// because those behind them wait for the same capacity.
	maxStillHeld = 8
	// aheadScanLimit bounds the held requests that heldAhead visits.
	aheadScanLimit = 1024
	// overShareFactor is the multiple of its fair share above which a team counts
	// as over its share. Smaller differences may come from the gossip delay.
	overShareFactor = 1.25
)

// Request is a request for admission. The controller owns it from Offer until it
// returns it in an Outcome other than Hold.
type Request struct {
	routing.Request
	Team    string
	Class   declaration.Class
	Arrived time.Time
	// Produced is the number of output tokens that were delivered before an
	// interruption. A request with Produced above 0 resumes a stream and is never
	// refused.
	Produced int
	// MaxOutput is the caller's limit on output tokens; zero for no limit.
	MaxOutput int
	// Value is for the caller's use; the controller ignores it.
	Value any

	// chargedOutput is the estimated output work charged to the ledger with
	// Accept, in units of fairness.Work.
	chargedOutput float64
	// uncachedTokens is the number of tokens to prefill under the last plan.
	uncachedTokens int
	// lastInput is the input of the last decision.
	lastInput Input
}

// boundOutput caps an estimate of the remaining output tokens by MaxOutput.
func (r *Request) boundOutput(estimate int) int {
	if r.MaxOutput == 0 {
		return estimate
	}
	return max(1, min(estimate, r.MaxOutput-r.Produced))
}

// Outcome is the decision on a request.
type Outcome struct {
	Request *Request
	Verdict Verdict
	// Plan is the plan of the decision. It is to be carried out with Accept.
	Plan routing.Plan
	// Run is the endpoint to send to, Decode the engine that generates the output
	// if Plan.Disaggregated is set. Both are set only with Accept.
	Run, Decode endpoint.Endpoint
}

// Router plans requests; *routing.Router implements it.
type Router interface {
	Route(req routing.Request, snap *routing.Snapshot, matches []prefix.Match, rng *rand.Rand) (routing.Plan, bool)
}

// Config holds the settings and dependencies of a Controller.
type Config struct {
	Router  Router
	Policy  Policy
	Index   *prefix.Index
	Sends   *routing.SendLog
	Ledger  *fairness.Ledger
	Lengths *Lengths
	Rand    *rand.Rand
	// Fair orders the hold queue by the teams' fair shares and restricts teams
	// over their share, see Predictive.Reserve. Without it held requests are
	// ordered by priority, then arrival.
	Fair bool
	// NeighbourLimit is the strictest limit between tokens of the classes; zero if
	// none has one.
	NeighbourLimit time.Duration
}

// Controller routes and admits the requests of one entry host and keeps its hold
// queue. It is safe for concurrent use; decisions are serialised.
type Controller struct {
	config Config

	mu      sync.Mutex
	snap    *routing.Snapshot         // guarded by mu
	queue   *fairness.Queue[*Request] // guarded by mu
	matches []prefix.Match            // guarded by mu; scratch
}

// NewController returns a controller that holds requests until the first
// SetSnapshot.
func NewController(config Config, now time.Time) *Controller {
	c := &Controller{config: config}
	ledger := config.Ledger
	if !config.Fair {
		ledger = fairness.NewLedger(0, now)
	}
	c.queue = fairness.NewQueue[*Request](ledger)
	return c
}

// SetSnapshot replaces the snapshot. Call it after each load report or change of
// the endpoint table.
func (c *Controller) SetSnapshot(snap *routing.Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.snap = snap
}

// Offer decides on a new or interrupted request. With Accept the request counts
// as sent. With Hold the outcome comes from a later Poll, unless the request is
// withdrawn.
func (c *Controller) Offer(req *Request, now time.Time) Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	outcome := c.decide(req, c.prepare(req), now)
	if outcome.Verdict.Action == Hold {
		c.queue.Push(c.queueTeam(req), req.Priority, req)
	}
	return outcome
}

// prepare sets the bound of the output of an offered request and returns the
// predicted time of the held requests before it. It must be called with mu held.
func (c *Controller) prepare(req *Request) (ahead time.Duration) {
	req.OutputTokens = req.boundOutput(c.config.Lengths.Remaining(req.Class.Name, req.Produced))
	if c.queue.Len() == 0 {
		return 0
	}
	// A new request must not overtake held ones, so the predicted time of those that
	// precede it in the queue order is added.
	return c.heldAhead(req)
}

// WouldAccept reports whether Offer would accept the request now. Nothing is sent.
func (c *Controller) WouldAccept(req *Request, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evaluate(req, c.prepare(req), now).Verdict.Action == Accept
}

// Poll reconsiders held requests in queue order and returns those that are now
// accepted or refused. Call it after SetSnapshot, and every 50 ms while Held is
// not 0.
func (c *Controller) Poll(now time.Time) []Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	outcomes := c.expire(now)
	var stillHeld []fairness.Item[*Request]
	var ahead time.Duration
	for range pollScanLimit {
		item, ok := c.queue.Pop()
		if !ok {
			break
		}
		outcome := c.decide(item.Value, ahead, now)
		if outcome.Verdict.Action == Hold {
			stillHeld = append(stillHeld, item)
			ahead += c.prefillTime(item.Value)
			if len(stillHeld) >= maxStillHeld {
				break
			}
			continue
		}
		outcomes = append(outcomes, outcome)
	}
	for _, item := range stillHeld {
		c.queue.Requeue(item)
	}
	return outcomes
}

// expire refuses the held requests that have waited too long to meet their
// limits. It does not route them again. It must be called with mu held.
func (c *Controller) expire(now time.Time) []Outcome {
	var outcomes []Outcome
	c.queue.Retain(func(_ string, req *Request) bool {
		in := req.lastInput
		in.Waited, in.Routed, in.HeldAhead = now.Sub(req.Arrived), false, 0
		verdict := c.verdict(req, in)
		if verdict.Action != Refuse {
			return true
		}
		outcomes = append(outcomes, Outcome{Request: req, Verdict: verdict})
		return false
	})
	return outcomes
}

// Held returns the number of held requests.
func (c *Controller) Held() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.queue.Len()
}

// Withdraw removes a held request whose caller is gone. It has no effect on a
// request that is not held.
func (c *Controller) Withdraw(req *Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue.Retain(func(_ string, held *Request) bool { return held != req })
}

// Finished reports the end of a sent request. output is the total number of
// delivered output tokens, including Request.Produced; complete is set if the
// answer was not cut off. It replaces the charged output estimate by the actual
// output and, for a complete answer, updates Config.Lengths. The prefill stays
// charged, see NotRun.
func (c *Controller) Finished(req *Request, output int, complete bool, now time.Time) {
	if complete {
		c.config.Lengths.Observe(req.Class.Name, output)
	}
	generated := fairness.Work(0, output-req.Produced)
	c.config.Ledger.Add(req.Team, generated-req.chargedOutput, now)
}

// NotRun reports that a sent request certainly did not run. It refunds the
// charged output and prefill, so that the team is not charged twice when the
// request is sent again.
func (c *Controller) NotRun(req *Request, now time.Time) {
	c.config.Ledger.Add(req.Team, -fairness.Work(req.uncachedTokens, 0)-req.chargedOutput, now)
}

// queueTeam returns the team under which the request is queued. All requests
// share one if the queue is not fair.
func (c *Controller) queueTeam(req *Request) string {
	if c.config.Fair {
		return req.Team
	}
	return ""
}

// decide evaluates the request and records the send if it is accepted. It must be
// called with mu held.
func (c *Controller) decide(req *Request, ahead time.Duration, now time.Time) Outcome {
	outcome := c.evaluate(req, ahead, now)
	if outcome.Verdict.Action == Accept {
		c.recordSend(req, outcome.Plan, now)
		outcome.Run = c.snap.Endpoints[outcome.Plan.Run.Index].Endpoint
		if outcome.Plan.Disaggregated {
			outcome.Decode = c.snap.Endpoints[outcome.Plan.Decode.Index].Endpoint
		}
	}
	return outcome
}

// evaluate routes the request and applies the policy. ahead is the predicted time
// of the held requests before it. It must be called with mu held.
func (c *Controller) evaluate(req *Request, ahead time.Duration, now time.Time) Outcome {
	in := Input{Class: req.Class, Waited: now.Sub(req.Arrived), HeldAhead: ahead, NeighbourLimit: c.config.NeighbourLimit}
	in.OverShare = c.config.Fair && c.config.Ledger.OverShare(req.Team, overShareFactor)
	var plan routing.Plan
	if c.snap != nil {
		c.matches = c.config.Index.Lookup(c.matches[:0], req.Chain, routing.DefaultHolders)
		plan, in.Routed = c.config.Router.Route(req.Request, c.snap, c.matches, c.config.Rand)
		if end, paused := c.snap.FirstPauseEnd(req.Request); !in.Routed && paused {
			in.PausedFor = max(0, end.Sub(now))
		}
	}
	in.FirstToken = plan.Estimate.FirstToken
	in.BetweenTokens = plan.Estimate.BetweenTokens
	in.Service = in.FirstToken - plan.Estimate.Queue
	in.Remaining = time.Duration(req.OutputTokens) * in.BetweenTokens
	req.lastInput = in
	req.uncachedTokens = max(0, req.PromptTokens+req.Produced-plan.Run.CachedTokens)
	return Outcome{Request: req, Verdict: c.verdict(req, in), Plan: plan}
}

func (c *Controller) verdict(req *Request, in Input) Verdict {
	if req.Produced > 0 {
		// The answer has begun, so a refusal as "not run" would be wrong.
		if in.Routed {
			return Verdict{Action: Accept}
		}
		return Verdict{Action: Hold}
	}
	return c.config.Policy.Decide(in)
}

// recordSend counts an accepted request as sent: it charges the team and updates
// the send log and the prefix index. It must be called with mu held.
func (c *Controller) recordSend(req *Request, plan routing.Plan, now time.Time) {
	run := &c.snap.Endpoints[plan.Run.Index]
	req.chargedOutput = fairness.Work(0, req.OutputTokens)
	c.config.Ledger.Add(req.Team, fairness.Work(req.uncachedTokens, req.OutputTokens), now)
	c.config.Sends.Add(run.ID, routing.SendSize{PrefillTokens: req.uncachedTokens, Decodes: !plan.Disaggregated}, now)
	if plan.Disaggregated {
		c.config.Sends.Add(c.snap.Endpoints[plan.Decode.Index].ID, routing.SendSize{Decodes: true}, now)
	}
	if run.IsEngine() {
		c.config.Index.RecordSend(run.ID, run.Instance, req.Chain, now)
	}
}

// heldAhead returns the predicted prefill time of the held requests that precede
// req. It visits at most aheadScanLimit requests to bound its cost.
func (c *Controller) heldAhead(req *Request) time.Duration {
	var ahead time.Duration
	c.queue.Each(aheadScanLimit, func(item fairness.Item[*Request]) {
		if c.queue.TeamBefore(item.Team, c.queueTeam(req)) {
			ahead += c.prefillTime(item.Value)
		}
	})
	return ahead
}

// prefillTime returns the time that the prefill of a held request takes from all
// engines of its model together, assuming that every host holds a similar
// request.
func (c *Controller) prefillTime(req *Request) time.Duration {
	if c.snap == nil {
		return 0
	}
	rate := c.snap.PrefillRate(req.Model)
	if rate == 0 {
		return 0
	}
	return time.Duration(float64(req.uncachedTokens) / rate * float64(c.snap.Hosts) * float64(time.Second))
}
