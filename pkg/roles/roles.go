package roles

import (
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
)

// Engine is the state of an engine that a Policy considers.
type Engine struct {
	ID, Domain string
	// SoftwareVersion is that of the engine's software. Engines of different versions
	// cannot use each other's KV cache.
	SoftwareVersion string
	Role            endpoint.Role
	// Usable is set if the engine is live and not scheduled to leave.
	Usable bool
	// Changing is set if a role change is in progress, or if it ended with an
	// unknown outcome and the engine has not reported since.
	Changing bool
	// ChangedAt is when the engine's last role change began; zero if there was
	// none.
	ChangedAt time.Time
	// DecodeStreams is the number of requests that the engine decodes. Engines
	// with fewer streams change first because they drain sooner.
	DecodeStreams int
}

// Work is offered work. Its unit is one busy engine that runs only this phase
// and meets the limit on the time between tokens.
type Work struct{ Prefill, Decode float64 }

// Input is what a Policy decides on.
type Input struct {
	Now     time.Time
	Engines []Engine
	// Work is the smoothed offered work of the whole fleet; see Meter.
	Work Work
	// Peak holds the largest work of each phase in the recent past, see PeakHold.
	// Zero means that it is not known.
	Peak Work
	// Slots is the number of requests that one engine decodes at once; zero means
	// that it is not known.
	Slots int
	// Domain restricts the changes to one failure domain; empty means all.
	Domain string
}

// Change assigns a new role to an engine.
type Change struct {
	Engine string
	From   endpoint.Role
	To     endpoint.Role
}

// Policy decides on role changes. Decide must be a pure function.
type Policy interface {
	Decide(in Input) []Change
}

// Fixed is a policy that never changes a role.
type Fixed struct{}

// Decide implements Policy.
func (Fixed) Decide(Input) []Change { return nil }
