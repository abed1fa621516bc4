package usage

import (
	"context"

	"github.com/apex/log"

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

// windowReceiverOf returns the receiver of the report of a closed window, or false if
// another process has reported the window in the meantime.
func (r *Reporter) windowReceiverOf(window int64) (windowReceiver, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	closed := r.fold.closed[window]
	if closed == nil {
		return windowReceiver{}, false
	}
	accepted := func(sent WindowReport) {
		total := Counts{}
		for _, counts := range sent.Teams {
			total = total.plus(counts)
		}
		r.opts.Log.WithFields(log.Fields{"window": window, "fence": sent.Fence, "close_offset": closed.offset, "close_era": closed.era, "teams": len(sent.Teams), "requests": total.Requests}).Info("usage_reported")
	}
	return windowReceiver{windows: r.opts.WindowInterface, report: WindowReport{Window: window, Teams: closed.figures}, accepted: accepted}, true
}

// windowReceiver is an orders.Receiver that sends one report to a WindowInterface.
// A late duplicate has the same figures and does no harm.
type windowReceiver struct {
	windows WindowInterface
	report  WindowReport
	// accepted is called with the report that the interface has accepted.
	accepted func(sent WindowReport)
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

type windowConn windowReceiver

func (c windowConn) Instances() (connected, wanted string) { return "", "" }
func (c windowConn) Close()                                {}

// Send sends the report, which does not include the order's ID.
func (c windowConn) Send(ctx context.Context, _, holder string, fence int64) error {
	c.report.Holder, c.report.Fence = holder, fence
	err := c.windows.SendWindow(ctx, c.report)
	if err == nil {
		c.accepted(c.report)
	}
	return err
}
