package relay

import (
	"context"
	"math"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/connstate"
	"github.com/clementineshed/clementineshed/pkg/quarantine"
	"github.com/clementineshed/clementineshed/pkg/quotashare"
	"github.com/clementineshed/clementineshed/pkg/refusal"
	"github.com/clementineshed/clementineshed/pkg/routes"
	"github.com/clementineshed/clementineshed/pkg/upstream"
)

// defaultTimeout applies if the route sets no timeout. A caller can only shorten it.
const defaultTimeout = 30 * time.Second

var (
	// errCallerGone cancels the work of a caller that has closed its connection.
	errCallerGone     = errors.New("the caller closed the connection")
	errDeadlinePassed = errors.New("the deadline of the request has passed")
	// errHostStopping cancels the work that a stop can wait for no longer.
	errHostStopping = errors.New("the host's time to stop is over")
)

// exchange is one request of a caller with its answer.
type exchange struct {
	handler *Handler
	ctx     *fasthttp.RequestCtx
	conn    net.Conn
	arrived time.Time
	// deadline is when the timeout of the caller or of the route ends.
	deadline       time.Time
	workCtx        context.Context
	cancel         context.CancelCauseFunc
	cancelDeadline context.CancelFunc

	table *routes.Table
	call  Call
	// features is set by crashFeatures.
	features []quarantine.Feature
	route    *routes.Route
	service  string
	team     string
	priority int
	// teamQuota is nil if the team has none, quota what the request has taken from it.
	teamQuota *routes.Quota
	quota     quotashare.Result

	// attempts counts the sends that may have run the request. For plain services
	// it also counts those that an endpoint refused, but not those that another instance
	// answered.
	attempts int
	// attempt is the state of the current send.
	attempt attempt
	// silent is how long silent endpoints were waited for beyond their limits, because
	// no other could take over. silentLeft counts those that were given up.
	silent     time.Duration
	silentLeft int
	// ran says that an endpoint has begun to run the request.
	ran bool
	// mayHaveRun says that an endpoint may have begun to run the request: a send of it
	// failed with an unknown outcome.
	mayHaveRun bool
	// late says that the request got a lower priority because it was expected to
	// miss its target.
	late bool
	// lastDelivered is the id of the last event that the caller has received; empty if it
	// has received none.
	lastDelivered string
	// software is the software version that the rest of the stream must come from: that of
	// the first event. It is empty before that.
	software string
	// logFields holds the decisions made for the request, for its log line.
	logFields log.Fields
	// streaming says that the answer is written after the handler has returned.
	streaming  bool
	status     int
	outcome    string
	firstByte  time.Time
	finishOnce sync.Once
}

// begin registers a request that has arrived. finish must be called at its end.
func (h *Handler) begin(ctx *fasthttp.RequestCtx) *exchange {
	work, cancel := context.WithCancelCause(context.Background())
	x := &exchange{handler: h, ctx: ctx, conn: ctx.Conn(), arrived: time.Now(), workCtx: work, cancel: cancel,
		cancelDeadline: func() {}, logFields: log.Fields{}, outcome: "served"}
	h.inflight.add(x)
	return x
}

// setDeadline bounds the work by the shorter of the timeouts of the caller and of
// the route.
func (x *exchange) setDeadline() {
	limit := defaultTimeout
	if x.route.Timeout > 0 {
		limit = x.route.Timeout
	}
	if x.call.Timeout > 0 {
		limit = min(limit, x.call.Timeout)
	}
	x.deadline = x.arrived.Add(limit)
	x.workCtx, x.cancelDeadline = context.WithDeadlineCause(x.workCtx, x.deadline, errDeadlinePassed)
}

// remaining returns the time until the deadline.
func (x *exchange) remaining() time.Duration { return time.Until(x.deadline) }

// elapsed returns the time since the request arrived.
func (x *exchange) elapsed() time.Duration { return time.Since(x.arrived) }

// cancellationRefusal returns the refusal of a request whose caller has
// disconnected or whose deadline has passed, nil otherwise.
func (x *exchange) cancellationRefusal() *refusal.Refusal {
	cause := context.Cause(x.workCtx)
	switch {
	case cause == nil:
		return nil
	case errors.Is(cause, errCallerGone):
		return refusal.Unknown(499, refusal.CodeCallerGone, "the caller closed the connection").WithCause(cause)
	case errors.Is(cause, errHostStopping) && x.attempts == 0:
		return stoppingRefusal().WithCause(cause)
	case errors.Is(cause, errHostStopping):
		return refusal.Unknown(502, refusal.CodeStopping, "the host stopped before the answer was complete").WithCause(cause)
	case x.attempts == 0:
		return refusal.NotRun(503, refusal.CodeTooLate, "the request's time passed before it was sent").WithCause(cause)
	}
	return refusal.Unknown(504, refusal.CodeTooLate, "the request's time passed").WithCause(cause)
}

