// Package upstream is an HTTP/1.1 client for endpoints and for the platform's
// services, with a pool of idle connections per address.
//
// A connection carries one exchange at a time. A request is never repeated. An
// answer whose framing is broken or incomplete ends with an error and never looks
// complete. A connection is reused only after a complete answer with nothing left
// unread. An error of type *jsonhttp.NotSentError means that the peer has not seen
// the request; after any other error it may have.
//
// A peer that has lost power does not even reset its connections. Dialing
// therefore has its own short limit, and TCP keep-alive probes and a limit on
// unacknowledged bytes end connections to such a peer. A request that the peer does not
// acknowledge is given up with a reset before the kernel gives up the connection, so that
// the network does not deliver it later.
package upstream
