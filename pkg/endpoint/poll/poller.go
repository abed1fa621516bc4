package poll

import (
	"cmp"
	"context"
	"crypto/tls"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/enginewire"
	"github.com/clementineshed/clementineshed/pkg/jsonhttp"
	"github.com/clementineshed/clementineshed/pkg/logging"
	"github.com/clementineshed/clementineshed/pkg/steperr"
)

// Defaults of Options.
const (
	DefaultListInterval = time.Second
	// DefaultEngineInterval is the interval in the routing policy's benchmarks, so
	// their results hold for it.
	DefaultEngineInterval = 500 * time.Millisecond
	DefaultTimeout        = time.Second
)

// loadsPerCacheEventsRead is the number of load reports for each read of cache
// events. Events are less urgent, since the prefix index counts this host's own
// requests at once. Read with each load report, they were half of the polling
// traffic.
const loadsPerCacheEventsRead = 4

// maxEngineAnswer bounds what one read of an engine may return, in bytes. A faulty engine
// may send without end.
const maxEngineAnswer = 8 << 20

// Lister reads the platform's endpoint list. *endpointapi.EndpointInterface
// implements it.
type Lister interface {
	List(ctx context.Context) ([]endpoint.Endpoint, error)
}

// Options configure a Poller. Table and List are required.
type Options struct {
	Table *endpoint.Table
	List  Lister
	// ListInterval and EngineInterval are the pauses between reads.
	ListInterval   time.Duration
	EngineInterval time.Duration
	// Timeout limits one read.
	Timeout time.Duration
	// OnCacheEvents receives the cache events of an engine. Calls for one engine
	// are in order; calls for several engines are concurrent. A new Instance in
	// the answer means that the engine's cache is empty. If nil, cache events are
	// not read.
	OnCacheEvents func(id string, answer enginewire.CacheEventsAnswer)
	// TLS returns the configuration of one connection to an engine; nil means no
	// TLS.
	TLS func() *tls.Config
	// Clock is the real clock if nil.
	Clock clockwork.Clock
	// Log receives log lines; they are dropped if it is nil.
	Log log.Interface
}

// Poller polls the endpoint list and the engines until Close.
type Poller struct {
	opts    Options
	ctx     context.Context
	stop    context.CancelFunc
	workers sync.WaitGroup
	// cancelEngine stops the engine loops. Only the list loop uses it.
	cancelEngine map[engineKey]context.CancelFunc
}

type engineKey struct{ id, address string }

// Start returns a poller that runs until Close. Zero intervals and a zero Timeout
// mean the defaults.
func Start(opts Options) *Poller {
	opts.ListInterval = cmp.Or(opts.ListInterval, DefaultListInterval)
	opts.EngineInterval = cmp.Or(opts.EngineInterval, DefaultEngineInterval)
	opts.Timeout = cmp.Or(opts.Timeout, DefaultTimeout)
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	if opts.Log == nil {
		opts.Log = logging.Discard()
	}
	p := &Poller{opts: opts, cancelEngine: map[engineKey]context.CancelFunc{}}
	p.ctx, p.stop = context.WithCancel(context.Background())
	p.workers.Add(1)
	go p.listLoop()
	return p
}

// Close stops polling and waits until all goroutines have ended, which takes at
// most Timeout.
func (p *Poller) Close() {
	p.stop()
	p.workers.Wait()
}

