package relay

import (
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/descriptors"
	"github.com/clementineshed/clementineshed/pkg/fleet"
	"github.com/clementineshed/clementineshed/pkg/httphead"
	"github.com/clementineshed/clementineshed/pkg/jsonhttp"
	"github.com/clementineshed/clementineshed/pkg/outlier"
	"github.com/clementineshed/clementineshed/pkg/pace"
	"github.com/clementineshed/clementineshed/pkg/placement"
	"github.com/clementineshed/clementineshed/pkg/refusal"
	"github.com/clementineshed/clementineshed/pkg/retry"
	"github.com/clementineshed/clementineshed/pkg/steperr"
	"github.com/clementineshed/clementineshed/pkg/upstream"
)

// refusalCooldown is how long an endpoint that refused a request gets no model
// work: about the time in which one of its requests ends.
const refusalCooldown = 250 * time.Millisecond

var (
	// errWrongRequest reports an answer that belongs to another request.
	errWrongRequest = errors.New("the answer belongs to another request")
	// errUnattributed reports an answer without an id on a connection in use again. It
	// may belong to an earlier request, so that it proves nothing about this one.
	errUnattributed = errors.New("the answer on a reused connection names no request")
	// errNoStatement reports a status that promises callers that the request has not run,
	// from an endpoint that does not state it.
	errNoStatement = errors.New("the endpoint does not state that the request has not run")
	// errProcessGone reports an endpoint that broke off a request and then refused a new
	// connection.
	errProcessGone = errors.New("the endpoint's process is gone")
	// errNoStamp reports a success without the stamp of an endpoint.
	errNoStamp = errors.New("the answer carries no endpoint stamp")
)

// notRunError reports an endpoint's statement that it has not run the request.
type notRunError struct {
	endpoint string
	status   int
}

func (e *notRunError) Error() string { return "endpoint " + e.endpoint + " did not run the request" }

// statusError returns an error for a failure status of an endpoint.
func statusError(answer *upstream.Answer) error {
	return errors.Errorf("the endpoint answered with status %d", answer.Status)
}

// provesNotRun reports whether err proves that the request did not run.
func provesNotRun(err error) bool {
	var refused *notRunError
	var unsent *jsonhttp.NotSentError
	return errors.As(err, &refused) || errors.As(err, &unsent)
}

// refusedItself reports whether err is the refusal of the endpoint that the request was
// sent to. A 421 is the answer of another instance.
func refusedItself(err error) bool {
	var refused *notRunError
	return errors.As(err, &refused) && refused.status != 421
}

// misdirected reports whether err is the answer of another instance than the endpoint. It
// proves that the request did not run, and says nothing about the endpoint's load: a
// repetition does not count against the sends of a request, only against the retry
// budget. The endpoint is left out, so that there are not more than there are endpoints.
func misdirected(err error) bool {
	var refused *notRunError
	return errors.As(err, &refused) && refused.status == 421
}

// notSent reports whether err proves that the endpoint has not seen the request.
func notSent(err error) bool {
	var e *jsonhttp.NotSentError
	return errors.As(err, &e)
}

// headLimit bounds the time to the head of an answer.
type headLimit struct {
	// timeout is the time after which the endpoint counts as silent, zero if there is
	// no bound. silence describes the silence then, to decide whether to wait on.
	timeout time.Duration
	silence func(now time.Time) retry.Silence
}

// send sends the request to an endpoint and returns the answer if it belongs to
// the request and, for a success, carries an endpoint's stamp. newConn asks for a new
// connection. A failure is recorded against the endpoint.
func (h *Handler) send(x *exchange, m fleet.Member, opts ForwardOptions, limit headLimit, newConn bool) (*upstream.Answer, error) {
	answer, err := h.exchangeWith(x, m, opts, limit, newConn)
	if err != nil && opts.Phase != PhasePrefill && !provesNotRun(err) {
		x.mayHaveRun = true
	}
	return answer, err
}

// idleConnectionShare is the part of the connections that an endpoint accepts which all
// hosts together keep idle. Past that number it resets new ones.
const idleConnectionShare = 0.5

// maxIdle returns the number of idle connections to keep to an endpoint of the request's
// service, zero if it is not bounded. Plain services have few endpoints, each of which
// every host uses, and each order opens a connection: with 24 kept by each of 6 hosts, 10
// in 100 orders of a quiet day met an endpoint without a free connection.
func (h *Handler) maxIdle(x *exchange) int {
	service := x.table.Service(x.service)
	if service == nil || service.Engine != nil || service.MaxConnections <= 0 {
		return 0
	}
	return max(1, int(idleConnectionShare*float64(service.MaxConnections)/float64(max(h.LiveHosts(), 1))))
}

