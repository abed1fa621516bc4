package peer

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/steperr"
)

// errMalformed marks a body that does not decode into the handler's type.
var errMalformed = errors.New("malformed body")

// handler serves one kind. The body is only valid during the call.
type handler func(ctx context.Context, from string, body []byte) (any, error)

// Handle registers f for requests of a kind. f may run concurrently with itself.
// Its context ends with the sender's timeout, the sender's cancellation or Close.
// from is the host that the sender's certificate names. Handle panics if the kind
// is registered already.
func Handle[In, Out any](n *Node, kind Kind, f func(ctx context.Context, from string, in In) (Out, error)) {
	n.register(kind, func(ctx context.Context, from string, body []byte) (any, error) {
		var in In
		if err := cbor.Unmarshal(body, &in); err != nil {
			return nil, fmt.Errorf("%w: %w", errMalformed, err)
		}
		return f(ctx, from, in)
	})
}

// HandleOneWay registers f for one-way messages of a kind, under the rules of
// Handle, except that its context ends after RequestTimeout or with Close only.
// An error is logged.
func HandleOneWay[In any](n *Node, kind Kind, f func(ctx context.Context, from string, in In) error) {
	Handle(n, kind, func(ctx context.Context, from string, in In) (struct{}, error) {
		return struct{}{}, f(ctx, from, in)
	})
}

// Call is CallTimeout with RequestTimeout.
func Call[Out any](ctx context.Context, n *Node, host string, kind Kind, in any) (Out, error) {
	return CallTimeout[Out](ctx, n, host, kind, in, RequestTimeout)
}

// CallTimeout sends a request to a host and decodes its answer. It ends after
// the timeout (including the dial, and at most MaxTimeout) or with ctx, whichever
// is first; the handler's context then ends too. Errors carry the step and the
// host. The cause matches ErrNotSent if the handler certainly did not run, and
// wraps ErrTimeout or a *RemoteError where these apply.
func CallTimeout[Out any](ctx context.Context, n *Node, host string, kind Kind, in any, timeout time.Duration) (Out, error) {
	var out Out
	body, err := n.request(ctx, host, kind, in, min(timeout, MaxTimeout))
	if err == nil {
		err = cbor.Unmarshal(body, &out)
	}
	return out, steperr.Wrap(err, "request "+string(kind), host)
}

// Send sends a one-way message to a host within RequestTimeout. A nil error means
// that it was handed to the connection, not that it arrived. Errors are those of
// Call.
func Send(ctx context.Context, n *Node, host string, kind Kind, in any) error {
	return steperr.Wrap(n.send(ctx, host, kind, in), "send "+string(kind), host)
}

func (n *Node) register(kind Kind, h handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.handlers[kind] != nil {
		panic("peer: kind registered twice: " + string(kind))
	}
	n.handlers[kind] = h
}

func (n *Node) handler(kind Kind) handler {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.handlers[kind]
}
