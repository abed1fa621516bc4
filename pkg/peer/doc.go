// Package peer carries messages between entry hosts over QUIC with mutual TLS.
//
// State: connections per remote host, backoff after failed dials, counters.
//
// Each message is one frame (length and CBOR) on a stream of its own, so a slow
// message delays no other. A request is answered on its stream; a one-way
// message is not. Kinds are typed and have one registered handler each. The
// sender is the host named by its certificate, never by the message.
//
// Promises: a message is delivered at most once and never retried by this
// package; a message that failed with ErrNotSent had no effect at the peer;
// messages over the size limit are refused on both sides; work in flight is
// bounded per remote host when sending and in total when serving.
//
// When a peer does not answer, the request ends with its timeout. If nothing at
// all arrived on the connection meanwhile although keep-alives were due, the
// connection is silent: it gets no further requests, and the next request dials
// a new one from a new local port, because a path can drop one flow permanently
// while new flows work. When a dial fails, further requests to that host fail
// immediately until the backoff ends. When handlers are slow or the host is
// overloaded, further requests are refused as busy.
package peer
