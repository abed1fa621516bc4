// Package bench simulates the serving system's decision code on request traces
// in virtual time and measures the results.
//
// It runs the code that the daemon runs (admission.Controller with its router,
// index, ledger and queue, the retry budgets, roles and capacity) against
// fakes of the engines, the platform's endpoint interface and the host list. The
// fake engines batch continuously, cache prefixes and decode more slowly while
// they prefill. All randomness comes from one seed, time advances in steps of
// 10 ms, and no step reads a clock, so a seed gives the same results on every
// run.
//
// The simulation leaves out what the decisions do not depend on: connections,
// HTTP, the log, leases and keys. Its results compare policies; they do not
// predict the performance of a deployment.
package bench
