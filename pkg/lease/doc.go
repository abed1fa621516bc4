// Package lease decides which process may carry out one duty in one failure
// domain.
//
// State: the folded lease stream and this process's own leases with their
// deadlines. Per key, the folded state has the current holder, its fencing
// token, its last accepted record and the uncleared predecessors. A predecessor
// is cleared by proof that none of its orders can still arrive.
//
// Guarantees:
//   - Check succeeds in at most one process per key at a time.
//   - A lease starts before the append of its record. It expires when its
//     duration has passed on the monotonic or on the wall clock, whichever is
//     first. It is extended only when the record has been folded as accepted.
//   - A challenger claims only after the lease duration plus the margin has
//     passed since it read the holder's last record.
//   - The era and the offset of the accepted claim make the fencing token, which is
//     unique and rises with each term, across eras too.
//   - All leases end when the log comes back from an older copy (eras.go).
//   - Uncleared lists the earlier holders that may still have an order in
//     transit.
//   - With Options.OrderLifetime, Check fails until the orders of earlier terms can
//     no longer arrive, and two hosts do not take turns within a lease duration.
//   - A release is written only when no Use of this process is open.
//
// A view that starts after truncated records does not know the state of a key.
// It learns the state from two consecutive records of a live holder. Or it
// claims the lease when the key has had no record for the lease duration plus
// the margin. Such a claim cannot know its predecessors and lists UnknownHolder.
//
// Failures:
//   - While the log is down, leases expire and none begins.
//   - An append whose answer was lost counts once its record is folded.
//   - While the host list is down, a host that is missing from it proves nothing.
//   - In a paused process, Check fails once the lease has expired. An order that
//     had already passed Check is handled by clearance and fencing.
//   - The clock rates of two hosts may differ by Margin per Duration.
package lease