// exchangeWith is send without the record of whether the request may have run.
func (h *Handler) exchangeWith(x *exchange, m fleet.Member, opts ForwardOptions, limit headLimit, newConn bool) (*upstream.Answer, error) {
	x.attempt = attempt{sentAt: time.Now()}
	opts.EndpointID, opts.Team = m.ID, x.team
	req := &upstream.Request{
		Method: x.call.Method, Target: x.call.Target, Host: x.call.Host,
		FieldsAtSend: func() upstream.Fields {
			opts.Remaining = x.remaining()
			return h.Codec.Fields(&x.call, opts)
		},
		Body:        x.call.Body,
		HeadTimeout: limit.timeout, OnSilence: x.onSilence(m, limit.silence), NewConn: newConn, MaxIdle: h.maxIdle(x),
		Belongs: func(answer *upstream.Answer) bool { return belongsTo(h.Codec.DecodeAnswerHeader(answer), x.call.ID) },
	}
	sentAt := time.Now()
	answer, err := h.Client.Do(x.workCtx, m.Address, req)
	if err != nil {
		if opts.Phase == PhaseDecode && !x.attempt.silenceRecorded && x.workCtx.Err() != nil && time.Since(sentAt) >= stallTimeout {
			// A request that may run only once has no stall timeout, and its caller
			// disconnects first. Without this a hung engine would never be ejected.
			h.recordFailure(m, outlier.TimedOut, err)
		}
		if !notSent(err) && !errors.Is(err, upstream.ErrAnswerTimeout) {
			h.confirmCrash(x, m, sentAt, time.Time{})
		}
		h.recordSendError(x, m, err)
		return nil, err
	}
	x.attempt.answered = true
	if via := answer.Via(); via != "" {
		x.logFields["via"] = via
	}
	header := h.Codec.DecodeAnswerHeader(answer)
	switch {
	case !belongsTo(header, x.call.ID):
		err = errWrongRequest
	case !refusal.Attributable(header.RequestID, x.call.ID, answer.OnReusedConn()):
		err = errUnattributed
	case header.NotRun || answer.Status == 421:
		// 421 Misdirected Request: the endpoint is not the expected instance.
		err = &notRunError{endpoint: m.ID, status: answer.Status}
	case refusal.StatusPromisesNotRun(answer.Status):
		err = errors.Wrapf(errNoStatement, "status %d", answer.Status)
	case answer.Status < 300 && !header.Stamped && opts.Phase != PhasePrefill:
		err = errNoStamp
	}
	if misdirected(err) && h.Fleet.MarkMisdirected(m, time.Now()) {
		h.Log.WithFields(log.Fields{"endpoint": m.ID, "service": m.Service, "address": m.Address}).Warn("endpoint_misdirected")
	}
	if statesOwnCondition(answer, err) {
		h.applyNotices(m, answer.Status, header)
	}
	if err == nil {
		err = h.confirmStart(x, m, opts.Phase)
	}
	if err == nil {
		return answer, nil
	}
	if !provesNotRun(err) {
		// Further data on this connection cannot be trusted.
		answer.DisableReuse()
	} else if _, drainErr := answer.ReadAll(maxAnswerBytes); drainErr != nil {
		answer.DisableReuse()
	}
	answer.Close()
	if !errors.Is(err, errNoStatement) || header.pause(answer.Status) == 0 {
		// An endpoint that asks for a pause has not failed.
		h.recordSendError(x, m, err)
	}
	return nil, steperr.Wrap(err, "check answer", m.Address)
}

// belongsTo reports whether an answer may belong to the request with the id.
func belongsTo(header AnswerHeader, id string) bool {
	return header.RequestID == "" || header.RequestID == id
}

// recordSendError records a failed send against the endpoint, unless the request
// was cancelled.
func (h *Handler) recordSendError(x *exchange, m fleet.Member, err error) {
	if x.workCtx.Err() != nil {
		return
	}
	var invalid *httphead.InvalidError
	if errors.As(err, &invalid) {
		h.Log.WithFields(log.Fields{"endpoint": m.ID, "service": m.Service, "request": x.call.ID}).WithError(err).Warn("answer_head_invalid")
	}
	now := time.Now()
	kind := outlier.BadAnswer
	switch {
	case descriptors.Exhausted(err):
		// This host could not open a connection, which says nothing of the endpoint.
		return
	case errors.Is(err, upstream.ErrNoPath):
		return
	case notSent(err):
		kind = outlier.Unreachable
		if errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) {
			kind = outlier.Refused
		}
		h.Client.CloseIdle(m.Address)
	case errors.Is(err, upstream.ErrAnswerTimeout):
		// The endpoint may be down or only slow; the next dial shows which. Its
		// other idle connections may be dead as well.
		kind = outlier.TimedOut
		h.Client.CloseIdle(m.Address)
		if x.onLostPath(m) {
			return
		}
	case errors.Is(err, errRestarted) || errors.Is(err, errStartUnknown):
		// The first is left out until it announces itself; the other has answered the request.
		return
	case provesNotRun(err) || errors.Is(err, errUnattributed):
		// An endpoint that is full or was ordered to stop taking work has not failed.
		h.Models.For(m.Service).Block(m.ID, now.Add(refusalCooldown))
		if refusedItself(err) {
			h.Pace.Refused(m.ID, now)
		}
		return
	}
	if x.attempt.silenceRecorded {
		// An attempt counts as one failure.
		return
	}
	h.recordFailure(m, kind, err)
}

// recordFailure records a failure of the endpoint, and logs and reports an
// ejection that follows from it.
func (h *Handler) recordFailure(m fleet.Member, kind outlier.FailureKind, err error) {
	now := time.Now()
	h.doubts.add(m)
	verdict := h.Outliers.Failed(m, kind, now)
	if kind == outlier.TimedOut {
		h.Pace.TimedOut(m.ID, now)
	}
	if verdict.DomainEjected {
		h.Log.WithField("domain", m.Domain).WithField("endpoint", m.ID).WithError(err).Warn("domain_ejected")
	}
	if verdict.Ejected {
		h.Log.WithField("endpoint", m.ID).WithField("service", m.Service).WithField("kind", kind.String()).WithError(err).Warn("endpoint_ejected")
		h.Metrics.Ejections.Add(kind.String(), 1)
		h.Pace.Limit(placement.PaceEndpoint(m), pace.Ejected, now)
	}
	if verdict.Reportable && !(kind == outlier.TimedOut && h.PathsInDoubt()) {
		h.OnEjected(m, kind)
	}
}

// EndpointGone records that the endpoint broke off a request and refuses new
// connections.
func (h *Handler) EndpointGone(m fleet.Member) { h.recordFailure(m, outlier.Refused, errProcessGone) }
