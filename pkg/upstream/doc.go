// Package upstream exchanges HTTP/1.1 messages with endpoints and with the
// platform's services over connections that it keeps.
//
// State: idle connections by address. Guarantees: one exchange at a time on a
// connection; it never repeats a request; an answer whose framing is broken or
// incomplete ends with an error and never looks whole; a connection is used
// again only after a whole answer with nothing left unread. An error of type
// *jsonhttp.NotSentError means that the peer has not seen the request, every
// other one that it may have.
//
// A peer without power answers nothing: dialing has its own short limit, and
// keep-alive probes and a limit on unacknowledged bytes end connections that
// have gone silent.
package upstream
