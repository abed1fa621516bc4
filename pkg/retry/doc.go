// Package retry limits retries and hedged requests.
//
// Budgets are token buckets per team and class. Each request earns a fraction of
// a token, each retry or hedge spends one, and a bucket holds few, so that after
// an outage the retries stay a small share of the requests. A retry costs nothing
// if an engine refused the request as "not run" because it drains. Work that may
// not be repeated is retried only in that case and never hedged. The buckets are
// lost with the process; a new one starts with full, small buckets.
//
// SharedBudget bounds the retries of all hosts together to each service.
package retry
