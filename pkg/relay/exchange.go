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
	"github.com/clementineshed/clementineshed/pkg/refusal"
	"github.com/clementineshed/clementineshed/pkg/routes"
	"github.com/clementineshed/clementineshed/pkg/upstream"
)

// defaultPatience applies when neither the caller nor the route says how long
// to wait.
const defaultPatience = 30 * time.Second

var (
	// errCallerGone cancels the work of a caller that has closed its connection.
	errCallerGone = errors.New("the caller closed the connection")
	errTimeUp     = errors.New("the time of the request has passed")
)

// exchange is one request with its answer.
type exchange struct {
	handler *Handler
	ctx     *fasthttp.RequestCtx
	conn    net.Conn
	arrived time.Time
	// deadline is when the caller or the route gives up.
	deadline time.Time
	work     context.Context
	cancel   context.CancelCauseFunc
	stopTime context.CancelFunc

	table    *routes.Table
	call     Call
	route    *routes.Route
	service  string
	team     string
	priority int

	// sends counts the endpoints that were sent the request to run it.
	sends int
	// ran says that an endpoint has begun to run it.
	ran bool
	// late says that it was placed behind work that can still be on time.
	late bool
	// trace holds what the decisions on the request were, for its log line.
	trace log.Fields
	// streaming says that the answer is written after the handler has returned.
	streaming bool
	status    int
	outcome   string
	firstByte time.Time
	endOnce   sync.Once
}

func (h *Handler) begin(ctx *fasthttp.RequestCtx) *exchange {
	work, cancel := context.WithCancelCause(context.Background())
	x := &exchange{handler: h, ctx: ctx, conn: ctx.Conn(), arrived: time.Now(), work: work, cancel: cancel,
		stopTime: func() {}, trace: log.Fields{}, outcome: "served"}
	h.inflight.add(x)
	return x
}

// setDeadline bounds the work by what the caller and the route allow.
func (x *exchange) setDeadline() {
	limit := defaultPatience
	if x.route.Timeout > 0 {
		limit = x.route.Timeout
	}
	if x.call.Patience > 0 {
		limit = min(limit, x.call.Patience)
	}
	x.deadline = x.arrived.Add(limit)
	x.work, x.stopTime = context.WithDeadlineCause(x.work, x.deadline, errTimeUp)
}

// left is the time until the deadline.
func (x *exchange) left() time.Duration { return time.Until(x.deadline) }

// waited is the time since the request arrived.
func (x *exchange) waited() time.Duration { return time.Since(x.arrived) }

// ended reports whether the request's time or its caller is gone, and the
// refusal for it.
func (x *exchange) ended() *refusal.Refusal {
	cause := context.Cause(x.work)
	switch {
	case cause == nil:
		return nil
	case errors.Is(cause, errCallerGone):
		return refusal.Unknown(499, refusal.CodeCallerGone, "the caller closed the connection").Because(cause)
	case x.sends == 0:
		return refusal.NotRun(503, refusal.CodeTooLate, "the request's time passed before it was sent").Because(cause)
	}
	return refusal.Unknown(504, refusal.CodeTooLate, "the request's time passed").Because(cause)
}

// refuse answers with a refusal. A promise of "not run" holds for 503 and 429
// only.
func (x *exchange) refuse(r *refusal.Refusal) {
	x.status, x.outcome = r.Status, r.Code
	x.trace["ran"] = string(r.Ran)
	if r.Cause != nil {
		x.trace["cause"] = r.Cause.Error()
	}
	if r.Code == refusal.CodeCallerGone {
		x.ctx.SetConnectionClose()
	}
	if r.RetryAfter > 0 {
		x.ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(math.Ceil(r.RetryAfter.Seconds()*100)/100, 'f', -1, 64))
		x.trace["retry_after_ms"] = r.RetryAfter.Milliseconds()
	}
	x.ctx.SetStatusCode(r.Status)
	x.ctx.SetContentType("application/json")
	x.ctx.SetBody(r.JSON(x.call.ID))
}

// respond returns an endpoint's whole answer.
func (x *exchange) respond(answer *upstream.Answer, body []byte) {
	x.status = answer.Status
	x.firstByte = time.Now()
	x.copyHead(answer)
	x.ctx.SetBody(body)
}

func (x *exchange) copyHead(answer *upstream.Answer) {
	header := &x.ctx.Response.Header
	header.SetNoDefaultContentType(true)
	x.ctx.SetStatusCode(answer.Status)
	for _, f := range answer.Fields.EndToEnd() {
		header.Set(f.Name, f.Value)
	}
}

// end releases the request and logs it.
func (x *exchange) end() {
	x.endOnce.Do(func() {
		x.stopTime()
		x.cancel(nil)
		x.handler.inflight.remove(x)
		x.handler.Metrics.ended(x)
		x.log()
	})
}

func (x *exchange) log() {
	fields := log.Fields{"request": x.call.ID, "status": x.status, "outcome": x.outcome, "ms": x.waited().Milliseconds()}
	if x.route != nil {
		fields["route"], fields["service"], fields["config"] = x.route.Name, x.service, x.table.Version()
	}
	if x.team != "" {
		fields["team"] = x.team
	}
	if !x.firstByte.IsZero() {
		fields["first_ms"] = x.firstByte.Sub(x.arrived).Milliseconds()
	}
	for name, value := range x.trace {
		fields[name] = value
	}
	x.handler.Log.WithFields(fields).Info("request_ended")
}

// inflight is the registry of requests that are not answered. It is safe for
// concurrent use.
type inflight struct {
	mu         sync.Mutex
	byExchange map[*exchange]struct{} // guarded by mu
}

func (f *inflight) add(x *exchange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byExchange[x] = struct{}{}
}

func (f *inflight) remove(x *exchange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.byExchange, x)
}

func (f *inflight) len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.byExchange)
}

// cancelGone ends the requests whose callers have closed their connection.
func (f *inflight) cancelGone() {
	f.mu.Lock()
	list := make([]*exchange, 0, len(f.byExchange))
	for x := range f.byExchange {
		list = append(list, x)
	}
	f.mu.Unlock()
	for _, x := range list {
		if connstate.Of(x.conn) == connstate.Closed {
			x.cancel(errCallerGone)
		}
	}
}
