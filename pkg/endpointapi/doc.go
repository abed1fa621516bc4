// Package endpointapi is the client of the platform's host list, endpoint
// interface, usage interface and weight store, see docs/platform.md.
//
// State: the last answer of each interface and the time of its request.
//
// Guarantees: no request is repeated by the client; orders and reports fail
// with an error that says whether they can have taken effect; a list that was
// received once stays readable.
//
// When an interface is down, its list returns the last answer together with its
// age and the error, and orders fail. When the rate limit of the weight store is
// reached, the error is a *RefusedError with CodeRateLimited.
package endpointapi