// pause waits for d. It returns false if ctx is done before.
func (p *Poller) pause(ctx context.Context, d time.Duration) bool {
	select {
	case <-p.opts.Clock.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

func (p *Poller) listLoop() {
	defer p.workers.Done()
	for {
		p.readList()
		if !p.pause(p.ctx, p.opts.ListInterval) {
			return
		}
	}
}

func (p *Poller) readList() {
	ctx, cancel := context.WithTimeout(p.ctx, p.opts.Timeout)
	defer cancel()
	list, err := p.opts.List.List(ctx)
	if err != nil {
		p.logFailure(err, "reading the endpoint list failed; the table keeps the last list")
		return
	}
	p.opts.Table.SetList(list)
	p.syncEngineLoops(list)
}

// logFailure logs a failed read, unless the poller is stopping.
func (p *Poller) logFailure(err error, message string) {
	if p.ctx.Err() != nil {
		return
	}
	step, peer := steperr.StepAndPeer(err)
	p.opts.Log.WithFields(log.Fields{"step": step, "peer": peer}).WithError(err).Warn(message)
}

func (p *Poller) syncEngineLoops(list []endpoint.Endpoint) {
	listed := map[engineKey]bool{}
	for _, e := range list {
		if !e.IsEngine() || e.Address == "" {
			continue
		}
		key := engineKey{e.ID, e.Address}
		listed[key] = true
		if p.cancelEngine[key] != nil {
			continue
		}
		ctx, cancel := context.WithCancel(p.ctx)
		p.cancelEngine[key] = cancel
		p.workers.Add(1)
		go p.engineLoop(ctx, key)
	}
	for key, cancel := range p.cancelEngine {
		if !listed[key] {
			cancel()
			delete(p.cancelEngine, key)
		}
	}
}

// engine is the state of one engine loop. instance and nextEvent are the position
// in the cache events; failing says that the last read failed.
type engine struct {
	id        string
	http      *jsonhttp.Client
	instance  string
	nextEvent int64
	failing   bool
}

func (p *Poller) engineLoop(ctx context.Context, key engineKey) {
	defer p.workers.Done()
	e := &engine{id: key.id, http: jsonhttp.New(key.address, jsonhttp.Options{Timeout: p.opts.Timeout, TLS: p.opts.TLS, MaxBody: maxEngineAnswer})}
	defer e.http.CloseIdle()
	for n := 0; ; n++ {
		err := p.readLoad(ctx, e)
		if err == nil && p.opts.OnCacheEvents != nil && n%loadsPerCacheEventsRead == 0 {
			err = p.readCacheEvents(ctx, e)
		}
		p.logTransition(e, err)
		if !p.pause(ctx, p.opts.EngineInterval) {
			return
		}
	}
}

// logTransition logs the first of consecutive failures, and the first success
// after them.
func (p *Poller) logTransition(e *engine, err error) {
	if err != nil && !e.failing {
		p.logFailure(err, "reading the engine failed; the table keeps its last load report")
	}
	if err == nil && e.failing {
		p.opts.Log.WithField("endpoint", e.id).Info("engine answers again")
	}
	e.failing = err != nil
}

func (p *Poller) readLoad(ctx context.Context, e *engine) error {
	var load endpoint.Load
	requestedAt := p.opts.Clock.Now()
	if err := e.http.Do(ctx, http.MethodGet, enginewire.PathLoad, nil, &load); err != nil {
		return err
	}
	p.opts.Table.ReportLoad(e.id, load, requestedAt)
	return nil
}

// readCacheEvents passes new events to OnCacheEvents. A new instance numbers its
// events from zero, so they are read again from there.
func (p *Poller) readCacheEvents(ctx context.Context, e *engine) error {
	answer, err := e.cacheEvents(ctx)
	if err == nil && answer.Instance != e.instance && e.nextEvent != 0 {
		e.nextEvent = 0
		answer, err = e.cacheEvents(ctx)
	}
	if err != nil {
		return err
	}
	if answer.Instance != e.instance || len(answer.Events) > 0 {
		p.opts.OnCacheEvents(e.id, answer)
	}
	e.instance = answer.Instance
	e.nextEvent = answer.Next
	return nil
}

func (e *engine) cacheEvents(ctx context.Context) (enginewire.CacheEventsAnswer, error) {
	var answer enginewire.CacheEventsAnswer
	path := fmt.Sprintf("%s?from=%d", enginewire.PathCacheEvents, e.nextEvent)
	err := e.http.Do(ctx, http.MethodGet, path, nil, &answer)
	return answer, err
}
