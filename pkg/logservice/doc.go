// Package logservice is the client of the platform's log service: named
// append-only streams with offsets and limited retention. All clients together
// may make several hundred appends a second.
//
// Conflicts between processes are decided by the order of records in a stream
// alone. The service has no conditional append. A record carries its condition,
// and every reader checks it in the same deterministic fold.
//
// When the service is down, Append fails with ErrNotAppended or
// ErrOutcomeUnknown, and Read fails with ErrUnavailable. An append whose answer
// was lost may have taken effect or may take effect later. Callers look for the
// record's id in the tail of the stream.
package logservice
