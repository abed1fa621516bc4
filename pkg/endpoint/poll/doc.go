// Package poll keeps the endpoint table up to date. It polls the platform's
// endpoint list, and each listed engine's load report and cache events.
//
// State: one connection and one goroutine per listed engine, and the offset in
// the engine's cache events.
//
// Guarantees: every request has a timeout. An engine that does not answer delays
// no other engine. Close waits for all goroutines. When the list or an engine
// cannot be read, the table keeps the last answer and its age.
package poll
