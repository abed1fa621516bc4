package logd

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/logservice"
	"github.com/clementineshed/clementineshed/pkg/standin/httpd"
)

func (s *Server) handleAppend(ctx *fasthttp.RequestCtx, stream string) {
	var request logservice.AppendRequest
	if !httpd.Decode(ctx, &request) {
		return
	}
	if len(request.Records) == 0 {
		httpd.WriteError(ctx, fasthttp.StatusBadRequest, httpd.CodeBadRequest, "no records")
		return
	}
	if !s.limiter.AllowN(s.opts.Clock.Now(), 1) {
		ctx.Response.Header.Set("Retry-After", "1")
		httpd.WriteError(ctx, fasthttp.StatusTooManyRequests, httpd.CodeRateLimited, "too many appends a second")
		return
	}
	if delay, ok := s.takeDelayedAppend(); ok {
		s.appendLater(stream, request.Records, delay)
		httpd.CloseWithoutAnswer(ctx)
		return
	}
	first, err := s.store.Append(s.ctx, stream, request.Records)
	if err != nil {
		httpd.WriteError(ctx, fasthttp.StatusInternalServerError, "internal", err.Error())
		return
	}
	if !s.faults.LoseAnswer(ctx) {
		httpd.WriteJSON(ctx, fasthttp.StatusOK, logservice.AppendAnswer{FirstOffset: first})
	}
}

// takeDelayedAppend returns the delay of the next append and counts it. It
// returns false if the append is not to be delayed.
func (s *Server) takeDelayedAppend() (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.logFaults.DelayAppends == 0 {
		return 0, false
	}
	if s.logFaults.DelayAppends > 0 {
		s.logFaults.DelayAppends--
	}
	return time.Duration(s.logFaults.DelayMillis) * time.Millisecond, true
}

// appendLater appends after delay, unless the server is closed first.
func (s *Server) appendLater(stream string, records [][]byte, delay time.Duration) {
	timer := s.opts.Clock.After(delay)
	s.workers.Add(1)
	go func() {
		defer s.workers.Done()
		select {
		case <-timer:
			_, _ = s.store.Append(s.ctx, stream, records)
		case <-s.ctx.Done():
		}
	}()
}
