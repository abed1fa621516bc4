package relayhost

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// rotationTime is how long the load balancer may still send new connections
	// to a host that says that it is not ready: two checks a second apart, and one
	// second in which a connection may be on its way.
	rotationTime = 3200 * time.Millisecond
	// stopMargin is left of the grace time for the last flushes.
	stopMargin = 700 * time.Millisecond
	// drainInterval is the time between two looks at the requests in flight.
	drainInterval = 50 * time.Millisecond
)

// serveReady answers readiness checks until the listener closes.
func (h *Host) serveReady(l net.Listener) {
	server := &fasthttp.Server{
		Handler: func(ctx *fasthttp.RequestCtx) {
			if !h.ready() {
				ctx.SetStatusCode(503)
			}
		},
		ReadTimeout: requestReadTime, IdleTimeout: callerIdleTime, NoDefaultServerHeader: true, Logger: quietLogger{},
	}
	if err := server.Serve(l); err != nil && !h.draining.Load() {
		h.log.WithError(err).Error("readiness_listener_failed")
	}
}

// ready reports whether the host takes new connections.
func (h *Host) ready() bool {
	if h.draining.Load() || !h.endpointsKnown.Load() {
		return false
	}
	_, err := h.routes.Current()
	return err == nil
}

// drain ends the service without cutting a request: the host reports that it is
// not ready, asks callers to close their connections with the next answer, goes
// on until the load balancer sends no new ones, then closes the connections that
// wait for a request, and waits for the requests in flight as long as its grace
// time allows. A request that comes later would not be answered in time.
func (h *Host) drain(callers net.Listener) {
	started := time.Now()
	h.log.WithField("in_flight", h.handler.InFlight()).Info("host_draining")
	h.draining.Store(true)
	h.handler.Drain()
	time.Sleep(min(rotationTime, h.settings.Grace/2))
	_ = callers.Close()
	h.handler.Stop()
	closed := h.conns.closeIdle()
	h.log.WithField("in_flight", h.handler.InFlight()).WithField("idle_closed", closed).Info("host_closing_connections")
	for h.handler.InFlight() > 0 && time.Since(started) < h.settings.Grace-stopMargin {
		time.Sleep(drainInterval)
	}
	h.log.WithField("in_flight", h.handler.InFlight()).Info("host_drained")
}
