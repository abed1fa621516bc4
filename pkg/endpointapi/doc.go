// Package endpointapi is the client of the platform's host list, endpoint
// interface, usage interface and weight store, see docs/platform.md.
//
// State: the last answer of each list and the time it was received.
//
// Guarantees: no request is repeated by the client; orders and reports fail
// with an error that says whether they can have taken effect; a list that was
// received once stays readable.
//
// When an interface is down, its list returns the last answer together with its
// age and the error, and orders fail. When the weight store refuses for its rate
// limit, a *RefusedError with CodeRateLimited says so.
package endpointapi
