package orders

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/enginewire"
	"github.com/clementineshed/clementineshed/pkg/lease"
	"github.com/clementineshed/clementineshed/pkg/logging"
	"github.com/clementineshed/clementineshed/pkg/steperr"
)

// OrderTimeout limits one exchange with a receiver, and connecting to it.
const OrderTimeout = 2 * time.Second

var (
	// ErrUnanswered reports an order that was sent and not answered, or a
	// receiver that such an earlier order blocks.
	ErrUnanswered = errors.New("an order is unanswered")
	// ErrBusy reports a receiver to which this process is already sending an
	// order. Nothing was sent.
	ErrBusy = errors.New("another order is being sent to the receiver")
)

// ErrInstanceChanged reports an engine that was restarted or replaced after the
// order was decided on. Nothing was sent.
var ErrInstanceChanged = errors.New("the engine's instance has changed since the order was decided")

// NotClearedError lists the earlier lease holders that may still have an order
// in transit to a receiver that ignores fencing tokens. Nothing was sent.
type NotClearedError struct{ Terms []lease.Term }

// Error implements the error interface.
func (e *NotClearedError) Error() string {
	return fmt.Sprintf("%d earlier lease holders may still reach the receiver, first %s", len(e.Terms), e.Terms[0].Holder)
}

// safetyOverrides disable single safety mechanisms. Tests set them to show that
// the simulation detects the absence of each mechanism.
type safetyOverrides struct {
	noClearance      bool // no proof that earlier holders cannot reach the receiver
	noSettle         bool // an unanswered order does not block the receiver
	noLateLeaseCheck bool // the lease is not checked again after connecting
	noInstanceCheck  bool // an order may go to an instance that it was not decided for
	noFreshReport    bool // a report from before the last order is accepted
}

// Options configure a Sender. Engines is required for SendEngine and Changer,
// Platform for SendPlatform.
type Options struct {
	Clock    clockwork.Clock
	Leases   *lease.Manager
	Engines  Engines
	Platform Platform
	// Incarnation identifies this process. It must equal the lease manager's.
	Incarnation string
	// Log receives log lines; they are dropped if it is nil.
	Log log.Interface
}

// Sender sends orders, one at a time to each receiver. Its methods are safe for
// concurrent use.
type Sender struct {
	opts      Options
	overrides safetyOverrides

	mu sync.Mutex
	// The fields below are guarded by mu.
	receivers map[string]*receiverState
	lastID    int64
}

// receiverState is the sender's state for one receiver. Only the order that set
// busy writes the other fields. Sender.mu guards busy, and writes to unanswered.
type receiverState struct {
	busy bool
	// unanswered is the lease use of the order that was sent and not answered;
	// nil if there is none.
	unanswered *lease.Use
	// unansweredInstance is the instance that the unanswered order was sent to.
	unansweredInstance string
	// fence is the last lease term; firstInstance is the instance that answered
	// first in that term.
	fence         int64
	firstInstance string
}

// NewSender returns a sender without unanswered orders.
func NewSender(opts Options) *Sender {
	if opts.Log == nil {
		opts.Log = logging.Discard()
	}
	return &Sender{opts: opts, receivers: map[string]*receiverState{}}
}

// SendEngine sends an order under the lease k to the instance ep.Instance, or to
// any instance if that is empty. It sets the order's ID, Holder and Fence.
//
// After ErrUnanswered this order or an earlier one may still take effect. After
// any other error the order had no effect: those of lease.Manager.Check,
// ErrBusy, *NotClearedError, ErrInstanceChanged, *RefusedError and those of
// connecting.
func (s *Sender) SendEngine(ctx context.Context, k lease.Key, ep endpoint.Endpoint, order enginewire.Order) error {
	return s.Send(ctx, k, engineReceiver{engines: s.opts.Engines, ep: ep, order: order})
}

// SendPlatform is SendEngine for the endpoint interface of order.Domain.
func (s *Sender) SendPlatform(ctx context.Context, k lease.Key, order PlatformOrder) error {
	return s.Send(ctx, k, platformReceiver{platform: s.opts.Platform, order: order})
}

