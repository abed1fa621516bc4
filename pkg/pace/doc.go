// Package pace limits the concurrent requests to endpoints that have just started
// or recovered, until their answers show that they bear the usual load.
//
// State: for each limited endpoint a window, the number of requests that all hosts
// together keep in flight there. It starts small, grows by one with each answer
// within the expected time, so that it doubles each round trip, and shrinks with
// late answers and refusals. A host's share is the window divided by the live
// hosts; a host whose share is below one takes turns with the others at random. The
// limit ends once the window reaches the usual load, or after a time without a late
// answer or a refusal. Hosts add what the others report of their answers to their
// own windows. What an endpoint announces about its own condition is not used.
//
// Load patterns: engines that restart under load and are slow at first; endpoints
// whose ejection or pause has ended and that all hosts would use at once; endpoints
// that are as fast as before, which must not stay idle.
//
// The limit is a preference. It does not apply if most of the endpoints that can take
// a request are limited, and callers of Full send work that would otherwise be late,
// or that no other endpoint can take, in spite of it. If reports are lost, a window
// grows more slowly at the hosts that missed them.
package pace
