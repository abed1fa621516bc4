// Package placement decides where the prompt of a request is read and where its
// tokens are made, in a fleet whose engines run one of the two phases.
//
// State: for each engine the work that is known to wait there, the prompt parts
// that it is expected to hold in its KV cache, and the time for which its link
// is taken by transfers. It follows from the sends of this host, from those that
// the other hosts report (pkg/loadshare) and from how long own sends took; no
// engine is asked. The decisions themselves are functions of that state, the job
// and the time.
//
// The load patterns that it answers: prompts with long shared parts that arrive
// faster than one engine reads them (the part is read once and then copied to
// other engines over their links), bursts of long prompts (the engine that will
// be done first, not the one that holds the most), and many hosts that decide at
// once (each counts the sends of the others).
//
// When reports of other hosts are lost, their work is missed until own sends
// take longer than expected. When an engine restarts, its state starts anew.
package placement
