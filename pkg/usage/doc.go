// Package usage counts delivered work per team and window, fixes the figures of
// each window once, and sends the usage reports.
//
// State: this process's cumulative counts per window that are not yet in the
// log, and the state folded from the usage stream (latest counts per incarnation
// and window, closed windows with their figures, reported windows).
//
// Guarantees: the first accepted close record of a window carries its figures.
// Every reporter sends only these figures, with the same report ID. A report is
// sent only after the close record was folded, under the usage-reports lease,
// and with clearance from package orders if the usage interface ignores fencing
// tokens. Counts that arrive after the close of their window go to the next
// window that is closed. A count is folded once however often it is appended.
//
// When the log is down, counts are kept and handed to peers, which append them,
// and windows are closed late. When the usage interface is down, reports wait
// with their figures fixed. When the process is killed, the counts since its
// last flush (DefaultFlushInterval) are lost. When retention has removed the
// start of the stream, a reporter derives which windows are closed from two
// consecutive close records. If it sees no close record for Options.QuietTime,
// it closes only windows that began within its view; late counts of older
// windows are then not reported.
//
// When the log has come back from an older copy, close records of earlier eras
// no longer count, the figures that this process had accepted before stay, and no
// window that may have been closed earlier is closed (eras.go). Its counts are not
// reported unless a process that is still running had accepted its close record.
package usage
