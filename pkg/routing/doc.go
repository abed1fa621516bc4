// Package routing chooses the endpoint for a request, or the pair of a prefill
// and a decode engine.
//
// A decision depends only on a Snapshot, the request and a seeded source of
// randomness. The candidates are the holders of the longest cached prefix and a
// few random endpoints, mostly from nearby failure domains, so the cost does
// not grow with the fleet. Filters remove endpoints that must not run the
// request, scorers grade the rest from 0 (worst) to 1 (best), and a picker
// chooses among them.
//
// Load reports are assumed to be seconds old. The estimate adds this host's own
// sends since the report and an allowance for those of the other hosts. An
// engine without a load report, and an endpoint that is starting, draining or
// leaving, is not used.
//
// The only state is SendLog, which counts this host's sends, and Trends, which
// smooths load reports.
package routing
