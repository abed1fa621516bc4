package usage

import (
	"context"

	"github.com/clementineshed/clementineshed/pkg/orders"
)

// WindowReport is the usage of all teams in one window.
type WindowReport struct {
	Window int64
	// Teams holds the counts by team.
	Teams map[string]Counts
	// Holder and Fence are of the lease under which the report is sent.
	Holder string
	Fence  int64
}

// WindowInterface is the client of a usage interface that takes one report per
// window. Implementations are safe for concurrent use.
type WindowInterface interface {
	// SendWindow sends a report and waits for the response.
	SendWindow(ctx context.Context, r WindowReport) error
	// ChecksFencing reports whether the interface rejects old fencing tokens.
	ChecksFencing() bool
}

// windowReport returns the report of a closed window, or false if another process
// has reported the window in the meantime.
func (r *Reporter) windowReport(window int64) (WindowReport, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	closed := r.fold.closed[window]
	if closed == nil {
		return WindowReport{}, false
	}
	return WindowReport{Window: window, Teams: closed.figures}, true
}

// windowReceiver is an orders.Receiver that sends one report to a WindowInterface.
// A late duplicate has the same figures and does no harm.
type windowReceiver struct {
	windows WindowInterface
	report  WindowReport
}

func (w windowReceiver) Name() string                             { return "usage interface" }
func (w windowReceiver) ChecksFencing() bool                      { return w.windows.ChecksFencing() }
func (w windowReceiver) Idempotent() bool                         { return true }
func (w windowReceiver) Instance(context.Context) (string, error) { return "", nil }
func (w windowReceiver) ConnectedHolders(context.Context) ([]string, error) {
	return nil, orders.ErrNotReported
}

// Connect returns a connection that Send opens. A report without a response may
// be sent again without harm.
func (w windowReceiver) Connect(context.Context, string) (orders.Conn, error) {
	return windowConn(w), nil
}

type windowConn struct {
	windows WindowInterface
	report  WindowReport
}

func (c windowConn) Instances() (connected, wanted string) { return "", "" }
func (c windowConn) Close()                                {}

// Send sends the report, which does not include the order's ID.
func (c windowConn) Send(ctx context.Context, _, holder string, fence int64) error {
	c.report.Holder, c.report.Fence = holder, fence
	return c.windows.SendWindow(ctx, c.report)
}
