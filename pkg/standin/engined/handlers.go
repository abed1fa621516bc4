package engined

import (
	"bufio"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/enginewire"
	"github.com/clementineshed/clementineshed/pkg/prefix"
	"github.com/clementineshed/clementineshed/pkg/standin/httpd"
)

// CommentInterval is the time without a token after which a stream sends an SSE
// comment line. The write also detects a client that has disconnected.
const CommentInterval = time.Second

// Entry is the journal entry of a received request or order.
type Entry struct {
	TimeMillis int64  `json:"time_ms"`
	Instance   string `json:"instance"`
	// Action is the last part of the path: "generate", "cancel" or "orders".
	Action    string            `json:"action"`
	RequestID string            `json:"request_id,omitempty"`
	Prompt    PromptSummary     `json:"prompt"`
	Order     *enginewire.Order `json:"order,omitempty"`
	// Refused is the refusal code; empty if accepted.
	Refused string `json:"refused,omitempty"`
	// Interrupted counts the requests that an order aborted.
	Interrupted int               `json:"interrupted,omitempty"`
	Headers     map[string]string `json:"headers"`
}

// PromptSummary identifies a prompt by its size and its xxHash64 in hexadecimal.
type PromptSummary struct {
	Bytes int    `json:"bytes"`
	Hash  string `json:"hash"`
}

// Summarize returns the summary of prompt as the journal holds it.
func Summarize(prompt string) PromptSummary {
	sum := xxhash.Sum64String(prompt)
	return PromptSummary{Bytes: len(prompt), Hash: strconv.FormatUint(sum, 16)}
}

// Journal returns the received requests and orders, oldest first. Only the last
// httpd.MaxJournal are kept.
func (s *Server) Journal() []Entry { return s.journal.All() }

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if strings.HasPrefix(path, "/control/") {
		s.handleControl(ctx, path)
		return
	}
	if s.down() {
		httpd.Reset(ctx)
		return
	}
	if !s.opts.HidesOrderConnections {
		s.http.RegisterHolder(ctx)
	}
	if !s.faults.ApplyBefore(ctx, s.http.Closing()) {
		return
	}
	switch {
	case path == enginewire.PathGenerate && ctx.IsPost():
		s.handleGenerate(ctx)
	case path == enginewire.PathCancel && ctx.IsPost():
		s.handleCancel(ctx)
	case path == enginewire.PathOrders && ctx.IsPost():
		s.handleOrder(ctx)
	case path == enginewire.PathLoad && ctx.IsGet():
		httpd.WriteJSON(ctx, fasthttp.StatusOK, s.delayedLoad())
	case path == enginewire.PathOrderConnections && ctx.IsGet() && !s.opts.HidesOrderConnections:
		s.http.ServeHolders(ctx)
	case path == enginewire.PathCacheEvents && ctx.IsGet():
		s.handleCacheEvents(ctx)
	default:
		s.handleOther(ctx, path)
	}
}

// handleOther handles paths that end in a parameter and answers 404 to the rest.
func (s *Server) handleOther(ctx *fasthttp.RequestCtx, path string) {
	if id, ok := exportRequestID(path); ok && ctx.IsGet() {
		s.handleExport(ctx, id)
		return
	}
	httpd.WriteError(ctx, fasthttp.StatusNotFound, httpd.CodeNotFound, "no such path")
}

func (s *Server) down() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.opts.Clock.Now().Before(s.downUntil)
}

func (s *Server) handleControl(ctx *fasthttp.RequestCtx, path string) {
	httpd.MarkControl(ctx)
	switch path {
	case "/control/journal":
		httpd.WriteJSON(ctx, fasthttp.StatusOK, s.Journal())
	case "/control/faults":
		s.handleFaults(ctx)
	case "/control/crash":
		httpd.WriteJSON(ctx, fasthttp.StatusOK, struct{}{})
		s.Crash()
	case "/control/mute-open":
		s.MuteOpen()
	case "/control/drain":
		s.Drain()
	default:
		httpd.WriteError(ctx, fasthttp.StatusNotFound, httpd.CodeNotFound, "no such path")
	}
}

func (s *Server) handleFaults(ctx *fasthttp.RequestCtx) {
	if ctx.IsPost() {
		var f Faults
		if !httpd.Decode(ctx, &f) {
			return
		}
		s.SetFaults(f)
	}
	httpd.WriteJSON(ctx, fasthttp.StatusOK, s.Faults())
}

func (s *Server) handleCacheEvents(ctx *fasthttp.RequestCtx) {
	from := int64(ctx.QueryArgs().GetUintOrZero("from"))
	s.mu.Lock()
	events, next := s.cache.eventsSince(from, s.opts.Clock.Now().Add(-s.opts.CacheEventDelay))
	instance := s.instance()
	s.mu.Unlock()
	httpd.WriteJSON(ctx, fasthttp.StatusOK, enginewire.CacheEventsAnswer{Instance: instance, Events: events, Next: next})
}

// newEntry returns a journal entry for ctx. record adds the instance.
func (s *Server) newEntry(ctx *fasthttp.RequestCtx, action string) Entry {
	return Entry{
		TimeMillis: s.opts.Clock.Now().UnixMilli(),
		Action:     action,
		Headers:    httpd.Headers(ctx),
	}
}

// record journals an entry. It must be called with mu held, so that entries
// appear in the order in which requests and orders took effect.
func (s *Server) record(entry Entry) {
	entry.Instance = s.instance()
	s.journal.Add(entry)
}

// refusalStatus returns the HTTP status for a refusal code.
func refusalStatus(code string) int {
	switch code {
	case enginewire.CodeDraining, enginewire.CodeChanging:
		return fasthttp.StatusServiceUnavailable
	case enginewire.CodeOverloaded:
		return fasthttp.StatusTooManyRequests
	case CodeBadOrder:
		return fasthttp.StatusBadRequest
	default:
		return fasthttp.StatusConflict
	}
}

