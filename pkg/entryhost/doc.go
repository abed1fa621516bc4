// Package entryhost assembles an entry host from its components and runs it
// from start to graceful shutdown.
//
// A host is ready for the balancer when its configuration is in force and it
// knows an endpoint. On a stop, it first fails /readyz and keeps accepting
// connections for the balancer's delay. Then it closes the listeners, waits
// until running requests have ended, flushes unwritten records, releases its
// leases and ends.
package entryhost
