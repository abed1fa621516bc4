package logd

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/clementineshed/clementineshed/pkg/logservice"
	"github.com/clementineshed/clementineshed/pkg/standin/httpd"
)

// Default values of Options.
const (
	DefaultRetention        = 10 * time.Minute
	DefaultAppendsPerSecond = 500
)

// appendBurstSeconds is the burst of the append limit, in seconds of its rate.
const appendBurstSeconds = 0.25

// Options configure a Server.
type Options struct {
	// Retention is how long a record is kept; DefaultRetention if zero.
	Retention time.Duration
	// AppendsPerSecond limits the append requests of all callers together,
	// regardless of their number of records; DefaultAppendsPerSecond if zero.
	AppendsPerSecond int
	// Clock is the time source; the real clock if nil.
	Clock clockwork.Clock
	// Log receives log lines; they are dropped if it is nil.
	Log log.Interface
}

// Faults are the faults of the log service. The zero value is none.
type Faults struct {
	httpd.Faults
	// DelayAppends is the number of following appends that take effect only
	// after DelayMillis. Their connection is closed at once without an answer.
	// -1 delays all appends.
	DelayAppends int   `json:"delay_appends,omitempty"`
	DelayMillis  int64 `json:"delay_ms,omitempty"`
	// RestoreMillis, if set, replaces all streams at once by their copy of this age:
	// younger records are lost, their offsets are given out again, and the era rises.
	RestoreMillis int64 `json:"restore_ms,omitempty"`
	// ReadLagMillis hides records younger than this from reads.
	ReadLagMillis int64 `json:"read_lag_ms,omitempty"`
}

// Server is the log service stand-in. It is safe for concurrent use.
type Server struct {
	opts    Options
	http    *httpd.Server
	store   *logservice.Memory
	limiter *rate.Limiter
	faults  *httpd.FaultInjector
	workers sync.WaitGroup
	stop    context.CancelFunc
	ctx     context.Context

	mu        sync.Mutex
	logFaults Faults
}

// New returns a log service that is not listening yet.
func New(opts Options) *Server {
	if opts.Retention == 0 {
		opts.Retention = DefaultRetention
	}
	if opts.AppendsPerSecond == 0 {
		opts.AppendsPerSecond = DefaultAppendsPerSecond
	}
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	burst := max(1, int(float64(opts.AppendsPerSecond)*appendBurstSeconds))
	s := &Server{
		opts:    opts,
		store:   logservice.NewMemory(opts.Clock),
		limiter: rate.NewLimiter(rate.Limit(opts.AppendsPerSecond), burst),
		faults:  httpd.NewFaultInjector(opts.Clock),
	}
	s.store.SetEra(1)
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.http = httpd.New("log", opts.Log, s.handle)
	return s
}

// Listen binds address and serves until Close.
func (s *Server) Listen(address string) error {
	if err := s.http.Listen(address); err != nil {
		return err
	}
	s.workers.Add(1)
	go s.truncateExpired()
	return nil
}

// Address returns the bound address.
func (s *Server) Address() string { return s.http.Address() }

// Store returns the live record store, for tests that read or truncate it
// directly.
func (s *Server) Store() *logservice.Memory { return s.store }

// Close ends long polls and waits for running requests. Delayed appends that are
// not due are dropped.
func (s *Server) Close() error {
	s.stop()
	err := s.http.Close()
	s.workers.Wait()
	return err
}

// SetFaults replaces the current faults.
func (s *Server) SetFaults(f Faults) {
	if f.RestoreMillis > 0 {
		s.store.Restore(time.Duration(f.RestoreMillis) * time.Millisecond)
		f.RestoreMillis = 0
	}
	s.faults.Set(f.Faults)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.logFaults = f
}

// Faults returns the current faults with their remaining counts.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.logFaults
	f.Faults = s.faults.Faults()
	return f
}

// truncateExpired drops records older than the retention. The interval of a tenth
// of the retention bounds how much longer a record is kept.
func (s *Server) truncateExpired() {
	defer s.workers.Done()
	ticker := s.opts.Clock.NewTicker(max(s.opts.Retention/10, time.Millisecond))
	defer ticker.Stop()
	for {
		select {
		case <-ticker.Chan():
			s.store.TruncateOlderThan(s.opts.Clock.Now().Add(-s.opts.Retention))
		case <-s.ctx.Done():
			return
		}
	}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if path == "/control/faults" {
		s.handleFaults(ctx)
		return
	}
	if !s.faults.ApplyBefore(ctx, s.http.Closing()) {
		return
	}
	stream, ok := parseStreamPath(path)
	switch {
	case !ok:
		httpd.WriteError(ctx, fasthttp.StatusNotFound, httpd.CodeNotFound, "no such path")
	case ctx.IsPost():
		s.handleAppend(ctx, stream)
	case ctx.IsGet():
		s.handleRead(ctx, stream)
	default:
		httpd.WriteError(ctx, fasthttp.StatusMethodNotAllowed, httpd.CodeBadRequest, "method not allowed")
	}
}

func (s *Server) handleFaults(ctx *fasthttp.RequestCtx) {
	httpd.MarkControl(ctx)
	if ctx.IsPost() {
		var f Faults
		if !httpd.Decode(ctx, &f) {
			return
		}
		s.SetFaults(f)
	}
	httpd.WriteJSON(ctx, fasthttp.StatusOK, s.Faults())
}

// parseStreamPath returns the stream of /v1/streams/{stream}/records.
func parseStreamPath(path string) (string, bool) {
	rest, ok := strings.CutPrefix(path, "/v1/streams/")
	if !ok {
		return "", false
	}
	stream, ok := strings.CutSuffix(rest, "/records")
	return stream, ok && stream != "" && !strings.Contains(stream, "/")
}
