package retry

import "time"

// Hedge describes a request that has been sent and has returned no token yet.
type Hedge struct {
	Team, Class string
	Repeatable  bool
	// Elapsed is the time since the send. Expected is the predicted time to first
	// token, Limit the class's limit on it, zero if none.
	Elapsed, Expected, Limit time.Duration
	// Alternative is the time to first token predicted for a send to another
	// endpoint now; zero if there is no other endpoint.
	Alternative time.Duration
	// Hedged says that a second send was made already.
	Hedged bool
}

// lateFactor is the multiple of the predicted time to first token that must have
// passed before a hedge; a smaller excess is within the error of the prediction.
const lateFactor = 2

// Hedge decides whether to send the request to another endpoint as well, and
// spends a token if so. A request is hedged at most once, and only if the first
// send is well behind its prediction, the second can still meet the limit, and the
// budget has a token left.
func (b *Budgets) Hedge(h Hedge, now time.Time) bool {
	if !h.Repeatable || h.Hedged || h.Alternative == 0 || h.Limit == 0 {
		return false
	}
	if h.Elapsed < lateFactor*h.Expected || h.Elapsed < h.Limit/4 {
		return false
	}
	if h.Elapsed+h.Alternative > h.Limit {
		return false
	}
	return b.spend(h.Team, h.Class, now)
}
