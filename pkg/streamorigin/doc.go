// Package streamorigin tells which software version began a stream that a caller takes up.
//
// A caller that takes up a stream names only its own attempt, and a stream may go on only at
// the software version that began it. A host that did not begin the stream therefore asks a
// stream of the log service, to which each host writes two things: the software versions
// that are in service, and, while a service has more than one, which of them began each
// attempt.
//
// State: the versions and attempts folded from the log, and the attempts that this process
// has begun. Both are forgotten after Retention.
//
// Guarantees: the first event of a stream is passed on only after its version is known to be
// in the log, so that a read that begins later finds the version. Origin decides only after
// such a read. An attempt that is not in the log has an origin only if the log and the
// announcements together name a single version; otherwise it has none, and the stream must
// not go on. What a host lacks, because it stood still, is cut off or has just started, can
// thus make it refuse a stream but not join two versions.
//
// When the log cannot be read, only attempts that this process has begun have an origin.
// When it cannot be written to, streams begin without their version in the log after
// establishTimeout: a host that reads the log then, and whose announcements lack that version
// as well, can take another one for the only one. When a process is killed, the attempts
// since its last append are lost, and the streams end.
package streamorigin
