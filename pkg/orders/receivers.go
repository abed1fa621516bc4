package orders

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/enginewire"
)

// ErrNotReported is returned by ConnectedHolders for a receiver that does not
// report its order connections.
var ErrNotReported = errors.New("the receiver does not report its connections")

// RefusedError is a receiver's refusal of an order, which then had no effect.
type RefusedError struct {
	// Code is a refusal code of package enginewire or of the platform.
	Code string
	// Fence is the highest fencing token that the receiver has seen. It is set
	// with enginewire.CodeStaleFence.
	Fence int64
}

// Error implements the error interface.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("order refused: %s (fencing token %d)", e.Code, e.Fence)
}

// EngineConn is one connection to an engine that carries one order.
type EngineConn interface {
	// Order writes the order and waits for the answer. nil and a *RefusedError
	// are answers. After any other error the order may still arrive. The
	// implementation must not retry.
	Order(ctx context.Context, order enginewire.Order) error
	// Instance returns the instance that the engine reported when the connection
	// was opened. The connection does not outlive that instance.
	Instance() string
	// Close resets the connection and discards unsent bytes.
	Close()
}

// Engines is the client of the engines' order interface. Implementations are
// safe for concurrent use.
type Engines interface {
	// Connect opens a new connection and names its holder to the engine, which
	// reports it in ConnectedHolders. An error means that no order was sent.
	Connect(ctx context.Context, ep endpoint.Endpoint, holder string) (EngineConn, error)
	// Load asks the engine for its report. The report's instance is current; the
	// other fields may be up to MaxReportLag old.
	Load(ctx context.Context, ep endpoint.Endpoint) (endpoint.Load, error)
	// ConnectedHolders returns the holders with a connection that is open or from
	// which an order may still be applied. The error is ErrNotReported if the
	// engine does not report them.
	ConnectedHolders(ctx context.Context, ep endpoint.Endpoint) ([]string, error)
}

// PlatformOrderKind is the kind of an order to the endpoint interface.
type PlatformOrderKind string

// Kinds of platform order. Provision starts an endpoint, Release releases one.
const (
	Provision PlatformOrderKind = "provision"
	Release   PlatformOrderKind = "release"
)

// PlatformOrder is an order to the endpoint interface.
type PlatformOrder struct {
	ID     string            `json:"id"`
	Holder string            `json:"holder"`
	Fence  int64             `json:"fence"`
	Kind   PlatformOrderKind `json:"kind"`
	Domain string            `json:"domain"`
	// EndpointKind, Model and Version are set for Provision, Endpoint for
	// Release.
	EndpointKind string `json:"endpoint_kind,omitempty"`
	Model        string `json:"model,omitempty"`
	Version      string `json:"version,omitempty"`
	Endpoint     string `json:"endpoint,omitempty"`
}

// PlatformConn is one connection to the endpoint interface that carries one
// order. Its contract is that of EngineConn.
type PlatformConn interface {
	Order(ctx context.Context, order PlatformOrder) error
	Close()
}

// Platform is the client of the endpoint interface. Its contract is that of
// Engines.
type Platform interface {
	Connect(ctx context.Context, domain, holder string) (PlatformConn, error)
	ConnectedHolders(ctx context.Context, domain string) ([]string, error)
	// ChecksFencing says whether the interface refuses old fencing tokens.
	ChecksFencing() bool
}

// Receiver is the destination of one order, together with that order.
type Receiver interface {
	// Name identifies the receiver in this process. Orders to the same name are
	// sent one at a time.
	Name() string
	// ChecksFencing says whether the receiver refuses old fencing tokens.
	ChecksFencing() bool
	// Idempotent says that the order is idempotent: a copy that arrives late has
	// no effect. An unanswered order then blocks neither the receiver nor the
	// release of the lease.
	Idempotent() bool
	// ConnectedHolders has the contract of Engines.ConnectedHolders.
	ConnectedHolders(ctx context.Context) ([]string, error)
	// Instance asks the receiver for its current instance. It is empty for a
	// receiver without instances.
	Instance(ctx context.Context) (string, error)
	// Connect opens a connection for the order. An error means that no order was
	// sent.
	Connect(ctx context.Context, holder string) (Conn, error)
}

// Conn is an open connection together with the order that it will carry.
type Conn interface {
	// Send sends the order once, with the given id, lease holder and fencing
	// token. Its errors are those of EngineConn.Order.
	Send(ctx context.Context, id, holder string, fence int64) error
	// Instances returns the connected instance and the instance that the order
	// was decided for. An empty wanted means any.
	Instances() (connected, wanted string)
	// Close resets the connection.
	Close()
}

type engineReceiver struct {
	engines Engines
	ep      endpoint.Endpoint
	order   enginewire.Order
}

func (r engineReceiver) Idempotent() bool    { return false }
func (r engineReceiver) Name() string        { return "engine " + r.ep.ID }
func (r engineReceiver) ChecksFencing() bool { return r.ep.ChecksFencing }

func (r engineReceiver) ConnectedHolders(ctx context.Context) ([]string, error) {
	return r.engines.ConnectedHolders(ctx, r.ep)
}

func (r engineReceiver) Instance(ctx context.Context) (string, error) {
	load, err := r.engines.Load(ctx, r.ep)
	return load.Instance, err
}

func (r engineReceiver) Connect(ctx context.Context, holder string) (Conn, error) {
	c, err := r.engines.Connect(ctx, r.ep, holder)
	return engineOrderConn{c, r.order, r.ep.Instance}, err
}

type engineOrderConn struct {
	EngineConn
	order  enginewire.Order
	wanted string
}

func (s engineOrderConn) Instances() (connected, wanted string) { return s.Instance(), s.wanted }

func (s engineOrderConn) Send(ctx context.Context, id, holder string, fence int64) error {
	s.order.ID, s.order.Holder, s.order.Fence = id, holder, fence
	return s.Order(ctx, s.order)
}

type platformReceiver struct {
	platform Platform
	order    PlatformOrder
}

func (r platformReceiver) Idempotent() bool                         { return false }
func (r platformReceiver) Name() string                             { return "platform " + r.order.Domain }
func (r platformReceiver) ChecksFencing() bool                      { return r.platform.ChecksFencing() }
func (r platformReceiver) Instance(context.Context) (string, error) { return "", nil }

func (r platformReceiver) ConnectedHolders(ctx context.Context) ([]string, error) {
	return r.platform.ConnectedHolders(ctx, r.order.Domain)
}

func (r platformReceiver) Connect(ctx context.Context, holder string) (Conn, error) {
	c, err := r.platform.Connect(ctx, r.order.Domain, holder)
	return platformOrderConn{c, r.order}, err
}

type platformOrderConn struct {
	PlatformConn
	order PlatformOrder
}

func (s platformOrderConn) Instances() (connected, wanted string) { return "", "" }

func (s platformOrderConn) Send(ctx context.Context, id, holder string, fence int64) error {
	s.order.ID, s.order.Holder, s.order.Fence = id, holder, fence
	return s.Order(ctx, s.order)
}
