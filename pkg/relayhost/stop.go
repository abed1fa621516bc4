package relayhost

import (
	"net"
	"time"

	"github.com/apex/log"
	"github.com/valyala/fasthttp"
)

const (
	// lbRemovalTime is how long the load balancer may still send new
	// connections to a host that reports that it is not ready: two checks a
	// second apart, and one second in which a connection may be on its way.
	lbRemovalTime = 3200 * time.Millisecond
	// lastRequestTime is how long after the stop began requests are still served, at
	// most lastRequestShare of the grace time. A long stream that begins later could
	// not end within the grace time; its caller gets another host at once.
	lastRequestTime  = 2800 * time.Millisecond
	lastRequestShare = 0.35
	// lastAnswerTime is how long before the end of the wait for requests in flight those
	// that are left are refused: their callers get an answer instead of a cut.
	lastAnswerTime = 300 * time.Millisecond
	// stopMargin is the part of the grace time that is kept for the last
	// flushes.
	stopMargin = 700 * time.Millisecond
	// drainPollInterval is the time between two checks for requests in flight.
	drainPollInterval = 50 * time.Millisecond
)

// serveReady answers readiness checks until the listener closes.
func (h *Host) serveReady(l net.Listener) {
	err := h.serveOperators(l, func(ctx *fasthttp.RequestCtx) {
		if !h.ready() {
			ctx.SetStatusCode(503)
		}
	})
	if err != nil && !h.draining.Load() {
		h.log.WithError(err).Error("readiness_listener_failed")
	}
}

// ready reports whether the host takes new connections.
func (h *Host) ready() bool {
	if h.draining.Load() || !h.endpointsLoaded.Load() {
		return false
	}
	if l := h.callersListener.Load(); l != nil && l.Failing() {
		return false
	}
	_, err := h.routes.Current()
	return err == nil
}

// drain ends the service without interrupting requests. The host reports that
// it is not ready and asks callers to close their connections with the next
// response. It goes on serving for lastRequestTime and refuses later requests as not
// run, because they might not be answered in time. Once the load balancer sends no new
// connections it closes idle ones, and waits for the requests in flight as long as its
// grace time allows; those that are left then are refused. An answer is complete once its
// connection is closed.
func (h *Host) drain(callers net.Listener) {
	started := time.Now()
	h.log.WithField("in_flight", h.handler.InFlight()).Info("host_draining")
	h.draining.Store(true)
	h.handler.Drain()
	h.tunnels.Stop()
	serving := min(lastRequestTime, time.Duration(lastRequestShare*float64(h.settings.Grace)))
	time.Sleep(serving)
	h.handler.Stop()
	time.Sleep(min(lbRemovalTime, h.settings.Grace/2) - serving)
	h.conns.Close(callers)
	h.log.WithField("in_flight", h.handler.InFlight()).WithField("connections", h.conns.Open()).Info("host_closing_connections")
	h.awaitConnections(started.Add(h.settings.Grace - stopMargin - lastAnswerTime))
	if left := h.handler.InFlight(); left > 0 {
		h.log.WithField("in_flight", left).Warn("requests_cancelled")
		h.handler.CancelAll()
	}
	h.awaitConnections(started.Add(h.settings.Grace - stopMargin))
	h.log.WithFields(log.Fields{"in_flight": h.handler.InFlight(), "connections": h.conns.Open(), "closed_idle": h.conns.ClosedIdle.Value(),
		"read_in_close": h.conns.ReadInClose.Value()}).Info("host_drained")
}

// awaitConnections waits until the connections of callers are closed and the tunnels of
// other hosts have ended, at most until end.
func (h *Host) awaitConnections(end time.Time) {
	for (!h.conns.Done() || h.tunnels.Open() > 0) && time.Now().Before(end) {
		time.Sleep(drainPollInterval)
	}
}
