// Package relay passes requests on to endpoints unchanged: it finds the route
// and the team, lets pkg/placement choose the endpoints, sends, and returns the
// endpoint's answer.
//
// State: the requests in flight. Guarantees: a request that may not be repeated
// is sent again only after a proof that it did not run; a refusal that says "not
// run" is given only when no endpoint was sent the request to run it, or each of
// them said that it did not; an answer is passed on only if it is whole, signed
// by an endpoint and belongs to the request; a stream that breaks off never
// looks complete. A request whose caller has gone, or whose time has passed, is
// cancelled at its endpoint, and a prompt's memory that nobody will use is freed.
//
// What a request, an answer and a refusal look like on the wire is the Codec's.
package relay
