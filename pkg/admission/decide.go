package admission

import (
	"time"

	"github.com/clementineshed/clementineshed/pkg/declaration"
)

// Action is the kind of decision on a request.
type Action int

// Accept sends the request now. Hold keeps it in the hold queue, to be decided
// on again. Refuse answers it as not run.
const (
	Accept Action = iota
	Hold
	Refuse
)

// String implements fmt.Stringer.
func (a Action) String() string { return [...]string{"accept", "hold", "refuse"}[a] }

// Input is what a Policy decides on.
type Input struct {
	Class declaration.Class
	// Waited is the time since the request arrived.
	Waited time.Duration
	// Routed is false if no endpoint can take the request now. The predictions
	// are then ignored.
	Routed bool
	// FirstToken and BetweenTokens are the predicted time to the first token and
	// between tokens if the request is sent now.
	FirstToken, BetweenTokens time.Duration
	// Service is the part of FirstToken that does not depend on the queue: the
	// prefill and the network delay.
	Service time.Duration
	// Remaining is the predicted time from the first token to the end.
	Remaining time.Duration
	// HeldAhead is the predicted prefill time of the held requests that precede
	// this one in the queue order.
	HeldAhead time.Duration
	// PausedFor is the time until the first endpoint takes work again, if all that
	// serve the request are paused; otherwise zero.
	PausedFor time.Duration
	// NeighbourLimit is the strictest limit between tokens of the classes that
	// share the endpoints; zero if none has one.
	NeighbourLimit time.Duration
	// OverShare is set if the request's team has used more than its fair share
	// while another team waits or may return, see fairness.Ledger.OverShare.
	OverShare bool
}

// Verdict is the result of Policy.Decide.
type Verdict struct {
	Action Action
	// RetryAfter is set with Refuse. It is the predicted time until the backlog
	// allows the request's limits.
	RetryAfter time.Duration
}

// Policy is an admission strategy. Decide must be a pure function.
type Policy interface {
	Decide(in Input) Verdict
}

// AcceptAll accepts every request that can be routed and refuses the rest. It
// disables admission control.
type AcceptAll struct{}

// Decide implements Policy.
func (AcceptAll) Decide(in Input) Verdict {
	if !in.Routed {
		return Verdict{Action: Refuse, RetryAfter: MinRetryAfter}
	}
	return Verdict{Action: Accept}
}
