package relay

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/fleet"
	"github.com/clementineshed/clementineshed/pkg/placement"
	"github.com/clementineshed/clementineshed/pkg/refusal"
	"github.com/clementineshed/clementineshed/pkg/retry"
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

// plainRequest serves one request at a service without engines. A stream of events is
// passed on as it arrives, any other answer once it is complete.
type plainRequest struct {
	h *Handler
	x *exchange
	// tried lists the endpoints that the request was sent to.
	tried []string
	// lastErr is the error of the last send, nil after an answer. failed is the last
	// answer after which the request was sent again, nil if there was none or a stream has
	// begun.
	lastErr error
	failed  *failedAnswer
	// unreachable counts the endpoints that could not be reached.
	unreachable int
	// refusedAfterFailure says that an endpoint without room has left the repetition of a
	// failed request to another one.
	refusedAfterFailure bool
}

// plainAnswer is the answer of an endpoint without an engine: complete with its body, or
// a stream of which only the head has been read.
type plainAnswer struct {
	head   *upstream.Answer
	body   []byte
	stream *stream
}

// serve answers the request, or returns the refusal to send.
func (p *plainRequest) serve() *refusal.Refusal {
	s, r := p.send()
	if r != nil {
		return r
	}
	return p.x.forwardStream(s)
}

// end ends a request that is not sent again: with the last failure that an endpoint
// answered with, which tells the caller more than a refusal, or with a refusal.
func (p *plainRequest) end() *refusal.Refusal {
	if p.failed == nil {
		return p.h.noEndpointRefusal(p.x, p.lastErr)
	}
	p.x.logFields["endpoint"] = p.failed.endpoint
	if p.lastErr != nil {
		p.x.logFields["cause"] = p.lastErr.Error()
	}
	p.x.respond(p.failed.answer, p.failed.body)
	return nil
}

// send sends the request to endpoints until it is answered. Both results are nil if the
// answer was passed on completely.
func (p *plainRequest) send() (*stream, *refusal.Refusal) {
	h, x := p.h, p.x
	for {
		if r := x.cancellationRefusal(); r != nil {
			return nil, r
		}
		if r := h.quarantineRefusal(x); r != nil {
			return nil, r
		}
		sentAt := time.Now()
		member, ok := h.Balancer.Pick(h.Fleet.Members(x.service), h.excluded(x, p.tried), h.health(), sentAt)
		if !ok {
			return nil, p.end()
		}
		sent := h.Balancer.Report(member)
		h.OnSent(x.service, sent)
		x.logFields["expected_ms"] = sent.WorkMicros / 1000
		got, err := p.sendTo(member, sentAt)
		if got.stream == nil {
			h.Balancer.Done(member, sentAt, err == nil && got.head.Status < 500, time.Now())
		}
		p.tried = append(p.tried, member.ID)
		if err == nil && !h.isRetryableAnswer(x, got.head) {
			x.logFields["endpoint"] = member.ID
			if got.stream == nil {
				x.respond(got.head, got.body)
			}
			return got.stream, nil
		}
		if err != nil {
			p.lastErr = err
		} else {
			p.failed, p.lastErr = &failedAnswer{member.ID, got.head, got.body}, nil
		}
		if notSent(err) {
			if p.unreachable++; p.unreachable < maxUnreachableEndpoints {
				continue
			}
			return nil, p.end()
		}
		if p.failed != nil && provesNotRun(err) && !misdirected(err) && !p.refusedAfterFailure {
			// An endpoint without room leaves the repetition to another one, once.
			p.refusedAfterFailure = true
			x.attempts--
		}
		if r := x.cancellationRefusal(); r != nil {
			return nil, r
		}
		if !h.mayRetry(x, err) {
			return nil, p.end()
		}
		h.Metrics.Retries.Add(1)
	}
}

// silence implements streamSource.
func (p *plainRequest) silence(*stream) func(time.Time) retry.Silence {
	if !p.x.mayResume() {
		return nil
	}
	return p.h.silentPlain(p.x, p.tried, p.x.attempts)
}

// progressed implements streamSource. The answers that failed before are of no use once
// the head of a stream is sent.
func (p *plainRequest) progressed(*stream) { p.failed = nil }

// ended implements streamSource.
func (p *plainRequest) ended(s *stream, outcome placement.Outcome) {
	now, complete := time.Now(), outcome == placement.Completed
	p.h.Balancer.Done(s.member, s.sentAt, complete, now)
	if complete {
		p.h.Pace.AnsweredTypical(s.member.Service, s.member.ID, s.sentAt, now)
	}
}

// resume implements streamSource.
func (p *plainRequest) resume(_ *stream, cause error) (*stream, *refusal.Refusal) {
	if !p.h.mayRetry(p.x, cause) {
		return nil, streamBrokenRefusal(cause)
	}
	p.lastErr = cause
	p.h.Metrics.Resumed.Add(1)
	return p.send()
}

// excluded returns the endpoints of a plain service that do not get a request which the
// tried ones got: these, and for a stream that has begun those of other software versions.
func (h *Handler) excluded(x *exchange, tried []string) []string {
	if x.software == "" {
		return tried
	}
	out := slices.Clone(tried)
	for _, m := range h.Fleet.Members(x.service) {
		if m.SoftwareVersion != x.software {
			out = append(out, m.ID)
		}
	}
	return out
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

// headLimit bounds the time to the head of the answer of m. A request that is not sent
// again is waited for as long as its caller waits.
func (p *plainRequest) headLimit(m fleet.Member) headLimit {
	x := p.x
	if !x.route.MayRepeat() || x.attempts+1 >= x.route.MaxAttempts {
		return headLimit{}
	}
	silence := p.h.silentPlain(x, append(slices.Clone(p.tried), m.ID), x.attempts+1)
	switch {
	case x.route.Kind == routes.Stream:
		return headLimit{stallTimeout, silence}
	case x.route.Target > 0:
		return headLimit{time.Duration(headTimeoutShare * float64(x.route.Target)), silence}
	}
	return headLimit{}
}

// sendTo sends the request to an endpoint. Unless the answer is a stream, it reads the
// complete answer and records the endpoint's success or failure.
func (p *plainRequest) sendTo(m fleet.Member, sentAt time.Time) (plainAnswer, error) {
	h, x := p.h, p.x
	var opts ForwardOptions
	if x.route.Kind == routes.Stream {
		opts.LastEventID = x.lastDelivered
	}
	answer, err := h.send(x, m, opts, p.headLimit(m), !x.route.MayRepeat())
	if !notSent(err) && !misdirected(err) {
		x.attempts++
	}
	if err != nil {
		return plainAnswer{}, err
	}
	if x.route.Kind == routes.Stream && isEventStream(answer) {
		return plainAnswer{head: answer, stream: &stream{x: x, source: p, answer: answer, member: m, sentAt: sentAt}}, nil
	}
	defer answer.Close()
	h.markRunning(x)
	body, err := answer.ReadAll(maxAnswerBytes)
	if err != nil {
		h.confirmCrash(x, m, sentAt, time.Time{})
		h.recordSendError(x, m, err)
		return plainAnswer{}, err
	}
	h.Guard.Completed(x.crashFeatures())
	if answer.Status >= 500 {
		h.recordBadAnswer(m, answer)
	} else {
		now := time.Now()
		h.Outliers.Succeeded(m, now)
		h.Pace.AnsweredTypical(m.Service, m.ID, sentAt, now)
	}
	if x.streaming {
		return plainAnswer{}, errors.Wrapf(errNoEventStream, "status %d", answer.Status)
	}
	return plainAnswer{head: answer, body: body}, nil
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
