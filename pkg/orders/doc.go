// Package orders sends orders to engines and to the platform's endpoint
// interface under a lease, and reconfigures engines (role, model) step by step.
//
// State: for each receiver, the unanswered order that this process sent and the
// receiver's instance at the start of the lease; for each engine, the progress of
// a planned change. All of it is in memory. A successor starts from the engine's
// report instead.
//
// Guarantees:
//   - At most one order from this process to a receiver is in flight.
//   - The lease is checked after the connection is open, immediately before the
//     order is written.
//   - A receiver that ignores fencing tokens gets an order only if no earlier
//     lease holder can still reach it.
//   - An unanswered order keeps its lease.Use open, which prevents the release of
//     the lease from being written. It blocks the receiver until the receiver
//     reports that the connection has ended, or is a new instance.
//   - An engine changes its role or model only after a drain under this lease,
//     and after a report later than the drain says that it is idle.
//
// Faults: a receiver that does not answer keeps serving in its role, and Send
// fails with ErrUnanswered until the order is settled. When an engine restarts,
// its change starts again with the new instance. When the lease is lost, Send
// fails with the lease's error.
package orders
