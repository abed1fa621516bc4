package relay

import (
	"time"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/fleet"
	"github.com/clementineshed/clementineshed/pkg/outlier"
	"github.com/clementineshed/clementineshed/pkg/refusal"
	"github.com/clementineshed/clementineshed/pkg/routes"
	"github.com/clementineshed/clementineshed/pkg/upstream"
)

const (
	// maxUnsent bounds the endpoints that are tried for a request that has not
	// been sent yet.
	maxUnsent = 3
	// hedgeShare is the part of the target after which a repeatable request that
	// has no answer is sent to another endpoint.
	hedgeShare = 0.8
	// busyRetryAfter is told to callers when every endpoint's queue is full;
	// queues of short requests empty within this time.
	busyRetryAfter = 250 * time.Millisecond
)

// plain serves a request of a plain service.
func (h *Handler) plain(x *exchange) *refusal.Refusal {
	var tried []string
	var last error
	for unsentCount := 0; ; {
		if r := x.ended(); r != nil {
			return r
		}
		member, ok := h.Balancer.Pick(h.Fleet.Members(x.service), tried, h.Outliers, time.Now())
		if !ok {
			return h.exhausted(x, last)
		}
		answer, body, err := h.sendPlain(x, member)
		h.Balancer.Done(member.ID)
		if err == nil && !h.worthAnother(x, answer) {
			x.trace["endpoint"] = member.ID
			x.respond(answer, body)
			return nil
		}
		if err != nil {
			last = err
		}
		tried = append(tried, member.ID)
		if unsent(err) {
			if unsentCount++; unsentCount < maxUnsent {
				continue
			}
			return h.exhausted(x, last)
		}
		if r := x.ended(); r != nil {
			return r
		}
		if h.mayRepeat(x, err) {
			h.Metrics.Repeats.Add(1)
			continue
		}
		if err == nil {
			x.trace["endpoint"] = member.ID
			x.respond(answer, body)
			return nil
		}
		return h.exhausted(x, last)
	}
}

// worthAnother reports whether the endpoint's failure may be repeated elsewhere.
func (h *Handler) worthAnother(x *exchange, answer *upstream.Answer) bool {
	return answer.Status >= 500 && x.route.Runnable()
}

// mayRepeat decides on another send after a failed one and counts it.
func (h *Handler) mayRepeat(x *exchange, err error) bool {
	safe := x.route.Runnable() || certainlyNotRun(err)
	return safe && x.sends < max(x.route.MaxAttempts, 1) && h.Budget.Spend(x.service, time.Now())
}

// sendPlain sends the request and reads the whole answer.
func (h *Handler) sendPlain(x *exchange, m fleet.Member) (*upstream.Answer, []byte, error) {
	headLimit := time.Duration(0)
	if x.route.Kind == routes.Repeatable && x.sends+1 < x.route.MaxAttempts && x.route.Target > 0 {
		headLimit = time.Duration(hedgeShare * float64(x.route.Target))
	}
	answer, err := h.send(x, m, Send{}, headLimit, !x.route.Runnable())
	if !unsent(err) {
		x.sends++
	}
	if err != nil {
		return nil, nil, err
	}
	defer answer.Close()
	h.began(x)
	body, err := answer.ReadAll(maxAnswerBytes)
	if err != nil {
		h.judge(x, m, err)
		return nil, nil, err
	}
	if answer.Status >= 500 {
		h.failed(m, outlier.Erratic, statusError(answer))
	} else {
		h.Outliers.Succeeded(m, time.Now())
	}
	return answer, body, nil
}

// began notes that an endpoint has begun to run the request.
func (h *Handler) began(x *exchange) {
	if !x.ran && x.team != "" {
		h.OnRun(x.team)
	}
	x.ran = true
}

// exhausted is the refusal after the last failed send.
func (h *Handler) exhausted(x *exchange, err error) *refusal.Refusal {
	if x.ran || err != nil && !certainlyNotRun(err) {
		return refusal.Unknown(502, refusal.CodeEndpointFailed, "the endpoint failed; the request may have run").Because(err)
	}
	if err == nil {
		err = errors.New("no endpoint of the service is in use")
	}
	return refusal.NotRun(503, refusal.CodeNoEndpoint, "no endpoint took the request").After(x.retryAfter(busyRetryAfter)).Because(err)
}

// retryAfter bounds a wait by what the caller can still use: it comes back only
// within a third of the time that it has left.
func (x *exchange) retryAfter(wait time.Duration) time.Duration {
	return min(wait, x.left()/3)
}
