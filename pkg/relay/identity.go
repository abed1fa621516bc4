package relay

import (
	"context"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/fleet"
	"github.com/clementineshed/clementineshed/pkg/routes"
)

// startReadTimeout bounds the question to an endpoint for its start, which needs no slot there.
const startReadTimeout = 300 * time.Millisecond

// errRestarted reports an answer of an endpoint that has started again since the announcement
// that this host knows, perhaps with another software version.
var errRestarted = errors.New("the endpoint has restarted since its announcement")

// errStartUnknown reports an answer of an endpoint that does not tell when it has started.
var errStartUnknown = errors.New("the endpoint does not tell its start")

// startCheck says whether an endpoint is asked for its start before its answer is used.
type startCheck int

const (
	// startTrusted means that the announced start holds.
	startTrusted startCheck = iota
	// startAsked means that the answer is used unless the endpoint states another start.
	startAsked
	// startRequired means that the answer is used only if the endpoint states the announced
	// start.
	startRequired
)

// checkOfStart decides how the start of an endpoint with an engine is checked. bound says that
// the work must come from the announced software version, doubted that this host has met a
// failure of the endpoint since its announcement, so that it may have restarted.
func checkOfStart(bound, doubted bool) startCheck {
	switch {
	case bound:
		return startRequired
	case doubted:
		return startAsked
	}
	return startTrusted
}

// doubts are the starts of endpoints that may have ended without this host having read of it.
// The zero value has none. It is safe for concurrent use.
type doubts struct {
	mu sync.Mutex
	// starts holds the start of each doubted endpoint, in Unix milliseconds; guarded by mu.
	starts map[string]int64
}

func (d *doubts) add(m fleet.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.starts == nil {
		d.starts = map[string]int64{}
	}
	d.starts[m.ID] = m.StartedMillis
}

func (d *doubts) has(m fleet.Member) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	started, found := d.starts[m.ID]
	return found && started == m.StartedMillis
}

func (d *doubts) end(m fleet.Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.starts[m.ID] == m.StartedMillis {
		delete(d.starts, m.ID)
	}
}

// forget removes the doubts about endpoints that known does not report.
func (d *doubts) forget(known func(id string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.starts {
		if !known(id) {
			delete(d.starts, id)
		}
	}
}

// confirmStart returns an error if the answer of m must not be used because m is not known to be
// the process that was announced, with its software version. The process that has sent the head
// of an answer is the one that sends the rest of it.
func (h *Handler) confirmStart(x *exchange, m fleet.Member, phase Phase) error {
	if m.Role == "" || phase != PhasePrefill && (x.route.Kind != routes.Stream || !x.route.MayRepeat()) {
		// Plain endpoints do not tell their start, and a request that may run only once would be
		// lost.
		return nil
	}
	check := checkOfStart(x.software != "", h.doubts.has(m))
	if check == startTrusted {
		return nil
	}
	ctx, cancel := context.WithTimeout(x.workCtx, startReadTimeout)
	defer cancel()
	started, err := h.ReadStart(ctx, m)
	switch {
	case err == nil && started == m.StartedMillis:
		h.doubts.end(m)
		return nil
	case err != nil && check == startRequired:
		return errors.Wrap(errStartUnknown, err.Error())
	case err != nil:
		return nil
	}
	if h.Fleet.MarkMisdirected(m, time.Now()) {
		h.Log.WithFields(log.Fields{"endpoint": m.ID, "service": m.Service, "announced_ms": m.StartedMillis, "started_ms": started}).Warn("endpoint_restarted_unannounced")
	}
	return errRestarted
}
