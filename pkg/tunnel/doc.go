// Package tunnel carries connections to endpoints through another entry host, for a host
// that has no path to them.
//
// A tunnel is one TCP connection between two hosts. The host that asks sends one line that
// names the endpoint; the host that helps opens a connection to it and answers with one
// line. Then the bytes of both are passed on, until either ends. All decisions on the
// request stay with the host that asked: the helping host neither chooses an endpoint nor
// sends anything again, and never asks a third host.
//
// The package promises:
//   - Before the answering line says that the connection is open, no byte has reached the
//     endpoint.
//   - What the endpoint sends arrives in frames, and its end is marked, so that a helping
//     host that fails never makes an answer look complete that ends with its connection.
//   - A connection that the endpoint or the asking host resets, or whose bytes are not
//     acknowledged in time, is reset on the other side, which drops what has not arrived.
//   - A host carries a bounded number of tunnels, each with buffers of fixed size.
package tunnel
