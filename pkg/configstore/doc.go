// Package configstore folds the config stream into the declarations and keys in
// force. It decides which changes are accepted, serves the result as immutable
// views to the request path, and decides whether a key may be used.
//
// State: the fold at one offset, the direct withdrawals (keys that an operator
// or a peer withdrew without the log), and the time of the last confirmation of
// the view. The stream is the only durable copy.
//
// Guarantees:
//   - A change is accepted only if, after its base version, no object that it
//     touches changed and none that it refers to was removed, and if the result
//     is valid. Every host reaches the same verdict.
//   - The offset of a process never decreases.
//   - A reader sees either all of a change or none of it.
//   - A Store becomes ready only after it has folded the stream through its own
//     start record. While the log is down, it becomes ready with the state of
//     the peer with the highest offset instead.
//   - A withdrawn key never becomes usable again.
//
// Failures:
//   - While the log is down, no change is accepted. Keys stay usable as long as
//     peers confirm the view (see CheckKey).
//   - If the log was truncated past the fold, the next complete snapshot or the
//     state of a peer replaces the fold. Without either, the store stays unready
//     or unconfirmed, and its keys stop being usable.
//   - A read from a lagging replica delays the confirmation and never lowers the
//     offset.
//   - A record that does not decode, or a snapshot chunk that does not match its
//     digest, has no effect.
//
// The verdict depends on the validation rules of package declaration. A release
// that changes these rules needs a rolling upgrade during which no change is
// proposed; otherwise hosts of the two releases may reach different verdicts.
package configstore
