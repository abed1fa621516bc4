package gate

import (
	"context"
	"net"
	"sync"

	"github.com/apex/log"

	"github.com/clementineshed/clementineshed/pkg/connstate"
	"github.com/clementineshed/clementineshed/pkg/refusal"
)

// inflightRequest is one request in flight.
type inflightRequest struct {
	id     string
	caller caller
	conn   net.Conn
	cancel context.CancelCauseFunc
}

// inflightRequests is the registry of requests in flight. It is safe for
// concurrent use.
type inflightRequests struct {
	mu sync.Mutex
	// byID is guarded by mu.
	byID map[string]*inflightRequest
}

func newInflight() *inflightRequests { return &inflightRequests{byID: map[string]*inflightRequest{}} }

func (f *inflightRequests) add(r *inflightRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byID[r.id] = r
}

func (f *inflightRequests) remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.byID, id)
}

func (f *inflightRequests) len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.byID)
}

func (f *inflightRequests) snapshot() []*inflightRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]*inflightRequest, 0, len(f.byID))
	for _, r := range f.byID {
		list = append(list, r)
	}
	return list
}

func (f *inflightRequests) cancelAll(cause error) []string {
	var ids []string
	for _, r := range f.snapshot() {
		r.cancel(cause)
		ids = append(ids, r.id)
	}
	return ids
}

// cancelDisconnected cancels requests whose callers closed the connection.
func (f *inflightRequests) cancelDisconnected() {
	for _, r := range f.snapshot() {
		if connstate.Of(r.conn) == connstate.Closed {
			r.cancel(refusal.Unknown(499, refusal.CodeCallerGone, "the caller closed the connection"))
		}
	}
}

// cancelUnusableKeys cancels the requests whose keys are no longer usable.
func (g *Gate) cancelUnusableKeys() {
	refusals := map[KeyHash]error{}
	for _, r := range g.inflight.snapshot() {
		if !r.caller.hasKey {
			continue
		}
		err, seen := refusals[r.caller.key]
		if !seen {
			_, status := g.Config.Key(r.caller.key)
			err = keyRefusal(status)
			refusals[r.caller.key] = err
		}
		if err == nil {
			continue
		}
		g.Log.WithFields(log.Fields{"request_id": r.id, "step": "check key", "team": r.caller.team}).Warn("key stopped being usable; ending the request")
		keyErr := refusal.From(err)
		r.cancel(refusal.Unknown(keyErr.Status, keyErr.Code, keyErr.Message))
	}
}
