package platformd

import (
	"net"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/endpointapi"
	"github.com/clementineshed/clementineshed/pkg/standin/engined"
)

// EngineHost starts engine stand-ins in this process; its Start is a hook for
// Options.Start.
type EngineHost struct {
	// Options are those of every engine, but for ID, Model, Version and
	// OnInstance.
	Options engined.Options
	// IP is the address that engines listen on, at a free port; 127.0.0.1 if
	// empty.
	IP string
	// Platform learns the new instance of an engine that crashed. It may be nil
	// and must be set before the first start.
	Platform *Server
	// OnStart gets every engine that was started; nil for none.
	OnStart func(*engined.Server)
}

// Start starts an engine for a provision order.
func (h *EngineHost) Start(e endpoint.Endpoint, order endpointapi.ProvisionOrder) (endpoint.Endpoint, func(), error) {
	if !e.IsEngine() {
		return e, nil, errors.Errorf("service %q can't be started here", e.Service)
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
	e.ChecksFencing = opts.ChecksFencing
	return e, func() { _ = engine.Close() }, nil
}
