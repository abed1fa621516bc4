// Package faultproxy is a proxy between two processes that forwards TCP
// connections, or UDP datagrams for QUIC, and injects faults into them.
//
// State: the current faults, and the open connections, each of which may be
// muted.
//
// Guarantees: without faults, every byte on a TCP connection arrives in order
// and unchanged; after a fault is switched off, new connections work; Close
// ends every goroutine.
//
// Faults: delay, loss of one direction, loss of both (cut), muting the open
// connections while new ones work, reset, and the loss of an answer after the
// request was delivered. When the target refuses a connection, the proxy resets
// the caller's.
package faultproxy
