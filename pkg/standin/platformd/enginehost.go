package platformd

import (
	"net"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/endpointapi"
	"github.com/clementineshed/clementineshed/pkg/standin/engined"
)

// EngineHost starts engine stand-ins in this process. Its Start method fits
// Options.Start.
type EngineHost struct {
	// Options apply to every engine. Start sets ID, Model and Version, and
	// OnInstance if Platform is set.
	Options engined.Options
	// IP is the address that engines listen on, each at a free port; 127.0.0.1
	// if empty.
	IP string
	// Platform is notified of the new instance of an engine that crashed. It may
	// be nil and must be set before the first start.
	Platform *Server
	// OnStart is called with every started engine; it may be nil.
	OnStart func(*engined.Server)
}

// Start starts an engine for a provision order. It returns the endpoint with
// Instance, Address, SoftwareVersion and ChecksFencing set, and a function that stops the engine.
// An endpoint that is not an engine is an error.
func (h *EngineHost) Start(e endpoint.Endpoint, order endpointapi.ProvisionOrder) (endpoint.Endpoint, func(), error) {
	if !e.IsEngine() {
		return e, nil, errors.Errorf("start endpoint: service %q is not an engine", e.Service)
	}
	opts := h.Options
	opts.ID = e.ID
	opts.Model = order.Model
	opts.Version = order.Version
	if h.Platform != nil {
		opts.OnInstance = h.Platform.SetInstance
	}
	ip := h.IP
	if ip == "" {
		ip = "127.0.0.1"
	}
	engine := engined.New(opts)
	if err := engine.Listen(net.JoinHostPort(ip, "0")); err != nil {
		return e, nil, err
	}
	if h.OnStart != nil {
		h.OnStart(engine)
	}
	e.Instance = engine.Instance()
	e.Address = engine.Address()
	e.SoftwareVersion = opts.SoftwareVersion
	e.ChecksFencing = opts.ChecksFencing
	return e, func() { _ = engine.Close() }, nil
}
