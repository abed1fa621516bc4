// Package engineclient runs requests on engines: it opens streams, reads their
// events with a timeout on the time without progress, and cancels them.
//
// It owns the idle connections to engines. A connection that fails or times out
// is closed and never reused. The package resends a request only if a reused
// connection fails before the engine accepts the request. All other retries are
// left to the gate; errors say whether the engine may have run the request.
package engineclient
