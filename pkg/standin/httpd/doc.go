// Package httpd is the HTTP base that the stand-ins share: a fasthttp server
// that tracks its connections, faults that can be set at run time, and a
// journal of received requests.
//
// State: the open connections of one server, the fault settings, the journal.
//
// Guarantees: Close ends the server and its handlers (fasthttp's idle worker
// cleaner ends up to 10 s later); a lost answer closes the connection before
// any byte of the answer is sent; paths under /control/ are answered during
// every fault.
//
// The connection of a caller that disappeared is closed by the next write or by
// Close.
package httpd
