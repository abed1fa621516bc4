// Package placement chooses the engines that prefill and decode a request in a
// fleet whose engines each run one of the two phases.
//
// State: for each engine the queued work, the prompt parts expected in its KV
// cache, and the time for which transfers occupy its link. The state is derived
// from this host's sends and how long they took, and from the sends that other
// hosts report (pkg/loadshare). Engines are not queried. Each decision is a
// function of this state, the job and the time.
//
// Load patterns: prompts with long shared parts that arrive faster than one
// engine can prefill them (the part is computed once and then copied over the
// links to other engines); bursts of long prompts (the engine that finishes
// first is chosen, not the one with the longest cached prefix); many hosts that
// decide concurrently (each host counts the sends of the others); a burst of one team
// under overload (its work waits for that of the other teams, see sharing.go).
//
// If reports from other hosts are lost, their work goes unnoticed until this
// host's sends take longer than expected. The state of an engine is reset when
// the engine restarts.
package placement
