// Package relayhost assembles one entry host that relays requests on a platform
// which keeps all lasting state in its store.
//
// State: none that lasts. The configuration and the endpoints are followed in
// the store; the view of the engines' work is learned from own sends and from
// the reports of the other hosts; counts of usage are flushed to the store. A
// host that is killed loses its requests in flight and the counts since its last
// flush; a host that is cut off from the store goes on with the last
// configuration and endpoints, and performs no duty once its lease has ended. A
// host without a configuration is not ready and refuses requests as not run.
package relayhost
