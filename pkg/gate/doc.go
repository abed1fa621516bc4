// Package gate is the HTTP entry for callers: it authenticates, refuses,
// forwards and streams requests, and cancels those of disconnected callers.
//
// It owns the requests in flight. Everything else it reaches through small
// interfaces: the configuration in force (Config), the choice of an endpoint
// (Dispatcher), at-most-once execution (OnceExecutor), recognition of requests
// that crash endpoints (CrashGuard) and the recorder of usage and service
// levels (Recorder).
//
// Guarantees: a caller gets the complete answer to its own request or an
// answer that is visibly incomplete. A refusal with ran "no" means that the
// request has not run and will not. A caller's key is hashed on arrival and
// never forwarded. When an endpoint fails, a model stream resumes on another
// one after the last delivered token. When a key is no longer usable, its
// requests are cancelled within KeyCheckInterval.
package gate
