package engined

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/enginewire"
	"github.com/clementineshed/clementineshed/pkg/standin/httpd"
)

// CodeBadOrder refuses an order without an ID, of an unknown kind, or without
// the role or model that its kind needs.
const CodeBadOrder = "bad_order"

// OrderAnswer is the body of the answer to an accepted order.
type OrderAnswer struct {
	Instance string `json:"instance"`
	// DoneAtMillis is when a role change or load ends, in Unix milliseconds. For
	// other orders and repeated ones it is the time of the answer.
	DoneAtMillis int64 `json:"done_at_ms"`
}

func (s *Server) handleOrder(ctx *fasthttp.RequestCtx) {
	var order enginewire.Order
	if !httpd.Decode(ctx, &order) {
		return
	}
	s.delayOrder()
	entry := s.newEntry(ctx, "orders")
	entry.Order = &order
	answer, refusal := s.applyOrder(order, entry)
	if refusal.Code != "" {
		httpd.WriteJSON(ctx, refusalStatus(refusal.Code), refusal)
		return
	}
	if !s.faults.LoseAnswer(ctx) {
		httpd.WriteJSON(ctx, fasthttp.StatusOK, answer)
	}
}

// delayOrder delays a received order, as a slow front end does.
func (s *Server) delayOrder() {
	s.mu.Lock()
	delay := s.orderDelay
	s.mu.Unlock()
	if delay == 0 {
		return
	}
	select {
	case <-s.opts.Clock.After(delay):
	case <-s.ctx.Done():
	}
}

// applyOrder applies an order, unless it is refused or was seen before, and
// journals it. A role change or load aborts all waiting and running requests.
func (s *Server) applyOrder(order enginewire.Order, entry Entry) (answer OrderAnswer, refusal enginewire.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer func() { s.record(entry) }()
	s.completeChange()
	if refusal = s.orderRefusal(order); refusal.Code != "" {
		entry.Refused = refusal.Code
		return answer, refusal
	}
	s.highestFence = max(s.highestFence, order.Fence)
	now := s.opts.Clock.Now()
	answer = OrderAnswer{Instance: s.instance(), DoneAtMillis: now.UnixMilli()}
	if s.orders[order.ID] {
		return answer, refusal
	}
	s.orders[order.ID] = true
	switch order.Kind {
	case enginewire.OrderDrain:
		s.draining = true
	case enginewire.OrderResume:
		s.draining = false
	default:
		entry.Interrupted = s.endJobs(everyJob, abortJob)
		until := now.Add(s.changeTime(order.Kind))
		s.change = &change{order: order, until: until}
		answer.DoneAtMillis = until.UnixMilli()
	}
	s.recordLoad()
	return answer, refusal
}

func (s *Server) changeTime(kind enginewire.OrderKind) time.Duration {
	if kind == enginewire.OrderRole {
		return s.opts.RoleChangeTime
	}
	return s.opts.LoadTime
}

// orderRefusal must be called with mu held.
func (s *Server) orderRefusal(order enginewire.Order) enginewire.Refusal {
	if s.opts.ChecksFencing && order.Fence < s.highestFence {
		return enginewire.Refusal{Code: enginewire.CodeStaleFence, Fence: s.highestFence}
	}
	switch {
	case !validOrder(order):
		return enginewire.Refusal{Code: CodeBadOrder}
	case s.change != nil && !s.orders[order.ID]:
		return enginewire.Refusal{Code: enginewire.CodeChanging}
	}
	return enginewire.Refusal{}
}

func validOrder(order enginewire.Order) bool {
	if order.ID == "" {
		return false
	}
	switch order.Kind {
	case enginewire.OrderDrain, enginewire.OrderResume:
		return true
	case enginewire.OrderRole:
		return order.Role != ""
	case enginewire.OrderLoad:
		return order.Model != ""
	}
	return false
}
