// Package logd is the stand-in for the platform's log service: append-only
// streams over HTTP, as pkg/logservice expects them and docs/platform.md
// describes them.
//
// State: the retained records of every stream, in memory; the append rate
// limit; the current faults.
//
// Guarantees: an append stores all its records or none; offsets have no gaps; a
// request that was answered with 4xx has no effect.
//
// Faults: outage, slowness, an answer lost after the append took effect, an
// append that takes effect after its connection was closed, reads that lag
// behind, and a return from an older copy of all streams in a new era. The
// handler of a long poll whose caller disappeared runs until the requested wait
// time ends.
package logd
