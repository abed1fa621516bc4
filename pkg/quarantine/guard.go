package quarantine

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/apex/log"
)

const (
	// probeDelay is the time between the two probes for a crash: a process that ends
	// may close its connections before its listener.
	probeDelay = 100 * time.Millisecond
	// refutationInterval bounds how often refuted features are reported again.
	refutationInterval = 5 * time.Second
	// crashMemory is how long after a confirmed crash further broken requests count
	// against the same process without a probe.
	crashMemory = time.Second
)

// GuardOptions are the dependencies of a Guard. All must be set.
type GuardOptions struct {
	// ProcessEnded reports whether no process listens at the address any more. An
	// address that does not answer at all is no proof.
	ProcessEnded func(ctx context.Context, address string) bool
	// OnCrash receives the evidence of this host, OnRefuted the features that this host
	// has cleared, to report them to the other hosts. They must not block.
	OnCrash   func(Evidence)
	OnRefuted func([]Feature)
	// OnSuspected is called after a feature has become suspected; own says that it did
	// by a crash that this host has found. It must not block.
	OnSuspected func(own bool)
	Log         log.Interface
}

// Guard finds the requests that were running at crashes of endpoints, and refuses the
// harmful ones by Suspects. It is safe for concurrent use.
type Guard struct {
	opts GuardOptions
	wg   sync.WaitGroup

	mu sync.Mutex
	// The fields below are guarded by mu.
	suspects *Suspects
	broken   map[Crash]*brokenRequests
	// refutedAt is when refuted features were last reported again.
	refutedAt time.Time
}

// brokenRequests are the requests whose connections to an endpoint process broke.
type brokenRequests struct {
	requests []brokenRequest
	// crashedAt is when the crash was confirmed, zero if it is not.
	crashedAt time.Time
	// done is closed once it is known whether the process has crashed.
	done chan struct{}
}

type brokenRequest struct {
	features         []Feature
	sentAt, brokenAt time.Time
}

// NewGuard returns a guard without evidence.
func NewGuard(opts GuardOptions) *Guard {
	return &Guard{opts: opts, suspects: NewSuspects(), broken: map[Crash]*brokenRequests{}}
}

// Wait waits for the probes in progress.
func (g *Guard) Wait() { g.wg.Wait() }

// Harmful reports whether a request with the features must not be sent to an endpoint.
func (g *Guard) Harmful(features []Feature) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.suspects.Harmful(features, time.Now())
}

// Broken records that the connection of a request to the endpoint process, which was
// sent at a time, broke. It counts as evidence if the process has ended. The returned
// channel is closed once that is known and recorded.
func (g *Guard) Broken(process Crash, address string, features []Feature, sentAt time.Time) <-chan struct{} {
	request := brokenRequest{features: features, sentAt: sentAt, brokenAt: time.Now()}
	g.mu.Lock()
	g.forgetCrashes(request.brokenAt)
	b := g.broken[process]
	if b == nil {
		b = &brokenRequests{done: make(chan struct{})}
		g.broken[process] = b
		g.wg.Go(func() { g.confirm(process, address, b) })
	}
	crashed := !b.crashedAt.IsZero()
	if !crashed {
		b.requests = append(b.requests, request)
	}
	g.mu.Unlock()
	if crashed {
		g.recordCrash(process, []brokenRequest{request})
	}
	return b.done
}

// confirm finds out whether the process has ended and records the evidence if so.
func (g *Guard) confirm(process Crash, address string, b *brokenRequests) {
	defer close(b.done)
	ctx := context.Background()
	crashed := g.opts.ProcessEnded(ctx, address)
	if !crashed {
		time.Sleep(probeDelay)
		crashed = g.opts.ProcessEnded(ctx, address)
	}
	g.mu.Lock()
	requests := b.requests
	if crashed {
		b.crashedAt = time.Now()
	} else {
		delete(g.broken, process)
	}
	g.mu.Unlock()
	if crashed {
		g.recordCrash(process, requests)
	}
}

// forgetCrashes drops the confirmed crashes that are older than crashMemory. It must be
// called with mu held.
func (g *Guard) forgetCrashes(now time.Time) {
	for process, b := range g.broken {
		if !b.crashedAt.IsZero() && now.Sub(b.crashedAt) > crashMemory {
			delete(g.broken, process)
		}
	}
}

// recordCrash records a crash during the requests and reports it.
func (g *Guard) recordCrash(process Crash, requests []brokenRequest) {
	now := time.Now()
	e := Evidence{Crash: process}
	sentAge := map[Feature]time.Duration{}
	for _, r := range requests {
		e.Age = max(e.Age, now.Sub(r.brokenAt))
		for _, f := range r.features {
			if age, known := sentAge[f]; !known || now.Sub(r.sentAt) < age {
				sentAge[f] = now.Sub(r.sentAt)
			}
		}
	}
	for f, age := range sentAge {
		e.Running = append(e.Running, RunningFeature{Feature: f, SentAge: age})
	}
	if g.record(e) {
		g.opts.OnSuspected(true)
	}
	g.opts.OnCrash(e)
}

// ApplyEvidence counts a crash that another host reports. If requests of this host have
// refuted it already, the other host has missed that and is told again.
func (g *Guard) ApplyEvidence(e Evidence) {
	if g.record(e) {
		g.opts.OnSuspected(false)
	}
	g.mu.Lock()
	now := time.Now()
	var refuted []Feature
	if now.Sub(g.refutedAt) >= refutationInterval {
		if refuted = g.suspects.Refuted(e); len(refuted) > 0 {
			g.refutedAt = now
		}
	}
	g.mu.Unlock()
	if len(refuted) > 0 {
		g.opts.OnRefuted(refuted)
	}
}

// record counts a crash and reports whether a feature has become suspected by it.
func (g *Guard) record(e Evidence) bool {
	g.mu.Lock()
	suspected := g.suspects.Record(e, time.Now())
	g.mu.Unlock()
	for _, f := range suspected {
		g.opts.Log.WithFields(log.Fields{"feature": f.String(), "endpoint": e.Crash.Endpoint}).Warn("requests_suspected")
	}
	return len(suspected) > 0
}

// Completed records that a request with the features has completed.
func (g *Guard) Completed(features []Feature) {
	if refuted := g.ApplyRefuted(features); len(refuted) > 0 {
		g.opts.OnRefuted(refuted)
	}
}

// ApplyRefuted refutes the evidence against features of requests that have completed, at
// this host or another one. It returns those for which there was any.
func (g *Guard) ApplyRefuted(features []Feature) []Feature {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.suspects.RecordSuccess(features)
}

// Suspected returns the evidence against the suspected features.
func (g *Guard) Suspected() []Evidence {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.suspects.Suspected(time.Now())
}

// String returns the feature in hexadecimal.
func (f Feature) String() string { return strconv.FormatUint(uint64(f), 16) }
