package platformd

import (
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/endpointapi"
	"github.com/clementineshed/clementineshed/pkg/standin/httpd"
)

// UsageEntry is one usage report in the journal. Repeated reports that an earlier
// report had the same id.
type UsageEntry struct {
	TimeMillis int64 `json:"time_ms"`
	endpointapi.UsageReport
	Repeated bool `json:"repeated,omitempty"`
}

// Usage returns the journal of usage reports, oldest first.
func (s *Server) Usage() []UsageEntry { return s.usage.All() }

func (s *Server) handleUsage(ctx *fasthttp.RequestCtx) {
	var report endpointapi.UsageReport
	if !httpd.Decode(ctx, &report) {
		return
	}
	if report.ID == "" || report.Team == "" {
		httpd.WriteError(ctx, fasthttp.StatusBadRequest, endpointapi.CodeBadRequest, "id and team are required")
		return
	}
	repeated := s.recordReportID(report.ID)
	s.usage.Add(UsageEntry{TimeMillis: s.opts.Clock.Now().UnixMilli(), UsageReport: report, Repeated: repeated})
	if !s.faults.LoseAnswer(ctx) {
		httpd.WriteJSON(ctx, fasthttp.StatusOK, endpointapi.UsageAnswer{Duplicate: repeated})
	}
}

// recordReportID records a report id and reports whether it was known before.
func (s *Server) recordReportID(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := s.reportIDs[id]
	s.reportIDs[id] = true
	return seen
}

// handleWeights answers a weight fetch; path is "model/version". Concurrent
// fetches share the store's bandwidth.
func (s *Server) handleWeights(ctx *fasthttp.RequestCtx, path string) {
	model, version, ok := strings.Cut(path, "/")
	if !ok || model == "" || version == "" {
		httpd.WriteError(ctx, fasthttp.StatusNotFound, endpointapi.CodeNotFound, "no such weights")
		return
	}
	if !s.weightLimiter.AllowN(s.opts.Clock.Now(), 1) {
		ctx.Response.Header.Set("Retry-After", "1")
		httpd.WriteError(ctx, fasthttp.StatusTooManyRequests, endpointapi.CodeRateLimited, "too many fetches")
		return
	}
	duration := s.startFetch()
	httpd.WriteJSON(ctx, fasthttp.StatusOK, endpointapi.Weights{
		Model: model, Version: version,
		Bytes:       s.opts.WeightBytes,
		FetchMillis: duration.Milliseconds(),
	})
}

// startFetch returns the duration of a new fetch that shares the bandwidth with
// the active ones.
func (s *Server) startFetch() time.Duration {
	s.mu.Lock()
	s.activeFetches++
	seconds := float64(s.opts.WeightBytes) / float64(s.opts.WeightRate) * float64(s.activeFetches)
	s.mu.Unlock()
	duration := time.Duration(seconds * float64(time.Second))
	s.runAfter(duration, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.activeFetches--
	})
	return duration
}
