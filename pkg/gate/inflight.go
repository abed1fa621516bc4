package gate

import (
	"context"
	"net"
	"sync"

	"github.com/apex/log"

	"github.com/clementineshed/clementineshed/pkg/connstate"
	"github.com/clementineshed/clementineshed/pkg/refusal"
)

// running is one request in flight.
type running struct {
	id     string
	caller caller
	conn   net.Conn
	cancel context.CancelCauseFunc
}

// inflight is the registry of requests in flight. It is safe for concurrent
// use.
type inflight struct {
	mu sync.Mutex
	// byID is guarded by mu.
	byID map[string]*running
}

func newInflight() *inflight { return &inflight{byID: map[string]*running{}} }

func (f *inflight) add(r *running) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byID[r.id] = r
}

func (f *inflight) remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.byID, id)
}

func (f *inflight) len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.byID)
}

func (f *inflight) all() []*running {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]*running, 0, len(f.byID))
	for _, r := range f.byID {
		list = append(list, r)
	}
	return list
}

func (f *inflight) cancelAll(cause error) []string {
	var ids []string
	for _, r := range f.all() {
		r.cancel(cause)
		ids = append(ids, r.id)
	}
	return ids
}

// cancelGone ends the requests whose callers have closed their connection.
func (f *inflight) cancelGone() {
	for _, r := range f.all() {
		if connstate.Of(r.conn) == connstate.Closed {
			r.cancel(refusal.Unknown(499, refusal.CodeCallerGone, "the caller closed the connection"))
		}
	}
}

// endUnusableKeys ends the requests whose keys have stopped being usable.
func (g *Gate) endUnusableKeys() {
	verdicts := map[KeyHash]error{}
	for _, r := range g.inflight.all() {
		if !r.caller.keyed {
			continue
		}
		err, seen := verdicts[r.caller.key]
		if !seen {
			_, verdict := g.Config.Key(r.caller.key)
			err = keyRefusal(verdict)
			verdicts[r.caller.key] = err
		}
		if err == nil {
			continue
		}
		g.Log.WithFields(log.Fields{"request_id": r.id, "step": "check key", "team": r.caller.team}).Warn("key stopped being usable; ending the request")
		ended := refusal.From(err)
		r.cancel(refusal.Unknown(ended.Status, ended.Code, ended.Message))
	}
}
