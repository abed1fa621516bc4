// Package relayhost assembles an entry host, which relays requests to
// endpoints, for a platform that keeps all durable state in its store.
//
// A host keeps no durable state. It follows the configuration and the endpoints
// in the store, builds its view of the engines' work from its own sends and the
// reports of other hosts, and flushes usage counts to the store. A host that is
// killed loses its requests in flight and the counts since its last flush. A
// host that is cut off from the store continues with the last configuration and
// endpoints, and performs no duty once its lease has expired. A host without a
// configuration is not ready and refuses requests as not run.
//
// A duty is work that one host at a time performs for all, under a lease:
// reporting usage, and ordering endpoints and the roles of engines. A candidate
// is a host that competes for this lease. A leader is a host that reads the
// store for the others.
package relayhost
