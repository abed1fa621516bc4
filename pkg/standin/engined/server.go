package engined

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/apex/log"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/enginewire"
	"github.com/clementineshed/clementineshed/pkg/standin/httpd"
)

// Faults are the simulated faults of an engine. The zero value has none.
type Faults struct {
	httpd.Faults
	// Refuse refuses generate requests with enginewire.CodeOverloaded.
	Refuse bool `json:"refuse,omitempty"`
	// SlowOrdersMillis is the delay of each order before it takes effect.
	SlowOrdersMillis int64 `json:"slow_orders_ms,omitempty"`
}

// Server is a simulated engine. It is safe for concurrent use.
type Server struct {
	opts      Options
	http      *httpd.Server
	faults    *httpd.FaultInjector
	journal   httpd.Journal[Entry]
	jobQueued chan struct{}
	ctx       context.Context
	stop      context.CancelFunc
	workers   sync.WaitGroup

	mu             sync.Mutex
	closed         bool
	refuseGenerate bool
	orderDelay     time.Duration
	generation     int
	cache          *cache
	exports        *exports
	waiting        []*job
	running        []*job
	activeTokens   int
	role           endpoint.Role
	model          string
	version        string
	adapters       map[string]bool
	draining       bool
	highestFence   int64
	orders         map[string]bool
	change         *change
	downUntil      time.Time
	loads          []endpoint.Load
	loadTimes      []time.Time
}

// change is a role change or model load in progress.
type change struct {
	order enginewire.Order
	until time.Time
}

// New returns an engine that is not listening yet.
func New(opts Options) *Server {
	opts = opts.withDefaults()
	s := &Server{
		opts:       opts,
		faults:     httpd.NewFaultInjector(opts.Clock),
		jobQueued:  make(chan struct{}, 1),
		generation: 1,
		role:       opts.Role,
		model:      opts.Model,
		version:    opts.Version,
		adapters:   map[string]bool{},
		orders:     map[string]bool{},
		exports:    newExports(),
	}
	for _, adapter := range opts.Adapters {
		s.adapters[adapter] = true
	}
	s.cache = newCache(opts.KVTokens, opts.DropCacheEventEvery, opts.Clock.Now)
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.http = httpd.New("engine", opts.Log, s.handle)
	s.recordLoad()
	return s
}

// Listen binds address and serves in the background until Close.
func (s *Server) Listen(address string) error {
	if err := s.http.Listen(address); err != nil {
		return err
	}
	s.workers.Add(1)
	go s.runBatchLoop()
	return nil
}

// Address returns the bound address.
func (s *Server) Address() string { return s.http.Address() }

// Instance returns the current instance; a crash changes it.
func (s *Server) Instance() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instance()
}

// instance must be called with mu held.
func (s *Server) instance() string { return fmt.Sprintf("%s-%d", s.opts.ID, s.generation) }

// Endpoint returns the engine as the platform lists it.
func (s *Server) Endpoint(domain, kind string) endpoint.Endpoint {
	return endpoint.Endpoint{
		ID:              s.opts.ID,
		Instance:        s.Instance(),
		Address:         s.Address(),
		Domain:          domain,
		Kind:            kind,
		State:           endpoint.StateLive,
		SoftwareVersion: s.opts.SoftwareVersion,
		ChecksFencing:   s.opts.ChecksFencing,
	}
}

// Close refuses new requests, waits up to httpd.ShutdownTimeout for running
// streams, aborts the rest and stops the engine.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	err := s.http.Close()
	s.stop()
	s.mu.Lock()
	s.endJobs(everyJob, abortJob)
	s.mu.Unlock()
	s.workers.Wait()
	return err
}

func everyJob(*job) bool { return true }
func abortJob(j *job)    { j.aborted = true }

// SetFaults replaces the active faults. httpd.OutageSilent also mutes the open
// connections permanently.
func (s *Server) SetFaults(f Faults) {
	s.faults.Set(f.Faults)
	s.mu.Lock()
	s.refuseGenerate = f.Refuse
	s.orderDelay = time.Duration(f.SlowOrdersMillis) * time.Millisecond
	s.mu.Unlock()
	if f.Outage == httpd.OutageSilent {
		s.http.MuteOpen()
	}
}

// Faults returns the active faults, with the remaining counts.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Faults{Faults: s.faults.Faults(), Refuse: s.refuseGenerate, SlowOrdersMillis: s.orderDelay.Milliseconds()}
}

// MuteOpen mutes the open connections permanently; new ones work.
func (s *Server) MuteOpen() { s.http.MuteOpen() }

