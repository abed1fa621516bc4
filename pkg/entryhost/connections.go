package entryhost

import (
	"net"
	"time"

	"github.com/clementineshed/clementineshed/pkg/acceptretry"
	"github.com/clementineshed/clementineshed/pkg/callerconn"
	"github.com/clementineshed/clementineshed/pkg/gate"
)

// operatorIdleTimeout is how long a connection of an operator or of a health check may
// be idle.
const operatorIdleTimeout = time.Minute

// newOperatorConns bounds the connections of operators and health checks, which are few.
func (h *Host) newOperatorConns() *callerconn.Tracker {
	conns := callerconn.NewTracker(func() callerconn.Timeouts {
		return callerconn.Timeouts{Idle: operatorIdleTimeout, Read: gate.DefaultLimits.RequestReadTimeout}
	})
	conns.Limit(h.shares.Operators, h.log)
	return conns
}

// operatorListener goes on after temporary errors and ends the writes to an operator
// that reads nothing.
func (h *Host) operatorListener() net.Listener {
	writes := &callerconn.WriteProgress{Timeout: h.settings.Limits.WriteProgress.Std}
	retrying := acceptretry.New(h.operators, acceptretry.Options{Free: h.gate.FreeDescriptor, Log: h.log})
	return tlsListener(writes.Listener(retrying), h.tls.operatorsTLS())
}
