package peer

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
	"github.com/quic-go/quic-go"
)

// serve accepts the streams of a connection until it ends, and then removes it.
func (n *Node) serve(r *remote, pc *peerConn) {
	defer n.removeConnection(r, pc)
	n.spawn(func() { n.acceptOneWay(pc) })
	for {
		stream, err := pc.conn.AcceptStream(n.ctx)
		if err != nil {
			break
		}
		pc.touch(n.opts.Clock.Now())
		if !n.admit() {
			n.refuse(pc, stream)
			continue
		}
		if !n.spawn(func() { n.serveRequest(pc, stream) }) {
			n.release()
		}
	}
	// The node may be closing while the connection is still open.
	_ = pc.conn.CloseWithError(0, "host stops")
	<-pc.conn.Context().Done()
}

func (n *Node) acceptOneWay(pc *peerConn) {
	for {
		stream, err := pc.conn.AcceptUniStream(n.ctx)
		if err != nil {
			return
		}
		pc.touch(n.opts.Clock.Now())
		if !n.admit() {
			stream.CancelRead(streamCancelled)
			continue
		}
		if !n.spawn(func() { n.serveOneWay(pc, stream) }) {
			n.release()
		}
	}
}

// admit takes one of the MaxServing places in service, or returns false and
// counts the refusal. The caller gives the place back with release.
func (n *Node) admit() bool {
	select {
	case n.serving <- struct{}{}:
		return true
	default:
		n.counters.add(func(c *Counters) { c.RefusedBusy++ })
		return false
	}
}

func (n *Node) release() { <-n.serving }

// refuse answers CodeBusy without reading the request. The answer is smaller than
// the initial flow control window, so the write does not block.
func (n *Node) refuse(pc *peerConn, stream *quic.Stream) {
	stream.CancelRead(streamCancelled)
	_, _ = writeFrame(stream, answer{Code: CodeBusy}, MaxMessageBytes)
	_ = stream.Close()
	n.opts.Log.WithField("peer", pc.host).Debug("peer request refused as busy")
}

func (n *Node) serveRequest(pc *peerConn, stream *quic.Stream) {
	defer n.release()
	message, err := n.readRequest(pc, stream)
	if err != nil {
		stream.CancelWrite(streamCancelled)
		return
	}
	ctx, cancel := withTimeout(n.ctx, n.opts.Clock, handlerTimeout(message))
	defer cancel()
	defer context.AfterFunc(stream.Context(), cancel)()
	stop := context.AfterFunc(ctx, func() { stream.CancelWrite(streamCancelled) })
	defer stop()
	sent, err := writeFrame(stream, n.runHandler(ctx, pc.host, message), MaxMessageBytes)
	if errors.Is(err, ErrTooLarge) {
		sent, err = writeFrame(stream, answer{Code: CodeFailed, Message: "answer exceeds the size limit"}, MaxMessageBytes)
	}
	if err != nil {
		stream.CancelWrite(streamCancelled)
		return
	}
	n.counters.sent(message.Kind, sent)
	// Close ends the stream's context and with it ctx. Cancelling the write then
	// would reset the stream before the peer has read the answer.
	stop()
	_ = stream.Close()
}

func (n *Node) serveOneWay(pc *peerConn, stream *quic.ReceiveStream) {
	defer n.release()
	message, err := n.readRequest(pc, stream)
	if err != nil {
		return
	}
	ctx, cancel := withTimeout(n.ctx, n.opts.Clock, RequestTimeout)
	defer cancel()
	if reply := n.runHandler(ctx, pc.host, message); reply.Code != CodeOK {
		n.opts.Log.WithFields(log.Fields{"peer": pc.host, "kind": message.Kind, "code": reply.Code, "error": reply.Message}).Warn("one-way message not handled")
	}
}

// readRequest reads one message within RequestTimeout, so that a stalled sender
// does not occupy a place in service.
func (n *Node) readRequest(pc *peerConn, stream receiver) (request, error) {
	ctx, cancel := withTimeout(n.ctx, n.opts.Clock, RequestTimeout)
	defer cancel()
	defer context.AfterFunc(ctx, func() { stream.CancelRead(streamCancelled) })()
	var message request
	received, err := readFrame(stream, &message, MaxMessageBytes)
	if err != nil {
		stream.CancelRead(streamCancelled)
		n.opts.Log.WithFields(log.Fields{"peer": pc.host, "error": err.Error()}).Debug("reading peer message failed, stream cancelled")
		return message, err
	}
	drain(stream)
	n.counters.received(message.Kind, received)
	return message, nil
}

// handlerTimeout returns the sender's timeout, limited to 1 ms to MaxTimeout.
func handlerTimeout(message request) time.Duration {
	timeout := time.Duration(message.TimeoutMillis) * time.Millisecond
	return min(max(timeout, time.Millisecond), MaxTimeout)
}

// runHandler calls the handler of a message and returns its answer.
func (n *Node) runHandler(ctx context.Context, from string, message request) answer {
	h := n.handler(message.Kind)
	if h == nil {
		return answer{Code: CodeNoHandler}
	}
	out, err := h(ctx, from, message.Body)
	switch {
	case errors.Is(err, errMalformed):
		return answer{Code: CodeMalformed, Message: err.Error()}
	case err != nil:
		return answer{Code: CodeFailed, Message: err.Error()}
	}
	body, err := cbor.Marshal(out)
	if err != nil {
		return answer{Code: CodeFailed, Message: err.Error()}
	}
	return answer{Code: CodeOK, Body: body}
}
