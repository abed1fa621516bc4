// Package engined simulates a model engine: continuous batching in real time
// with a prefill and a decode rate, a chunked prefix cache, delayed load reports
// and cache events, orders, and deterministic output. It implements
// pkg/enginewire and docs/platform.md.
//
// State: waiting and running requests, the prefix cache with its events,
// exportable prefills, role, model and adapters, the orders seen and the highest
// fencing token, the journal and the active faults. Role, model, adapters,
// journal and faults survive a crash; the rest is lost.
//
// Guarantees: token i of an answer depends only on the prompt and i, so that any
// engine can resume an answer and any client can check it; a refused request has
// not run; every generate request, cancel request and order is journaled with its
// headers, including refused ones.
//
// Faults: outage, silent connections, slow responses, refusal, a lost answer to
// an order, and a crash through the control endpoint or a marker in a prompt. If
// a client disconnects, its request is cancelled at the next write, at most a
// second later.
package engined