// Unanswered returns the sorted names of the receivers with an unanswered order.
func (s *Sender) Unanswered() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name, st := range s.receivers {
		if st.unanswered != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Send sends the receiver's order under the lease k. Its errors are those of
// SendEngine.
func (s *Sender) Send(ctx context.Context, k lease.Key, r Receiver) error {
	st, id := s.acquireReceiver(r.Name())
	if st == nil {
		return steperr.Wrap(ErrBusy, "send order", r.Name())
	}
	defer s.releaseReceiver(st)
	use, err := s.opts.Leases.Begin(k)
	if err != nil {
		return steperr.Wrap(err, "begin order", r.Name())
	}
	if err := s.prepare(ctx, k, r, st, use); err != nil {
		use.Done()
		return err
	}
	return s.transmit(ctx, r, st, use, id)
}

// acquireReceiver reserves the receiver for one order and returns its state and
// the order's id. The state is nil if the receiver is reserved already.
func (s *Sender) acquireReceiver(name string) (*receiverState, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.receivers[name]
	if st == nil {
		st = &receiverState{fence: -1}
		s.receivers[name] = st
	}
	if st.busy {
		return nil, ""
	}
	st.busy = true
	s.lastID++
	return st, fmt.Sprintf("%s/order/%d", s.opts.Incarnation, s.lastID)
}

func (s *Sender) releaseReceiver(st *receiverState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st.busy = false
}

// prepare settles an earlier unanswered order. For a receiver that ignores
// fencing tokens it then makes sure that no earlier lease holder can reach it.
func (s *Sender) prepare(ctx context.Context, k lease.Key, r Receiver, st *receiverState, use *lease.Use) error {
	grant, err := use.Check()
	if err != nil {
		return steperr.Wrap(err, "begin order", r.Name())
	}
	queryCtx, cancel := clockwork.WithTimeout(ctx, s.opts.Clock, OrderTimeout)
	defer cancel()
	instance, err := r.Instance(queryCtx)
	if err != nil {
		return steperr.Wrap(err, "read instance", r.Name())
	}
	if st.fence != grant.Fence {
		st.fence, st.firstInstance = grant.Fence, instance
	}
	holders, reportErr := r.ConnectedHolders(queryCtx)
	if !s.settle(st, instance, holders, reportErr) {
		return steperr.Wrap(ErrUnanswered, "settle earlier order", r.Name())
	}
	if r.ChecksFencing() || s.overrides.noClearance {
		return nil
	}
	cannotReach := func(t lease.Term) bool {
		if instance != st.firstInstance {
			// The instance changed within this term. Earlier holders were
			// connected to the old instance. Their lease had ended before, so
			// they send no order to the new one.
			return true
		}
		return reportErr == nil && !mayBeConnected(holders, t, s.opts.Incarnation)
	}
	if left := s.opts.Leases.Uncleared(k, cannotReach); len(left) > 0 {
		return steperr.Wrap(&NotClearedError{Terms: left}, "obtain clearance", r.Name())
	}
	return nil
}

// mayBeConnected reports whether the holder of term t may be among the connected
// holders. The list dates from this process's term. An earlier holder that
// connects later fails its lease check and sends no order.
func mayBeConnected(holders []string, t lease.Term, self string) bool {
	if t.Holder != lease.UnknownHolder {
		return slices.Contains(holders, t.Holder)
	}
	return slices.ContainsFunc(holders, func(h string) bool { return h != self })
}

// settle ends the lease use of an unanswered order that can no longer arrive. It
// returns false while such an order may still arrive.
func (s *Sender) settle(st *receiverState, instance string, holders []string, reportErr error) bool {
	if st.unanswered == nil || s.overrides.noSettle {
		return true
	}
	replaced := instance != st.unansweredInstance
	ended := reportErr == nil && !slices.Contains(holders, s.opts.Incarnation)
	if !replaced && !ended {
		return false
	}
	s.setUnanswered(st, nil, "")
	return true
}

// setUnanswered records the lease use of an unanswered order, or nil for none.
// It ends the use recorded before.
func (s *Sender) setUnanswered(st *receiverState, use *lease.Use, to string) {
	s.mu.Lock()
	earlier := st.unanswered
	st.unanswered, st.unansweredInstance = use, to
	s.mu.Unlock()
	if earlier != nil {
		earlier.Done()
	}
}

// transmit connects, checks the lease immediately before the order is written,
// and sends the order once. It ends use, except for an unanswered order that is
// not idempotent.
func (s *Sender) transmit(ctx context.Context, r Receiver, st *receiverState, use *lease.Use, id string) error {
	earlyGrant, err := use.Check()
	if err != nil {
		use.Done()
		return steperr.Wrap(err, "check lease", r.Name())
	}
	sendCtx, cancel := clockwork.WithTimeout(ctx, s.opts.Clock, OrderTimeout)
	defer cancel()
	c, err := r.Connect(sendCtx, s.opts.Incarnation)
	if err != nil {
		use.Done()
		return steperr.Wrap(err, "connect", r.Name())
	}
	defer c.Close()
	connected, wanted := c.Instances()
	if wanted != "" && connected != wanted && !s.overrides.noInstanceCheck {
		use.Done()
		return steperr.Wrap(ErrInstanceChanged, "connect", r.Name())
	}
	grant, err := use.Check()
	if s.overrides.noLateLeaseCheck {
		grant, err = earlyGrant, nil
	}
	if err != nil {
		use.Done()
		return steperr.Wrap(err, "check lease", r.Name())
	}
	orderCtx, cancelOrder := grant.Context(sendCtx, s.opts.Clock, OrderTimeout)
	defer cancelOrder()
	err = c.Send(orderCtx, id, grant.Holder, grant.Fence)
	var refused *RefusedError
	if err == nil || errors.As(err, &refused) {
		use.Done()
		return steperr.Wrap(err, "send order", r.Name())
	}
	if r.Idempotent() {
		use.Done()
	} else {
		s.setUnanswered(st, use, connected)
	}
	return steperr.Wrap(errors.Wrapf(ErrUnanswered, "order %s: %v", id, err), "send order", r.Name())
}
