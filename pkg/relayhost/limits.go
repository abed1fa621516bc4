package relayhost

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/callerconn"
	"github.com/clementineshed/clementineshed/pkg/refusal"
	"github.com/clementineshed/clementineshed/pkg/relay"
	"github.com/clementineshed/clementineshed/pkg/routes"
)

const (
	// The defaults apply where the configuration sets no limit, and before it is read.
	defaultHeaderBytes = 16 << 10
	defaultBodyBytes   = 8 << 20
	// The time limits only bound what stalled callers hold, so a shorter value of the
	// configuration does not lower them below the minimum.
	minHeaderTimeout = 5 * time.Second
	minIdleTimeout   = 20 * time.Second
	// The maximum values bound the memory and the connections that callers hold.
	// maxHeaderBytes is the size of the buffer of a request that is being read,
	// maxBodyShare the part of the host's memory that one body may take.
	maxHeaderBytes   = 64 << 10
	maxBodyShare     = 0.125
	maxHeaderTimeout = time.Minute
	maxIdleTimeout   = 10 * time.Minute
	// bodyTimeout bounds the reading of a body. The configuration does not limit it.
	bodyTimeout = 30 * time.Second
	// writeProgressTimeout bounds the time in which a caller reads nothing of its answer.
	// It is the default of the product's own settings.
	writeProgressTimeout = 20 * time.Second
)

// MaxBodyBytes returns the largest body that a host with the given memory accepts.
func MaxBodyBytes(memoryBytes int64) int {
	return max(defaultBodyBytes, int(maxBodyShare*float64(memoryBytes)))
}

// appliedLimits returns the limits that a host with the given memory applies if its
// configuration has the limits l.
func appliedLimits(l routes.Limits, memoryBytes int64) routes.Limits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.BodyBytes <= 0 {
		l.BodyBytes = defaultBodyBytes
	}
	return routes.Limits{
		HeaderBytes:   min(l.HeaderBytes, maxHeaderBytes),
		BodyBytes:     min(l.BodyBytes, MaxBodyBytes(memoryBytes)),
		HeaderTimeout: min(max(l.HeaderTimeout, minHeaderTimeout), maxHeaderTimeout),
		IdleTimeout:   min(max(l.IdleTimeout, minIdleTimeout), maxIdleTimeout),
	}
}

// limits returns the limits in force.
func (h *Host) limits() routes.Limits {
	var l routes.Limits
	if table, err := h.routes.Current(); err == nil {
		l = table.Limits()
	}
	return appliedLimits(l, h.settings.MemoryBytes)
}

func (h *Host) callerTimeouts() callerconn.Timeouts {
	l := h.limits()
	return callerconn.Timeouts{Idle: l.IdleTimeout, Read: l.HeaderTimeout}
}

// bodyLimits is the server's callback for a request whose head has been read. The relay
// sends a body from the buffer that it was read into.
func (h *Host) bodyLimits(header *fasthttp.RequestHeader) fasthttp.RequestConfig {
	return fasthttp.RequestConfig{MaxRequestBodySize: h.conns.AdmitBody(header, h.limits().BodyBytes, 1), ReadTimeout: bodyTimeout}
}

// handle serves one request of a caller. The server's buffer bounds the head by
// maxHeaderBytes only.
func (h *Host) handle(ctx *fasthttp.RequestCtx) {
	if r := h.conns.BeginServe(ctx); r != nil {
		h.refuse(ctx, r)
		return
	}
	defer h.conns.EndServe(ctx)
	header := &ctx.Request.Header
	if len(header.RequestURI())+len(header.RawHeaders()) > h.limits().HeaderBytes {
		h.refuse(ctx, callerconn.ReadRefusal(&fasthttp.ErrSmallBuffer{}))
		return
	}
	h.handler.Handle(ctx)
}

// refuseUnread answers a request that could not be read and closes its connection.
func (h *Host) refuseUnread(ctx *fasthttp.RequestCtx, err error) {
	h.refuse(ctx, h.conns.ReadRefusal(ctx, err))
}

// refuse answers a request that the relay has not taken and closes its connection.
func (h *Host) refuse(ctx *fasthttp.RequestCtx, r *refusal.Refusal) {
	h.metrics.Requests.Add(r.Code, 1)
	ctx.SetStatusCode(r.Status)
	if r.RetryAfter > 0 {
		ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, relay.FormatRetryAfter(r.RetryAfter))
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(r.JSON(""))
	ctx.SetConnectionClose()
}
