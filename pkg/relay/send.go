package relay

import (
	"time"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/fleet"
	"github.com/clementineshed/clementineshed/pkg/jsonhttp"
	"github.com/clementineshed/clementineshed/pkg/outlier"
	"github.com/clementineshed/clementineshed/pkg/steperr"
	"github.com/clementineshed/clementineshed/pkg/upstream"
)

// refusalPause is how long an endpoint that refused a request gets no model work:
// about the time in which one of its requests ends.
const refusalPause = 250 * time.Millisecond

var (
	// errForeign reports an answer that belongs to another request.
	errForeign = errors.New("the answer belongs to another request")
	// errUnsigned reports a success that no endpoint signed.
	errUnsigned = errors.New("the answer is not signed by an endpoint")
)

// notRunError reports an endpoint's statement that it has not run the request.
type notRunError struct {
	endpoint string
	status   int
}

func (e *notRunError) Error() string { return "endpoint " + e.endpoint + " did not run the request" }

// statusError describes the failure that an endpoint answered with.
func statusError(answer *upstream.Answer) error {
	return errors.Errorf("the endpoint answered %d", answer.Status)
}

// certainlyNotRun reports whether err proves that the request did not run.
func certainlyNotRun(err error) bool {
	var refused *notRunError
	var unsent *jsonhttp.NotSentError
	return errors.As(err, &refused) || errors.As(err, &unsent)
}

// unsent reports whether the endpoint has not seen the request at all.
func unsent(err error) bool {
	var e *jsonhttp.NotSentError
	return errors.As(err, &e)
}

// send passes the request on and returns the answer if it is signed and belongs
// to the request. The endpoint's health is judged by the outcome.
func (h *Handler) send(x *exchange, m fleet.Member, send Send, headLimit time.Duration, fresh bool) (*upstream.Answer, error) {
	send.EndpointID, send.Team, send.Left = m.ID, x.team, x.left()
	req := &upstream.Request{
		Method: x.call.Method, Target: x.call.Target, Host: x.call.Host,
		Fields: h.Codec.Fields(&x.call, send), Body: x.call.Body,
		HeadLimit: headLimit, Fresh: fresh,
	}
	sentAt := time.Now()
	answer, err := h.Client.Do(x.work, m.Address, req)
	if err != nil {
		if send.Phase == Generate && x.work.Err() != nil && time.Since(sentAt) >= silenceLimit {
			// Callers leave before an engine that hangs has failed; it would never be
			// ejected for requests that may be sent once only.
			h.failed(m, outlier.Unanswering, err)
		}
		h.judge(x, m, err)
		return nil, err
	}
	verdict := h.Codec.Verdict(answer)
	switch {
	case verdict.RequestID != x.call.ID && verdict.RequestID != "":
		err = errForeign
	case verdict.NotRun || answer.Status == 421:
		err = &notRunError{endpoint: m.ID, status: answer.Status}
	case answer.Status < 300 && !verdict.Signed && send.Phase != ReadPrompt:
		err = errUnsigned
	}
	if err == nil {
		return answer, nil
	}
	if !certainlyNotRun(err) {
		// What else arrives on this connection cannot be trusted.
		answer.Poison()
	} else if _, drainErr := answer.ReadAll(maxAnswerBytes); drainErr != nil {
		answer.Poison()
	}
	answer.Close()
	h.judge(x, m, err)
	return nil, steperr.Wrap(err, "check answer", m.Address)
}

// judge notes a failure against the endpoint, unless the request itself ended.
func (h *Handler) judge(x *exchange, m fleet.Member, err error) {
	if x.work.Err() != nil {
		return
	}
	now := time.Now()
	severity := outlier.Erratic
	switch {
	case unsent(err):
		severity = outlier.Silent
		h.Client.Drop(m.Address)
	case errors.Is(err, upstream.ErrNoAnswer):
		// It may be dark or only slow: the next connection tells. Other open ones
		// may have gone silent as well.
		severity = outlier.Unanswering
		h.Client.Drop(m.Address)
	case certainlyNotRun(err):
		// A full endpoint, or one under an order, is not a broken one.
		h.Models.For(m.Service).Block(m.ID, now.Add(refusalPause))
		return
	}
	h.failed(m, severity, err)
}

// failed notes a failure of the endpoint.
func (h *Handler) failed(m fleet.Member, severity outlier.Severity, err error) {
	verdict := h.Outliers.Failed(m, severity, time.Now())
	if verdict.DomainEjected {
		h.Log.WithField("domain", m.Domain).WithField("endpoint", m.ID).WithError(err).Warn("domain_ejected")
	}
	if verdict.Ejected {
		h.Log.WithField("endpoint", m.ID).WithField("service", m.Service).WithError(err).Warn("endpoint_ejected")
		h.OnEjected(m, severity)
	}
}