func (s *Server) handleGenerate(ctx *fasthttp.RequestCtx) {
	var request enginewire.GenerateRequest
	if !httpd.Decode(ctx, &request) {
		return
	}
	j := newJob(request)
	if s.wouldAccept(j) {
		s.importKV(j)
	}
	entry := s.newEntry(ctx, "generate")
	entry.RequestID = request.RequestID
	entry.Prompt = Summarize(request.Prompt)
	code := s.accept(j, entry)
	if code != "" {
		httpd.WriteJSON(ctx, refusalStatus(code), enginewire.Refusal{Code: code, RequestID: request.RequestID})
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-cache")
	ctx.Response.ImmediateHeaderFlush = true
	conn := ctx.Conn()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer s.workers.Done()
		if aborted := s.stream(w, j); aborted {
			// A regular end of the body would look like a complete answer.
			httpd.ResetConn(conn)
		}
	})
}

// wouldAccept lets a request that would be refused skip the KV cache import.
func (s *Server) wouldAccept(j *job) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.completeChange()
	return s.refusalCode(j) == ""
}

// accept queues j or returns the refusal code, and journals the request. For an
// accepted job it adds one to workers, which the stream writer must release.
func (s *Server) accept(j *job, entry Entry) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.completeChange()
	entry.Refused = s.refusalCode(j)
	s.record(entry)
	if entry.Refused != "" {
		return entry.Refused
	}
	s.workers.Add(1)
	s.waiting = append(s.waiting, j)
	select {
	case s.jobQueued <- struct{}{}:
	default:
	}
	return ""
}

// refusalCode returns "" if j is acceptable. It must be called with mu held.
func (s *Server) refusalCode(j *job) string {
	request := j.request
	switch {
	case s.change != nil:
		return enginewire.CodeChanging
	case s.draining || s.closed:
		return enginewire.CodeDraining
	case request.Model != s.model:
		return enginewire.CodeWrongModel
	case request.Adapter != "" && !s.adapters[request.Adapter]:
		return enginewire.CodeWrongModel
	case s.role == endpoint.RolePrefill && request.MaxTokens != 1:
		return enginewire.CodeWrongRole
	case s.role == endpoint.RoleDecode && s.needsLongPrefill(j):
		return enginewire.CodeWrongRole
	case s.refuseGenerate || len(s.waiting) >= s.opts.MaxWaiting:
		return enginewire.CodeOverloaded
	}
	return ""
}

// needsLongPrefill reports whether j needs more prefill than the one chunk that
// a decode engine accepts.
func (s *Server) needsLongPrefill(j *job) bool {
	if j.request.KVFrom != "" {
		return false
	}
	return j.promptTokens-s.cache.cachedPrefixLen(j.chunkHashes)*prefix.ChunkTokens > prefix.ChunkTokens
}

// stream writes the events of j until j ends or the client disconnects. It
// returns true if j was aborted.
func (s *Server) stream(w *bufio.Writer, j *job) (aborted bool) {
	comments := s.opts.Clock.NewTicker(CommentInterval)
	defer comments.Stop()
	sent := min(max(j.request.SkipTokens, 0), j.outputLength)
	answer := answerHash(s.opts.SoftwareVersion, j.promptHash)
	for {
		s.mu.Lock()
		generated, finish, aborted, cached := j.generated, j.finishReason, j.aborted, j.cachedTokens
		s.mu.Unlock()
		wrote := sent < generated
		for ; sent < generated; sent++ {
			writeEvent(w, enginewire.Event{RequestID: j.request.RequestID, Index: sent, Token: tokenAt(answer, sent)})
		}
		if finish != "" {
			writeEvent(w, enginewire.Event{
				RequestID: j.request.RequestID, Index: sent, Done: true, FinishReason: finish,
				PromptTokens: j.promptTokens, CachedTokens: cached, OutputTokens: sent,
			})
			_ = w.Flush()
			return false
		}
		if aborted {
			return true
		}
		if wrote {
			comments.Reset(CommentInterval)
		}
		if w.Flush() != nil {
			s.cancelDisconnected(j)
			return false
		}
		select {
		case <-j.wake:
		case <-comments.Chan():
			_, _ = w.WriteString(": no token due\n\n")
		}
	}
}

func writeEvent(w *bufio.Writer, event enginewire.Event) {
	// Every value of Event can be encoded, so Marshal returns no error.
	data, _ := json.Marshal(event)
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(data)
	_, _ = w.WriteString("\n\n")
}

// cancelDisconnected cancels a request whose client has disconnected.
func (s *Server) cancelDisconnected(gone *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endJobs(func(j *job) bool { return j == gone }, func(j *job) { j.finishReason = FinishCancelled })
}

func (s *Server) handleCancel(ctx *fasthttp.RequestCtx) {
	var request enginewire.CancelRequest
	if !httpd.Decode(ctx, &request) {
		return
	}
	entry := s.newEntry(ctx, "cancel")
	entry.RequestID = request.RequestID
	s.mu.Lock()
	s.record(entry)
	count := s.endJobs(
		func(j *job) bool { return j.request.RequestID == request.RequestID },
		func(j *job) { j.finishReason = FinishCancelled })
	s.mu.Unlock()
	httpd.WriteJSON(ctx, fasthttp.StatusOK, CancelAnswer{Cancelled: count})
}

// CancelAnswer is the body of the answer to a cancel request.
type CancelAnswer struct {
	// Cancelled counts the cancelled requests; zero is not an error.
	Cancelled int `json:"cancelled"`
}
