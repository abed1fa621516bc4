// Package tlsconfig provides mutual TLS between entry hosts from certificate,
// key and CA files.
//
// State: the current certificate and CA pool, and a digest of the files they
// were loaded from. The files are re-read every poll interval. A change applies
// to new handshakes; open connections are not affected.
//
// A certificate contains the name of its host as a DNS name. Clients verify that
// name instead of an address, and servers use it as the identity of the caller.
// A server refuses a peer without a certificate that the current CA signed, and
// logs the refusal.
//
// When a file cannot be read, or certificate and key do not match (for example
// because only one of them has been replaced so far), the previous keys stay in
// use and the next poll retries. A failed read is logged at each poll, a
// mismatch once per content of the files. Server turns off session resumption,
// so that each connection is checked against the current CA.
//
// DevCA issues certificates for tests and for the dev command. Production
// certificates come from the operator's own CA.
package tlsconfig
