package entryhost

import (
	"context"
	"crypto/tls"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/enginewire"
	"github.com/clementineshed/clementineshed/pkg/gate"
	"github.com/clementineshed/clementineshed/pkg/jsonhttp"
	"github.com/clementineshed/clementineshed/pkg/membership"
	"github.com/clementineshed/clementineshed/pkg/quarantine"
	"github.com/clementineshed/clementineshed/pkg/refusal"
)

const (
	// probeTimeout bounds the question whether an engine has crashed. A crashed
	// process answers at once with a reset.
	probeTimeout = 500 * time.Millisecond
	// suspectedRetry is when a suspected request that runs already is expected to
	// have ended.
	suspectedRetry = 2 * time.Second
)

// crashGuard adapts the quarantine to the gate.
type crashGuard struct {
	service *quarantine.Service
	table   *endpoint.Table
	clock   clockwork.Clock
	tls     func() *tls.Config

	mu sync.Mutex
	// known holds the last known crash by endpoint; guarded by mu.
	known map[string]knownCrash
}

// knownCrash is the crash of one instance.
type knownCrash struct {
	instance string
	at       time.Time
}

func newCrashGuard(service *quarantine.Service, table *endpoint.Table, clock clockwork.Clock, config func() *tls.Config) *crashGuard {
	return &crashGuard{service: service, table: table, clock: clock, tls: config, known: map[string]knownCrash{}}
}

// heard notes a crash that another host has seen; the key of the entry is
// <fingerprint>/<endpoint>/<instance>.
func (c *crashGuard) heard(e membership.Entry) {
	_, crash, _ := strings.Cut(e.Key, "/")
	if i := strings.LastIndexByte(crash, '/'); i > 0 {
		c.note(crash[:i], crash[i+1:], c.clock.Now())
	}
}

// note remembers a crash and takes the instance out of the choice of endpoints
// until the endpoint reports again. The first time that is known of an instance
// stays.
func (c *crashGuard) note(id, instance string, at time.Time) {
	c.mu.Lock()
	known := c.known[id].instance == instance
	if !known {
		c.known[id] = knownCrash{instance: instance, at: at}
	}
	c.mu.Unlock()
	if !known {
		c.table.Notify(endpoint.Notice{ID: id, Instance: instance, Kind: endpoint.NoticeDraining})
	}
}

// knownBefore reports whether the crash of the instance was known when a
// request was sent to it. Such a request cannot have caused it.
func (c *crashGuard) knownBefore(e endpoint.Endpoint, sent time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.known[e.ID]
	return known.instance == e.Instance && !sent.Before(known.at)
}

// Begin implements gate.CrashGuard.
func (c *crashGuard) Begin(f quarantine.Fingerprint) (gate.CrashAttempt, error) {
	attempt, err := c.service.Begin(f)
	switch {
	case err == nil:
		return crashAttempt{attempt: attempt, guard: c}, nil
	case errors.Is(err, quarantine.ErrQuarantined):
		return nil, refusal.NotRun(422, refusal.CodeQuarantined, "the request has crashed endpoints and is not run any more")
	default:
		return nil, refusal.NotRun(429, refusal.CodeSuspectedRunning,
			"the request has crashed an endpoint and is running already").WithRetryAfter(suspectedRetry)
	}
}

type crashAttempt struct {
	attempt *quarantine.Attempt
	guard   *crashGuard
}

// Alone implements gate.CrashAttempt.
func (a crashAttempt) Alone() bool { return a.attempt.Alone }

// Done implements gate.CrashAttempt.
func (a crashAttempt) Done() { a.attempt.Done() }

// Broken implements gate.CrashAttempt.
func (a crashAttempt) Broken(ctx context.Context, e endpoint.Endpoint, sent time.Time) {
	at := a.guard.clock.Now()
	if a.guard.knownBefore(e, sent) || !a.guard.crashed(ctx, e) {
		a.attempt.Done()
		return
	}
	a.guard.note(e.ID, e.Instance, at)
	a.attempt.Crashed(e.ID, e.Instance)
}

// crashed asks the engine whether it is still the instance that ran the
// request. An engine under notice ends without having crashed, and one that
// does not answer at all may only be cut off.
func (c *crashGuard) crashed(ctx context.Context, e endpoint.Endpoint) bool {
	status, ok := c.table.Snapshot().Get(e.ID)
	if !ok || status.State == endpoint.StateLeaving {
		return false
	}
	client := jsonhttp.New(e.Address, jsonhttp.Options{Timeout: probeTimeout, TLS: c.tls, FreshConnections: true})
	var load endpoint.Load
	err := client.Do(ctx, http.MethodGet, enginewire.PathLoad, nil, &load)
	if err == nil {
		return load.Instance != e.Instance
	}
	var timeout interface{ Timeout() bool }
	return !errors.As(err, &timeout) || !timeout.Timeout()
}