// Crash ends the instance: it resets every connection, loses requests, cache,
// orders and a change in progress, and leaves the engine down for
// Options.DownTime.
func (s *Server) Crash() {
	s.mu.Lock()
	s.generation++
	s.downUntil = s.opts.Clock.Now().Add(s.opts.DownTime)
	lost := s.endJobs(everyJob, abortJob)
	s.cache = newCache(s.opts.KVTokens, s.opts.DropCacheEventEvery, s.opts.Clock.Now)
	s.exports = newExports()
	s.change = nil
	s.draining = false
	s.highestFence = 0
	s.orders = map[string]bool{}
	s.loads = nil
	s.loadTimes = nil
	s.recordLoad()
	instance := s.instance()
	s.mu.Unlock()
	s.http.ResetAll()
	s.opts.Log.WithFields(log.Fields{"engine": s.opts.ID, "instance": instance, "lost": lost}).Warn("engine crashed")
	s.opts.OnInstance(s.opts.ID, instance)
}

// Drain makes the engine refuse new requests without an order, as an engine does
// that announces its own shutdown.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.recordLoad()
}

// Load returns the current load, without the delay of load reports.
func (s *Server) Load() endpoint.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.completeChange()
	return s.currentLoad()
}

// currentLoad must be called with mu held.
func (s *Server) currentLoad() endpoint.Load {
	load := endpoint.Load{
		Instance:         s.instance(),
		Role:             s.role,
		Model:            s.model,
		Version:          s.version,
		Draining:         s.draining || s.change != nil,
		Running:          len(s.running),
		Waiting:          len(s.waiting),
		KVTokensUsed:     s.activeTokens + s.cache.tokens(),
		KVTokensTotal:    s.opts.KVTokens,
		PrefillRate:      s.opts.PrefillRate,
		DecodeRate:       s.opts.DecodeRate,
		ReportedAtMillis: s.opts.Clock.Now().UnixMilli(),
	}
	for _, j := range s.waiting {
		load.PrefillTokensWaiting += j.promptTokens
	}
	for _, j := range s.running {
		load.PrefillTokensWaiting += int(j.prefillLeft)
		if j.prefilled {
			load.DecodeStreams++
		}
	}
	return load
}

// loadSamples is the number of load samples per LoadLag.
const loadSamples = 8

// recordLoad samples the load for delayed reports, at most every
// LoadLag/loadSamples unless the state changed. It must be called with mu held.
func (s *Server) recordLoad() {
	now := s.opts.Clock.Now()
	if n := len(s.loadTimes); n > 0 && !s.stateChanged() && now.Sub(s.loadTimes[n-1]) < s.opts.LoadLag/loadSamples {
		return
	}
	s.loads = append(s.loads, s.currentLoad())
	s.loadTimes = append(s.loadTimes, now)
	s.dropOldLoads(now.Add(-s.opts.LoadLag))
}

// stateChanged reports whether role, model or draining differ from the last
// sample, or the engine is idle.
func (s *Server) stateChanged() bool {
	last := s.loads[len(s.loads)-1]
	empty := len(s.running)+len(s.waiting) == 0
	return empty || last.Role != s.role || last.Model != s.model || last.Draining != (s.draining || s.change != nil)
}

// dropOldLoads drops the samples older than the latest one at or before horizon.
func (s *Server) dropOldLoads(horizon time.Time) {
	first := 0
	for first+1 < len(s.loadTimes) && !s.loadTimes[first+1].After(horizon) {
		first++
	}
	s.loads = s.loads[first:]
	s.loadTimes = s.loadTimes[first:]
}

// delayedLoad returns the load as it was LoadLag ago.
func (s *Server) delayedLoad() endpoint.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.completeChange()
	if s.opts.LoadLag == 0 {
		return s.currentLoad()
	}
	horizon := s.opts.Clock.Now().Add(-s.opts.LoadLag)
	s.dropOldLoads(horizon)
	load := s.loads[0]
	load.ReportedAtMillis = max(load.ReportedAtMillis, horizon.UnixMilli())
	return load
}

// completeChange completes a change that is due. It must be called with mu held.
func (s *Server) completeChange() {
	if s.change == nil || s.opts.Clock.Now().Before(s.change.until) {
		return
	}
	order := s.change.order
	s.change = nil
	switch order.Kind {
	case enginewire.OrderRole:
		s.role = order.Role
	case enginewire.OrderLoad:
		s.loadModel(order)
	}
	s.recordLoad()
}

// loadModel puts a model or an adapter into service. A different model or version
// empties the cache and drops the exports and adapters.
func (s *Server) loadModel(order enginewire.Order) {
	if order.Model != s.model || order.Version != s.version {
		s.cache.evictTo(0)
		s.exports.Purge()
		s.adapters = map[string]bool{}
	}
	s.model = order.Model
	s.version = order.Version
	if order.Adapter != "" {
		s.adapters[order.Adapter] = true
	}
}
