package membership

import (
	"context"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/peer"
)

// errWrongSender reports a message that does not name its authenticated sender.
var errWrongSender = errors.New("message names another host as its sender")

// KindExchange is the kind of the requests of an exchange.
const KindExchange peer.Kind = "membership/exchange"

// PeerTransport carries exchanges over a peer node. It is safe for concurrent
// use.
type PeerTransport struct{ Node *peer.Node }

// Exchange implements Transport.
func (p PeerTransport) Exchange(ctx context.Context, host string, m *Message) (*Message, error) {
	return peer.Call[*Message](ctx, p.Node, host, KindExchange, m)
}

// Serve registers the table at a node as the handler of exchange requests.
func Serve(n *peer.Node, t *Table) {
	peer.Handle(n, KindExchange, func(_ context.Context, from string, m *Message) (*Message, error) {
		if m == nil {
			return nil, errWrongSender
		}
		return t.Answer(from, m)
	})
}
