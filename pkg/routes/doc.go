// Package routes decides which service and team a request belongs to.
//
// A Document is one whole version of the operators' configuration; Table is its
// index for lookups and is immutable. Holder, the only state, keeps the newest
// table of a process: a version that is not higher than the present one is
// dropped, so a host never goes back. Without a document every lookup fails with
// ErrUnknownConfiguration, which says nothing about the request itself.
package routes
