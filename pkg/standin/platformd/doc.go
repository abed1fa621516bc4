// Package platformd is the stand-in for the platform: host list, endpoint
// interface, usage interface and weight store, as docs/platform.md describes
// them and pkg/platform reads them.
//
// State: hosts with their history within the list's lag, endpoints and their
// timers, the journals of orders and usage reports, the injected faults.
//
// Guarantees: the endpoint interface ignores fencing tokens and journals every
// order before it takes effect; a repeated order id has no second effect; every
// usage report is journaled, even one that contradicts an earlier one.
//
// Faults: outage, slowness, an answer lost after its effect, a kind that is
// unavailable in a failure domain, reclaim of a kind in a whole domain.
//
// A hook of the embedding process starts new endpoints, because no process may
// start another. If the hook fails, the endpoint never becomes live.
package platformd
