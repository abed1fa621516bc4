package capacity

import (
	"time"

	"github.com/clementineshed/clementineshed/pkg/declaration"
	"github.com/clementineshed/clementineshed/pkg/endpoint"
)

// Endpoint is the state of an endpoint that a Policy considers.
type Endpoint struct {
	ID, Domain  string
	Kind        string
	Reclaimable bool
	State       endpoint.State
	// Since is when the endpoint entered its state.
	Since time.Time
	// Load is the number of running and waiting requests. Endpoints with less
	// load are drained first, and a leaving endpoint is released at 0.
	Load int
}

// Demand is offered work. Its unit is one endpoint that is busy within the
// targets.
type Demand struct {
	// Strict work has targets too short for a restart elsewhere. Tolerant work
	// may run on reclaimable endpoints.
	Strict, Tolerant float64
}

// Input is what a Policy decides on.
type Input struct {
	Now       time.Time
	Domains   []string
	Endpoints []Endpoint
	Kinds     []declaration.EndpointKind
	Budget    declaration.Budget
	// Forecast is the demand expected when an endpoint ordered now is ready.
	Forecast Demand
	// Unavailable holds the kinds that the platform recently refused in a
	// domain.
	Unavailable map[Place]bool
	// Domain restricts the orders to one failure domain; empty means all.
	Domain string
}

// Place is a kind of endpoint in a failure domain.
type Place struct{ Domain, Kind string }

// OrderKind is what an order does.
type OrderKind int

const (
	// Provision starts an endpoint.
	Provision OrderKind = iota
	// Drain takes an endpoint out of service. It is released once it is idle.
	Drain
	// Release gives an idle endpoint back to the platform.
	Release
)

// Order is an order to the platform or to an endpoint.
type Order struct {
	Kind OrderKind
	// Place is where to provision, or the place of Endpoint. Endpoint is the ID
	// of the endpoint to drain or release; it is empty for Provision.
	Place    Place
	Endpoint string
}

// Policy decides on capacity. Decide must be a pure function.
type Policy interface {
	Decide(in Input) []Order
}

// Static is a policy that orders nothing.
type Static struct{}

// Decide implements Policy.
func (Static) Decide(Input) []Order { return nil }
