// Package slopes measures how the control work of an entry host grows with
// hosts, failure domains, runners, teams, orders and keys. It fits a line to each
// figure and regenerates the tables of docs/CAPACITY.md.
//
// State: none; each measurement creates the components it needs and closes them.
//
// The components are the packages of a host. HostsQUIC runs real peers over
// loopback, so its figures include TLS, QUIC and UDP. The other membership slopes
// run membership.Network with the codec but without a transport. Polls, the start
// of a host and the request path run over TCP on loopback. Other slopes that use
// the log run against logservice.Memory, so their figures exclude the latency of
// the log service. Processor time is that of the process: it includes garbage
// collection and rises with other load on the machine, so short times are the
// shortest of three repetitions. Every result holds the command that repeats it
// and names no machine.
//
// A measurement that fails or is cancelled ends the run with its error.
package slopes
