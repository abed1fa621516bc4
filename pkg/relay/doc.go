// Package relay forwards requests to endpoints unchanged: it finds the route and
// the team, lets pkg/placement choose the endpoints, sends the request, and
// returns the endpoint's answer. Its only state is the requests in flight.
//
// It guarantees the following:
//   - A request that may not be repeated is sent again only after a proof that it
//     did not run.
//   - A refusal says "not run" only if no endpoint was asked to run the request, or
//     each one that was asked said that it did not.
//   - An answer is passed on only if it is complete, carries an endpoint's stamp
//     and belongs to the request.
//   - A stream that breaks off never looks complete.
//   - A request whose caller has disconnected, or whose deadline has passed, is
//     cancelled at its endpoint, and the KV cache of a prefill that no engine will
//     use is freed.
//
// The Codec defines what requests and answers look like on the wire.
package relay
