package relay

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/fleet"
	"github.com/clementineshed/clementineshed/pkg/refusal"
	"github.com/clementineshed/clementineshed/pkg/routes"
	"github.com/clementineshed/clementineshed/pkg/upstream"
)

const (
	// maxUnreachableEndpoints bounds the tries while no endpoint can be reached.
	maxUnreachableEndpoints = 3
	// headTimeoutShare is the part of the route's Target after which a repeatable
	// request without an answer is sent to another endpoint.
	headTimeoutShare = 0.8
	// busyRetryAfter is the Retry-After when every endpoint's queue is full. Queues
	// of short requests empty within this time.
	busyRetryAfter = 250 * time.Millisecond
)

// failedAnswer is an answer with a failure after which a request was sent again.
type failedAnswer struct {
	endpoint string
	answer   *upstream.Answer
	body     []byte
}

// endPlain ends a request that is not sent again: with the last failure that an endpoint
// answered with, which tells the caller more than a refusal, or with a refusal.
func (h *Handler) endPlain(x *exchange, failed *failedAnswer, err error) *refusal.Refusal {
	if failed == nil {
		return h.noEndpointRefusal(x, err)
	}
	x.logFields["endpoint"] = failed.endpoint
	if err != nil {
		x.logFields["cause"] = err.Error()
	}
	x.respond(failed.answer, failed.body)
	return nil
}

// servePlain serves a request to a service without engines. The answer is not
// streamed.
func (h *Handler) servePlain(x *exchange) *refusal.Refusal {
	var tried []string
	var lastErr error
	var failed *failedAnswer
	refusedAfterFailure := false
	for notSentCount := 0; ; {
		if r := x.cancellationRefusal(); r != nil {
			return r
		}
		if r := h.quarantineRefusal(x); r != nil {
			return r
		}
		sentAt := time.Now()
		member, ok := h.Balancer.Pick(h.Fleet.Members(x.service), tried, h.health(), sentAt)
		if !ok {
			return h.endPlain(x, failed, lastErr)
		}
		sent := h.Balancer.Report(member)
		h.OnSent(x.service, sent)
		x.logFields["expected_ms"] = sent.WorkMicros / 1000
		answer, body, err := h.sendPlain(x, member, tried)
		h.Balancer.Done(member, sentAt, err == nil && answer.Status < 500, time.Now())
		if err == nil && !h.isRetryableAnswer(x, answer) {
			x.logFields["endpoint"] = member.ID
			x.respond(answer, body)
			return nil
		}
		if err != nil {
			lastErr = err
		} else {
			failed, lastErr = &failedAnswer{member.ID, answer, body}, nil
		}
		tried = append(tried, member.ID)
		if notSent(err) {
			if notSentCount++; notSentCount < maxUnreachableEndpoints {
				continue
			}
			return h.endPlain(x, failed, lastErr)
		}
		if failed != nil && provesNotRun(err) && !misdirected(err) && !refusedAfterFailure {
			// An endpoint without room leaves the repetition to another one, once.
			refusedAfterFailure = true
			x.attempts--
		}
		if r := x.cancellationRefusal(); r != nil {
			return r
		}
		if h.mayRetry(x, err) {
			h.Metrics.Retries.Add(1)
			continue
		}
		return h.endPlain(x, failed, lastErr)
	}
}

// isRetryableAnswer reports whether the endpoint answered with a failure after
// which the request may be sent to another one.
func (h *Handler) isRetryableAnswer(x *exchange, answer *upstream.Answer) bool {
	return answer.Status >= 500 && x.route.MayRepeat()
}

// mayRetry reports whether the request may be sent again after a failed send, and
// takes the retry from the retry budget if so. err is nil after an answer.
func (h *Handler) mayRetry(x *exchange, err error) bool {
	safe := x.route.MayRepeat() || provesNotRun(err)
	return safe && x.attempts < max(x.route.MaxAttempts, 1) && x.takeRetry()
}

// sendPlain sends the request, reads the complete answer and records the
// endpoint's success or failure. tried lists the endpoints that have failed it.
func (h *Handler) sendPlain(x *exchange, m fleet.Member, tried []string) (*upstream.Answer, []byte, error) {
	var limit headLimit
	if x.route.Kind == routes.Repeatable && x.attempts+1 < x.route.MaxAttempts && x.route.Target > 0 {
		limit = headLimit{time.Duration(headTimeoutShare * float64(x.route.Target)), h.silentPlain(x, append(slices.Clone(tried), m.ID))}
	}
	sentAt := time.Now()
	answer, err := h.send(x, m, ForwardOptions{}, limit, !x.route.MayRepeat())
	if !notSent(err) && !misdirected(err) {
		x.attempts++
	}
	if err != nil {
		return nil, nil, err
	}
	defer answer.Close()
	h.markRunning(x)
	body, err := answer.ReadAll(maxAnswerBytes)
	if err != nil {
		h.confirmCrash(x, m, sentAt, time.Time{})
		h.recordSendError(x, m, err)
		return nil, nil, err
	}
	h.Guard.Completed(x.crashFeatures())
	if answer.Status >= 500 {
		h.recordBadAnswer(m, answer)
	} else {
		now := time.Now()
		h.Outliers.Succeeded(m, now)
		h.Pace.AnsweredTypical(m.Service, m.ID, sentAt, now)
	}
	return answer, body, nil
}

// markRunning records that an endpoint has begun to run the request.
func (h *Handler) markRunning(x *exchange) {
	if !x.ran && x.team != "" {
		h.OnRun(x.team)
	}
	x.ran = true
}

// noEndpointRefusal returns the refusal after the last failed send. err is nil if
// no send failed with an error.
func (h *Handler) noEndpointRefusal(x *exchange, err error) *refusal.Refusal {
	if x.ran || err != nil && !provesNotRun(err) {
		return refusal.Unknown(502, refusal.CodeEndpointFailed, "the endpoint failed; the request may have run").WithCause(err)
	}
	if err == nil {
		err = errors.New("no endpoint of the service is available")
	}
	return refusal.NotRun(503, refusal.CodeNoEndpoint, "no endpoint took the request").WithRetryAfter(h.retryAfterPause(x, "", busyRetryAfter)).WithCause(err)
}

// retryAfter bounds a Retry-After by a third of the time that the caller has left:
// a caller does not return after a longer one.
func (x *exchange) retryAfter(wait time.Duration) time.Duration {
	return min(wait, x.remaining()/3)
}
