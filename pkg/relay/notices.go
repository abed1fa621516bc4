package relay

import (
	"slices"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/fleet"
	"github.com/clementineshed/clementineshed/pkg/outlier"
	"github.com/clementineshed/clementineshed/pkg/pace"
	"github.com/clementineshed/clementineshed/pkg/placement"
	"github.com/clementineshed/clementineshed/pkg/upstream"
)

// statesOwnCondition reports whether an answer, checked with the result err, states
// the condition of the endpoint that the request was sent to. A 421 is the answer of
// another instance.
func statesOwnCondition(answer *upstream.Answer, err error) bool {
	return answer.Status != 421 && !errors.Is(err, errWrongRequest) && !errors.Is(err, errNoStamp)
}

// applyNotices applies what an answer states about its endpoint. Announcements may
// state later that an endpoint leaves, or not at all; they do not tell of pauses.
func (h *Handler) applyNotices(m fleet.Member, status int, header AnswerHeader) {
	if header.Leaving && h.Fleet.MarkLeaving(m.ID, m.StartedMillis) {
		h.OnLeaving(m)
	}
	now := time.Now()
	if d := header.pause(status); d > 0 && h.Fleet.Pause(m, d, now) {
		h.Pace.Limit(placement.PaceEndpoint(m), pace.Paused, now)
		h.Log.WithFields(log.Fields{"endpoint": m.ID, "service": m.Service, "pause_ms": d.Milliseconds()}).Info("endpoint_paused")
	}
}

// ObserveAnswer applies what the head of an answer that passed through this host for
// another one states about its endpoint.
func (h *Handler) ObserveAnswer(m fleet.Member, answer *upstream.Answer) {
	if statesOwnCondition(answer, nil) {
		h.applyNotices(m, answer.Status, h.Codec.DecodeAnswerHeader(answer))
	}
}

// pause returns the time for which the endpoint of an answer wants no requests.
func (a AnswerHeader) pause(status int) time.Duration {
	if status != 503 {
		return 0
	}
	return a.RetryAfter
}

// recordBadAnswer records an answer with a status of 500 or more as a failure of the
// endpoint. One that asks for a pause is none: the endpoint is full.
func (h *Handler) recordBadAnswer(m fleet.Member, answer *upstream.Answer) {
	if h.Codec.DecodeAnswerHeader(answer).pause(answer.Status) == 0 {
		h.recordFailure(m, outlier.BadAnswer, statusError(answer))
	}
}

// health implements placement.Health.
type health struct{ h *Handler }

// Ejected implements placement.Health.
func (c health) Ejected(m fleet.Member, now time.Time) bool { return c.h.Outliers.Ejected(m, now) }

// PausedUntil implements placement.Health.
func (c health) PausedUntil(m fleet.Member) time.Time { return c.h.Fleet.PausedUntil(m) }

// health returns what this host knows of the condition of the endpoints.
func (h *Handler) health() placement.Health { return health{h} }

// firstPauseEnd returns when the first endpoint of the request's service and of a role
// takes work again, if all of them are paused.
func (h *Handler) firstPauseEnd(x *exchange, role endpoint.Role) (time.Time, bool) {
	members := h.Fleet.Members(x.service)
	if x.software != "" {
		members = slices.DeleteFunc(slices.Clone(members), func(m fleet.Member) bool { return m.SoftwareVersion != x.software })
	}
	return placement.FirstPauseEnd(members, role, h.health(), time.Now())
}

// retryAfterPause returns the Retry-After of a request that no endpoint of a role
// takes. usual is that without pauses.
func (h *Handler) retryAfterPause(x *exchange, role endpoint.Role, usual time.Duration) time.Duration {
	if end, paused := h.firstPauseEnd(x, role); paused {
		usual = time.Until(end)
	}
	return x.retryAfter(usual)
}
