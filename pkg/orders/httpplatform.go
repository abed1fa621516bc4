package orders

import (
	"context"
	"crypto/tls"

	"github.com/clementineshed/clementineshed/pkg/endpointapi"
)

// HTTPPlatform is the HTTP client of the platform's endpoint interface, which
// docs/platform.md describes. It implements Platform.
type HTTPPlatform struct {
	// Address is "IP:port".
	Address string
	// TLS returns the configuration of one connection; nil means no TLS.
	TLS func() *tls.Config
}

// Connect implements Platform.
func (h HTTPPlatform) Connect(ctx context.Context, _, holder string) (PlatformConn, error) {
	l, err := DialRegistered(ctx, h.Address, holder, h.TLS)
	if err != nil {
		return nil, err
	}
	return httpPlatformConn{l}, nil
}

// ConnectedHolders implements Platform.
func (h HTTPPlatform) ConnectedHolders(ctx context.Context, _ string) ([]string, error) {
	return ConnectedHolders(ctx, h.Address, h.TLS)
}

// ChecksFencing implements Platform. The endpoint interface ignores fencing
// tokens.
func (h HTTPPlatform) ChecksFencing() bool { return false }

type httpPlatformConn struct{ *HTTPConn }

// Order implements PlatformConn.
func (c httpPlatformConn) Order(ctx context.Context, order PlatformOrder) error {
	if order.Kind == Release {
		return c.Post(ctx, endpointapi.PathRelease, endpointapi.ReleaseOrder{
			ID: order.ID, Holder: order.Holder, Fence: order.Fence, EndpointID: order.Endpoint,
		})
	}
	return c.Post(ctx, endpointapi.PathProvision, endpointapi.ProvisionOrder{
		ID: order.ID, Holder: order.Holder, Fence: order.Fence, Domain: order.Domain,
		Kind: order.EndpointKind, Model: order.Model, Version: order.Version,
	})
}
