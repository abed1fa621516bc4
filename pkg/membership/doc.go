// Package membership keeps the table of entry hosts and gossips versioned
// entries between them.
//
// State: the hosts with their incarnation and liveness; per incarnation four
// streams of entries (domain, global, lasting, bulk), in which the publisher
// numbers its entries; the time at which each failure domain was last seen.
//
// Once a second, each host exchanges with one of a few partners in its domain,
// chosen at random. On average every two seconds, it exchanges with one of a few
// partners in other domains. Partners are chosen by rendezvous hashing and
// change every few minutes, so that connections are reused and their number is
// bounded.
//
// An exchange compares the highest sequence numbers known per incarnation (own
// domain) or one hash per domain (global streams). It then sends only what is
// missing, within a limit of bytes: lasting entries first, bulk entries last,
// and in the order of publication within a stream. Too many changes make the
// spread slower but do not increase the traffic. Each host that stores a new
// lasting entry passes it on immediately to a few hosts. The rate of such bursts
// is bounded.
//
// Promises: Entries of an older incarnation are dropped, except for lasting
// entries, which live until their TTL ends. A suspicion never counts as the
// death of a host: a host is gone only by the host list, and an incarnation ends
// only by that or by a newer incarnation. Ages count from the moment the request
// was sent, so an answer that was delayed or read late never makes a
// confirmation look younger than it is.
//
// A host that does not answer is suspected: in its own domain until its
// heartbeat advances, in another domain for a fixed time. Each host decides for
// itself which hosts of its domain it suspects; a summary reports them to the
// other domains. When a domain is cut off, its hosts are suspected and contacts
// to it go on at the usual rate, so healing causes no surge of traffic. When the
// host list is unavailable, the last one stays in use. When a subscriber is
// slow, the exchanges of this host wait.
package membership
