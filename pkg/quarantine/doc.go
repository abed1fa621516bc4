// Package quarantine stops requests that crash endpoints from crashing more of
// them.
//
// It tracks crashes and quarantines by request fingerprint, a hash of team,
// route and body, and the suspected requests that run on this host. Crashes and
// quarantines expire. Their state is a set union, so the order in which they
// arrive does not matter.
//
// A crash of an endpoint makes every request that it was running suspected. A
// suspected request runs on an endpoint that runs nothing else and, as far as
// gossip has spread the runs of other hosts, on one endpoint at a time. After
// crashes of two different endpoint instances the fingerprint is quarantined.
//
// Crashes and quarantines spread as lasting global membership entries.
// Quarantines are also appended to the quarantine stream of the log service,
// which a starting host reads.
//
// Until a crash has spread, which takes a few seconds, another host may run the
// request as unsuspected. While the log service is down, records wait and are
// retried, and gossip alone spreads quarantines. A partitioned failure domain
// learns of crashes elsewhere after the partition heals.
package quarantine
