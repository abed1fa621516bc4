package usage

import (
	"context"
	"crypto/tls"

	"github.com/clementineshed/clementineshed/pkg/endpointapi"
	"github.com/clementineshed/clementineshed/pkg/orders"
)

// HTTPInterface is the HTTP client of the platform's usage interface, see
// docs/platform.md. It implements Interface.
type HTTPInterface struct {
	// Address is "IP:port".
	Address string
	// TLS, if set, enables TLS. It is called for each connection.
	TLS func() *tls.Config
}

// Connect implements Interface.
func (h HTTPInterface) Connect(ctx context.Context, holder string) (Conn, error) {
	l, err := orders.DialRegistered(ctx, h.Address, holder, h.TLS)
	if err != nil {
		return nil, err
	}
	return httpConn{l}, nil
}

// ConnectedHolders implements Interface.
func (h HTTPInterface) ConnectedHolders(ctx context.Context) ([]string, error) {
	return orders.ConnectedHolders(ctx, h.Address, h.TLS)
}

// ChecksFencing implements Interface. The platform ignores fencing tokens.
func (h HTTPInterface) ChecksFencing() bool { return false }

type httpConn struct{ *orders.HTTPConn }

// Send implements Conn.
func (c httpConn) Send(ctx context.Context, r Report) error {
	return c.Post(ctx, endpointapi.PathUsage, endpointapi.UsageReport{
		ID: r.ID, Team: r.Team, Window: r.StartMillis,
		Figures: endpointapi.Figures{
			Requests:     r.Counts.Requests,
			PromptTokens: r.Counts.InputTokens,
			CachedTokens: r.Counts.CachedTokens,
			OutputTokens: r.Counts.OutputTokens,
		},
		Holder: r.Holder, Fence: r.Fence,
	})
}