// withdrawNotRun returns r, without its promise "not run" if the request has been sent
// and may have run.
func (x *exchange) withdrawNotRun(r *refusal.Refusal) *refusal.Refusal {
	if r.Ran != refusal.RanNo || !x.ran && !x.mayHaveRun {
		return r
	}
	return refusal.Unknown(502, r.Code, "an endpoint failed; the request may have run").WithRetryAfter(r.RetryAfter).WithCause(r)
}

// refuse answers with a refusal. The promise "not run" holds for 503 and 429 only.
func (x *exchange) refuse(r *refusal.Refusal) {
	x.status, x.outcome = r.Status, r.Code
	x.logFields["ran"] = string(r.Ran)
	if r.Cause != nil {
		x.logFields["cause"] = r.Cause.Error()
	}
	if r.Code == refusal.CodeCallerGone {
		x.ctx.SetConnectionClose()
	}
	if r.RetryAfter > 0 {
		x.ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, FormatRetryAfter(r.RetryAfter))
		x.logFields["retry_after_ms"] = r.RetryAfter.Milliseconds()
	}
	x.ctx.SetStatusCode(r.Status)
	x.ctx.SetContentType("application/json")
	x.ctx.SetBody(r.JSON(x.call.ID))
}

// FormatRetryAfter returns the value of a Retry-After field, in hundredths of a second.
func FormatRetryAfter(d time.Duration) string {
	return strconv.FormatFloat(math.Ceil(d.Seconds()*100)/100, 'f', -1, 64)
}

// respond answers with an endpoint's complete answer.
func (x *exchange) respond(answer *upstream.Answer, body []byte) {
	x.status = answer.Status
	x.firstByte = time.Now()
	x.setResponseHead(answer)
	x.ctx.Response.SetBodyRaw(body)
}

// setResponseHead copies the status and the end-to-end fields of an answer.
func (x *exchange) setResponseHead(answer *upstream.Answer) {
	header := &x.ctx.Response.Header
	header.SetNoDefaultContentType(true)
	x.ctx.SetStatusCode(answer.Status)
	for _, f := range answer.Fields.EndToEnd() {
		header.Set(f.Name, f.Value)
	}
}

// finish releases the resources of the request, and records and logs it. Further
// calls do nothing.
func (x *exchange) finish() {
	x.finishOnce.Do(func() {
		x.cancelDeadline()
		x.cancel(nil)
		x.returnQuota()
		x.handler.inflight.remove(x)
		x.handler.Metrics.record(x)
		x.log()
	})
}

func (x *exchange) log() {
	fields := log.Fields{"request": x.call.ID, "status": x.status, "outcome": x.outcome, "ms": x.elapsed().Milliseconds()}
	if x.route != nil {
		fields["route"], fields["service"], fields["config"] = x.route.Name, x.service, x.table.Version()
	}
	if x.team != "" {
		fields["team"] = x.team
	}
	if !x.firstByte.IsZero() {
		fields["first_ms"] = x.firstByte.Sub(x.arrived).Milliseconds()
	}
	if x.silent > 0 {
		fields["silent_ms"] = x.silent.Milliseconds()
	}
	if x.silentLeft > 0 {
		fields["silent_left"] = x.silentLeft
	}
	for name, value := range x.logFields {
		fields[name] = value
	}
	x.handler.Log.WithFields(fields).Info("request_ended")
}

// inflight is the set of requests that are not answered completely. It is safe for
// concurrent use.
type inflight struct {
	mu        sync.Mutex
	exchanges map[*exchange]struct{} // guarded by mu
}

func (f *inflight) add(x *exchange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.exchanges[x] = struct{}{}
}

func (f *inflight) remove(x *exchange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.exchanges, x)
}

func (f *inflight) len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.exchanges)
}

func (f *inflight) list() []*exchange {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]*exchange, 0, len(f.exchanges))
	for x := range f.exchanges {
		list = append(list, x)
	}
	return list
}

// cancelDisconnected cancels the requests whose callers have closed their
// connection.
func (f *inflight) cancelDisconnected() {
	for _, x := range f.list() {
		if connstate.Of(x.conn) == connstate.Closed {
			x.cancel(errCallerGone)
		}
	}
}
