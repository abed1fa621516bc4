package orderd

import (
	"crypto/sha256"
	"encoding/hex"
	"hash/fnv"
	"strings"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/standin/httpd"
)

// DefaultPrefix is the default of Options.Prefix.
const DefaultPrefix = "/order-desk/"

// HeaderIdempotencyKey names the header that identifies a request which must not
// be executed twice.
const HeaderIdempotencyKey = "Idempotency-Key"

// maxStock is the exclusive upper bound of Stock.Boxes.
const maxStock = 1000

// Options configure a Server.
type Options struct {
	// Prefix is the path prefix, with a slash at both ends; DefaultPrefix if
	// empty.
	Prefix string
	// Delay is how long a call or a stock read waits before it is processed.
	Delay time.Duration
	// DownFor is how long the service resets connections after a crash.
	DownFor time.Duration
	// Clock is the time source; the real clock if nil.
	Clock clockwork.Clock
	// Log receives log lines; they are dropped if it is nil.
	Log log.Interface
}

// Faults are the faults of an order service. The zero value is none.
type Faults struct {
	httpd.Faults
	// CrashBefore and CrashAfter are the numbers of following calls that crash
	// the service before or after they are executed.
	CrashBefore int `json:"crash_before,omitempty"`
	CrashAfter  int `json:"crash_after,omitempty"`
}

// Execution is an executed call, as listed at /control/journal.
type Execution struct {
	TimeMillis int64             `json:"time_ms"`
	Key        string            `json:"key"`
	Method     string            `json:"method"`
	Path       string            `json:"path"`
	BodySHA256 string            `json:"body_sha256"`
	Headers    map[string]string `json:"headers"`
}

// Answer is the response body of an executed call.
type Answer struct {
	// Execution is the sequence number of the execution, from 1.
	Execution int `json:"execution"`
	// KeyExecutions counts the executions with this Idempotency-Key so far.
	KeyExecutions int    `json:"key_executions"`
	Key           string `json:"key"`
	Path          string `json:"path"`
	BodySHA256    string `json:"body_sha256"`
}

// Stock is the answer to GET {prefix}stock/{item}.
type Stock struct {
	Item string `json:"item"`
	// Boxes depends only on the item's name.
	Boxes int `json:"boxes"`
}

// Server is an order service stand-in. It is safe for concurrent use.
type Server struct {
	opts    Options
	http    *httpd.Server
	faults  *httpd.FaultInjector
	journal httpd.Journal[Execution]

	mu          sync.Mutex
	orderFaults Faults
	countsByKey map[string]int
	total       int
	downUntil   time.Time
}

// New returns an order service that is not listening yet.
func New(opts Options) *Server {
	if opts.Prefix == "" {
		opts.Prefix = DefaultPrefix
	}
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}
	s := &Server{opts: opts, faults: httpd.NewFaultInjector(opts.Clock), countsByKey: map[string]int{}}
	s.http = httpd.New("orderservice", opts.Log, s.handle)
	return s
}

// Listen binds address and serves until Close.
func (s *Server) Listen(address string) error { return s.http.Listen(address) }

// Address returns the bound address.
func (s *Server) Address() string { return s.http.Address() }

// Close stops the service; see httpd.Server.Close.
func (s *Server) Close() error { return s.http.Close() }

// Executions returns a copy of the journal, oldest execution first.
func (s *Server) Executions() []Execution { return s.journal.All() }

// ExecutionCount returns the number of executions with an Idempotency-Key.
func (s *Server) ExecutionCount(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.countsByKey[key]
}

// SetFaults replaces the current faults.
func (s *Server) SetFaults(f Faults) {
	s.faults.Set(f.Faults)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orderFaults = f
}

// Faults returns the current faults with their remaining counts.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.orderFaults
	f.Faults = s.faults.Faults()
	return f
}

// MuteOpen mutes the open connections; see httpd.Server.MuteOpen.
func (s *Server) MuteOpen() { s.http.MuteOpen() }

// Crash resets the open connections, and for Options.DownFor every connection on
// which a request arrives. Control connections are exempt.
func (s *Server) Crash() {
	s.mu.Lock()
	s.downUntil = s.opts.Clock.Now().Add(s.opts.DownFor)
	s.mu.Unlock()
	s.http.ResetAll()
}

// StockOf returns the stock that every order service reports for item.
func StockOf(item string) Stock {
	h := fnv.New32a()
	_, _ = h.Write([]byte(item))
	return Stock{Item: item, Boxes: int(h.Sum32() % maxStock)}
}

// BodyDigest returns the SHA-256 of body in hexadecimal.
func BodyDigest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch path {
	case "/control/faults":
		s.handleFaults(ctx)
		return
	case "/control/journal":
		httpd.MarkControl(ctx)
		httpd.WriteJSON(ctx, fasthttp.StatusOK, s.Executions())
		return
	}
	if s.isDown() {
		httpd.Reset(ctx)
		return
	}
	if !s.faults.ApplyBefore(ctx, s.http.Closing()) {
		return
	}
	rest, ok := strings.CutPrefix(path, s.opts.Prefix)
	item, isStock := strings.CutPrefix(rest, "stock/")
	switch {
	case !ok:
		httpd.WriteError(ctx, fasthttp.StatusNotFound, httpd.CodeNotFound, "no such path")
	case ctx.IsGet() && isStock:
		s.waitDelay()
		httpd.WriteJSON(ctx, fasthttp.StatusOK, StockOf(item))
	case ctx.IsGet():
		httpd.WriteError(ctx, fasthttp.StatusNotFound, httpd.CodeNotFound, "no such resource")
	default:
		s.handleCall(ctx, path)
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

func (s *Server) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opts.Clock.Now().Before(s.downUntil)
}

func (s *Server) waitDelay() {
	if s.opts.Delay <= 0 {
		return
	}
	select {
	case <-s.opts.Clock.After(s.opts.Delay):
	case <-s.http.Closing():
	}
}

func (s *Server) handleCall(ctx *fasthttp.RequestCtx, path string) {
	s.waitDelay()
	if s.takeFault(&s.orderFaults.CrashBefore) {
		s.Crash()
		return
	}
	answer := s.execute(ctx, path)
	if s.takeFault(&s.orderFaults.CrashAfter) {
		s.Crash()
		return
	}
	if !s.faults.LoseAnswer(ctx) {
		httpd.WriteJSON(ctx, fasthttp.StatusOK, answer)
	}
}

// takeFault decrements count. It returns false if none remained.
func (s *Server) takeFault(count *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

// execute records the call in the journal and in the counts.
func (s *Server) execute(ctx *fasthttp.RequestCtx, path string) Answer {
	execution := Execution{
		TimeMillis: s.opts.Clock.Now().UnixMilli(),
		Key:        string(ctx.Request.Header.Peek(HeaderIdempotencyKey)),
		Method:     string(ctx.Method()),
		Path:       path,
		BodySHA256: BodyDigest(ctx.PostBody()),
		Headers:    httpd.Headers(ctx),
	}
	s.journal.Add(execution)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countsByKey[execution.Key]++
	s.total++
	return Answer{
		Execution:     s.total,
		KeyExecutions: s.countsByKey[execution.Key],
		Key:           execution.Key,
		Path:          path,
		BodySHA256:    execution.BodySHA256,
	}
}
