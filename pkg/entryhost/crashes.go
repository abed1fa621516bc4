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
	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/enginewire"
	"github.com/clementineshed/clementineshed/pkg/gate"
	"github.com/clementineshed/clementineshed/pkg/jsonhttp"
	"github.com/clementineshed/clementineshed/pkg/membership"
	"github.com/clementineshed/clementineshed/pkg/quarantine"
	"github.com/clementineshed/clementineshed/pkg/refusal"
)

const (
	// probeTimeout bounds the probe for a crashed engine. A connection to a
	// crashed process is reset at once.
	probeTimeout = 500 * time.Millisecond
	// maxLoadReport bounds the answer to the probe in bytes.
	maxLoadReport = 64 << 10
	// suspectedRetryAfter is the Retry-After of a suspected request that is
	// already running; the running attempt is expected to have ended by then.
	suspectedRetryAfter = 2 * time.Second
)

// crashGuard implements gate.CrashGuard with the quarantine.
type crashGuard struct {
	service *quarantine.Service
	table   *endpoint.Table
	clock   clockwork.Clock
	tls     func() *tls.Config

	mu sync.Mutex
	// lastCrash is the last known crash by endpoint; guarded by mu.
	lastCrash map[string]knownCrash
}

type knownCrash struct {
	instance string
	at       time.Time
}

func newCrashGuard(service *quarantine.Service, table *endpoint.Table, clock clockwork.Clock, config func() *tls.Config) *crashGuard {
	return &crashGuard{service: service, table: table, clock: clock, tls: config, lastCrash: map[string]knownCrash{}}
}

// onCrashEntry records a crash from a gossiped entry. The entry's key is
// <fingerprint>/<endpoint>/<instance>.
func (c *crashGuard) onCrashEntry(e membership.Entry) {
	_, crash, _ := strings.Cut(e.Key, "/")
	if i := strings.LastIndexByte(crash, '/'); i > 0 {
		c.recordCrash(crash[:i], crash[i+1:], c.clock.Now())
	}
}

// recordCrash records a crash and excludes the instance from routing until its
// endpoint reports again. The first recorded time of an instance is kept.
func (c *crashGuard) recordCrash(id, instance string, at time.Time) {
	c.mu.Lock()
	known := c.lastCrash[id].instance == instance
	if !known {
		c.lastCrash[id] = knownCrash{instance: instance, at: at}
	}
	c.mu.Unlock()
	if !known {
		c.table.Notify(endpoint.Notice{ID: id, Instance: instance, Kind: endpoint.NoticeDraining})
	}
}

// knownBefore reports whether the crash of the instance was already known when
// a request was sent to it. Such a request cannot have caused the crash.
func (c *crashGuard) knownBefore(e endpoint.Endpoint, sent time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	known := c.lastCrash[e.ID]
	return known.instance == e.Instance && !sent.Before(known.at)
}

// Begin implements gate.CrashGuard.
func (c *crashGuard) Begin(request quarantine.Request) (gate.CrashAttempt, error) {
	attempt, err := c.service.Begin(request)
	switch {
	case err == nil:
		return crashAttempt{attempt: attempt, guard: c}, nil
	case errors.Is(err, quarantine.ErrQuarantined):
		return nil, refusal.NotRun(422, refusal.CodeQuarantined, "the request has crashed endpoints and is not run any more")
	default:
		return nil, refusal.NotRun(429, refusal.CodeSuspectedRunning,
			"the request has crashed an endpoint and is running already").WithRetryAfter(suspectedRetryAfter)
	}
}

type crashAttempt struct {
	attempt *quarantine.Attempt
	guard   *crashGuard
}

// Exclusive implements gate.CrashAttempt.
func (a crashAttempt) Exclusive() bool { return a.attempt.Exclusive }

// Completed implements gate.CrashAttempt.
func (a crashAttempt) Completed() { a.attempt.Completed() }

// Done implements gate.CrashAttempt.
func (a crashAttempt) Done() { a.attempt.Done() }

// ConnectionBroken implements gate.CrashAttempt.
func (a crashAttempt) ConnectionBroken(ctx context.Context, e endpoint.Endpoint, sent time.Time) {
	at := a.guard.clock.Now()
	if a.guard.knownBefore(e, sent) || !a.guard.probeCrashed(ctx, e) {
		a.attempt.Done()
		return
	}
	a.guard.recordCrash(e.ID, e.Instance, at)
	a.attempt.Crashed(e.ID, e.Instance)
}

// probeCrashed queries the engine to find out whether the instance that ran the
// request has crashed. A leaving engine may end without a crash, and one that
// times out may merely be unreachable; one that sends without end is running.
func (c *crashGuard) probeCrashed(ctx context.Context, e endpoint.Endpoint) bool {
	status, ok := c.table.Snapshot().Get(e.ID)
	if !ok || status.State == endpoint.StateLeaving {
		return false
	}
	client := jsonhttp.New(e.Address, jsonhttp.Options{Timeout: probeTimeout, TLS: c.tls, FreshConnections: true, MaxBody: maxLoadReport})
	var load endpoint.Load
	err := client.Do(ctx, http.MethodGet, enginewire.PathLoad, nil, &load)
	if err == nil {
		return load.Instance != e.Instance
	}
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return false
	}
	var timeout interface{ Timeout() bool }
	return !errors.As(err, &timeout) || !timeout.Timeout()
}
