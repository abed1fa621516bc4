// Package once executes non-repeatable requests at most once.
//
// State: the table folded from the attempts stream (one entry per idempotency
// key, kept for the deduplication period, bounded in number and bytes), and the
// attempts that this process has withdrawn but not yet recorded as abandoned.
// Keys are held, stored and sent as hashes only.
//
// Guarantees: the first attempt record of a key in the order of the stream
// owns the key for the deduplication period. Only the process incarnation that
// the record names sends the request, once, within SendLimit of the append.
// ErrNotRun is returned only if the request did not run and never will. Every
// host derives the same owner from the same records. A host whose view lacks
// records that are younger than the period sends nothing.
//
// When the log is down or slow, requests are refused with ErrNotRun. When the
// response to an append is lost, the executor waits for the record in the tail.
// If the record does not appear in time, the attempt is withdrawn; should it
// appear later, it is recorded as abandoned. When the owner's process dies,
// requests with its key get ErrOutcomeUnknown until the period ends. When the
// receiver fails, the caller's send function says whether the request certainly
// did not run. When the table is full, the oldest entry is dropped and the view
// counts as incomplete until a period has passed since that entry.
//
// The period is measured with the log service's record timestamps, made
// monotonic in stream order.
package once
