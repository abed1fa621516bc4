package peer

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

// streamCancelled is the stream error code with which the sender or the receiver
// cancels a message.
const streamCancelled quic.StreamErrorCode = 1

// maxOpenAttempts bounds the connections that a message is tried on. A connection
// may end after it was chosen and before its stream opens; nothing was sent then.
const maxOpenAttempts = 2

// silentAfter is the time within which a healthy connection receives at least the
// acknowledgement of a request or a keep-alive. The margin over KeepAlive covers
// a busy peer and one lost packet.
const silentAfter = KeepAlive + KeepAlive*9/10

// request sends a request and returns the body of its answer. An error wraps
// ErrNotSent if the peer did not see the request.
func (n *Node) request(ctx context.Context, host string, kind Kind, in any, timeout time.Duration) ([]byte, error) {
	message, err := newRequest(kind, timeout, in)
	if err != nil {
		return nil, notSent(err)
	}
	ctx, cancel := withTimeout(ctx, n.opts.Clock, timeout)
	defer cancel()
	r := n.remote(host)
	select {
	case r.inFlight <- struct{}{}:
		defer func() { <-r.inFlight }()
	default:
		return nil, notSent(ErrBusy)
	}
	pc, stream, err := openStream(ctx, n, r, (*quic.Conn).OpenStreamSync)
	if err != nil {
		return nil, notSent(n.wrapTimeout(ctx, err))
	}
	start := n.opts.Clock.Now()
	before := pc.conn.ConnectionStats().PacketsReceived
	body, err := n.exchange(ctx, stream, message)
	if err != nil && n.opts.Clock.Since(start) >= silentAfter {
		n.checkSilent(pc, before)
	}
	return body, n.wrapTimeout(ctx, err)
}

// exchange writes a request to the stream and reads its answer. The end of ctx
// cancels the stream.
func (n *Node) exchange(ctx context.Context, stream *quic.Stream, message request) ([]byte, error) {
	defer context.AfterFunc(ctx, func() {
		stream.CancelRead(streamCancelled)
		stream.CancelWrite(streamCancelled)
	})()
	sent, err := writeFrame(stream, message, MaxMessageBytes)
	var stopped *quic.StreamError
	if err != nil && !errors.As(err, &stopped) {
		stream.CancelRead(streamCancelled)
		stream.CancelWrite(streamCancelled)
		if errors.Is(err, ErrTooLarge) {
			return nil, notSent(err)
		}
		return nil, err
	}
	// A busy host stops reading the request, which fails the write with a
	// StreamError, but still answers.
	n.counters.sent(message.Kind, sent)
	_ = stream.Close()
	var reply answer
	received, err := readFrame(stream, &reply, MaxMessageBytes)
	if err != nil {
		stream.CancelRead(streamCancelled)
		return nil, err
	}
	drain(stream)
	n.counters.received(message.Kind, received)
	if reply.Code != CodeOK {
		return nil, &RemoteError{Code: reply.Code, Message: reply.Message}
	}
	return reply.Body, nil
}

// receiver is the receiving side of a bidirectional or unidirectional stream.
type receiver interface {
	io.Reader
	CancelRead(quic.StreamErrorCode)
}

// drain reads the end of the stream; until it is read, QUIC keeps the stream
// open. Data after the frame violates the protocol and is discarded unread.
func drain(stream receiver) {
	var buffer [1]byte
	if _, err := stream.Read(buffer[:]); err == nil {
		stream.CancelRead(streamCancelled)
	}
}

// send writes a one-way message within RequestTimeout.
func (n *Node) send(ctx context.Context, host string, kind Kind, in any) error {
	message, err := newRequest(kind, 0, in)
	if err != nil {
		return notSent(err)
	}
	ctx, cancel := withTimeout(ctx, n.opts.Clock, RequestTimeout)
	defer cancel()
	_, stream, err := openStream(ctx, n, n.remote(host), (*quic.Conn).OpenUniStreamSync)
	if err != nil {
		return notSent(n.wrapTimeout(ctx, err))
	}
	defer context.AfterFunc(ctx, func() { stream.CancelWrite(streamCancelled) })()
	sent, err := writeFrame(stream, message, MaxMessageBytes)
	if err != nil {
		stream.CancelWrite(streamCancelled)
		if errors.Is(err, ErrTooLarge) {
			return notSent(err)
		}
		return n.wrapTimeout(ctx, err)
	}
	n.counters.sent(kind, sent)
	return stream.Close()
}

// openStream opens a stream on a usable connection to r, dialing if there is
// none. Every error means that nothing was sent.
func openStream[S any](ctx context.Context, n *Node, r *remote, open func(*quic.Conn, context.Context) (S, error)) (*peerConn, S, error) {
	var zero S
	var err error
	for range maxOpenAttempts {
		var pc *peerConn
		if pc, err = n.connection(ctx, r); err != nil {
			return nil, zero, err
		}
		var stream S
		if stream, err = open(pc.conn, ctx); err == nil {
			pc.touch(n.opts.Clock.Now())
			return pc, stream, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, zero, err
}

// checkSilent marks a connection as silent if it received no packet since
// packetsBefore was read. The caller has waited at least silentAfter.
func (n *Node) checkSilent(pc *peerConn, packetsBefore uint64) {
	if pc.conn.ConnectionStats().PacketsReceived != packetsBefore || pc.silent.Swap(true) {
		return
	}
	n.counters.add(func(c *Counters) { c.SilentConnections++ })
	n.opts.Log.WithFields(log.Fields{"peer": pc.host, "address": pc.conn.RemoteAddr().String()}).Warn("peer connection is silent, the next request uses a new one")
}

// wrapTimeout wraps an error in ErrTimeout and counts it if the context's
// deadline has passed; other errors are returned as they are.
func (n *Node) wrapTimeout(ctx context.Context, err error) error {
	if err == nil || !expired(ctx) {
		return err
	}
	n.counters.add(func(c *Counters) { c.Timeouts++ })
	return fmt.Errorf("%w: %w", ErrTimeout, err)
}

func newRequest(kind Kind, timeout time.Duration, in any) (request, error) {
	body, err := cbor.Marshal(in)
	return request{Kind: kind, TimeoutMillis: timeout.Milliseconds(), Body: body}, err
}
