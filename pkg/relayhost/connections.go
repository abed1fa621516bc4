package relayhost

import (
	"net"

	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/acceptretry"
	"github.com/clementineshed/clementineshed/pkg/callerconn"
)

// retryAccept returns a listener that goes on after temporary errors.
func (h *Host) retryAccept(l net.Listener) *acceptretry.Listener {
	return acceptretry.New(l, acceptretry.Options{Free: h.freeDescriptor, Log: h.log})
}

// freeDescriptor closes an idle connection to an endpoint or, if there is none, one of
// a caller. It reports whether there was one.
func (h *Host) freeDescriptor() bool { return h.client.CloseLongestIdle() || h.conns.CloseOne() }

// serveOperators serves readiness checks or metrics until the listener ends. Their
// connections are few, and bounded as those of callers are.
func (h *Host) serveOperators(l net.Listener, handler fasthttp.RequestHandler) error {
	conns := callerconn.NewTracker(func() callerconn.Timeouts {
		return callerconn.Timeouts{Idle: operatorIdleTimeout, Read: requestReadTimeout}
	})
	conns.Limit(h.shares.Operators, h.log)
	server := &fasthttp.Server{Handler: handler, ConnState: conns.OnStateChange, NoDefaultServerHeader: true, Logger: discardLogger{}}
	err := server.Serve(conns.Listener(h.writes.Listener(h.retryAccept(l))))
	// After a failure, clients are refused by the kernel instead of waiting in the backlog.
	_ = l.Close()
	return err
}

// connectionMetrics writes the metrics of the limits of connections.
func (h *Host) connectionMetrics(line func(name string, value any)) {
	idle, reading := h.conns.ClosedForRoom()
	line("caller_connections_limit", h.shares.Callers)
	line("caller_connections_closed_for_room{state=\"idle\"}", idle.Value())
	line("caller_connections_closed_for_room{state=\"reading\"}", reading.Value())
	line("caller_connections_refused", h.conns.Refused().Value())
	line("caller_writes_stalled", h.writes.Stalled.Value())
	if l := h.callersListener.Load(); l != nil {
		line("accepts_failed", l.Failures().Value())
		line("caller_connections_refused_without_descriptors", l.Refused().Value())
	}
	open, closed := h.client.Open()
	line("endpoint_connections", open)
	line("endpoint_connections_limit", h.shares.Endpoints)
	line("endpoint_connections_closed_for_room", closed)
}
