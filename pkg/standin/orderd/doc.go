// Package orderd is the stand-in for an order service, see docs/platform.md. It
// executes each call that it receives under one path prefix, and answers stock
// reads, which may be repeated.
//
// State: the journal of executions, the count per Idempotency-Key, the current
// faults.
//
// Guarantees: the service never deduplicates, so that the journal shows every
// execution that a caller caused; an execution is in the journal before its
// answer is sent.
//
// Faults: outage, delay, crash before or after the effect, and an answer lost
// after the effect. A caller that disappears does not undo its execution.
package orderd
