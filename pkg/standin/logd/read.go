package logd

import (
	"sort"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/logservice"
	"github.com/clementineshed/clementineshed/pkg/standin/httpd"
)

// Limits of one read. Larger values in a request are reduced to them.
const (
	MaxRecordsPerRead = 10_000
	MaxLongPoll       = 30 * time.Second
)

// lagPollInterval is the interval at which a long poll under ReadLagMillis checks
// for records that have become visible.
const lagPollInterval = 10 * time.Millisecond

func (s *Server) handleRead(ctx *fasthttp.RequestCtx, stream string) {
	args := ctx.QueryArgs()
	from, err := args.GetUint("from")
	if err != nil {
		httpd.WriteError(ctx, fasthttp.StatusBadRequest, httpd.CodeBadRequest, "from: "+err.Error())
		return
	}
	limit := args.GetUintOrZero("max")
	if limit <= 0 || limit > MaxRecordsPerRead {
		limit = MaxRecordsPerRead
	}
	wait := min(time.Duration(args.GetUintOrZero("wait_ms"))*time.Millisecond, MaxLongPoll)
	page, err := s.read(stream, int64(from), limit, wait)
	var truncated *logservice.TruncatedError
	switch {
	case errors.As(err, &truncated):
		httpd.WriteJSON(ctx, fasthttp.StatusGone, logservice.TruncatedAnswer{Oldest: truncated.Oldest, Era: truncated.Era})
	case err != nil:
		httpd.WriteError(ctx, fasthttp.StatusServiceUnavailable, httpd.CodeUnavailable, err.Error())
	default:
		httpd.WriteJSON(ctx, fasthttp.StatusOK, page)
	}
}

// read returns up to limit visible records from offset from. If there are none,
// it waits up to wait for one.
func (s *Server) read(stream string, from int64, limit int, wait time.Duration) (logservice.Page, error) {
	deadline := s.opts.Clock.Now().Add(wait)
	for {
		lag := time.Duration(s.Faults().ReadLagMillis) * time.Millisecond
		if lag <= 0 {
			return s.store.Read(s.ctx, stream, from, limit, deadline.Sub(s.opts.Clock.Now()))
		}
		page, err := s.readLagging(stream, from, limit, s.opts.Clock.Now().Add(-lag))
		if err != nil || len(page.Records) > 0 || !s.opts.Clock.Now().Before(deadline) {
			return page, err
		}
		select {
		case <-s.opts.Clock.After(lagPollInterval):
		case <-s.ctx.Done():
			return page, nil
		}
	}
}

// readLagging reads like a replica that has received no records since horizon.
func (s *Server) readLagging(stream string, from int64, limit int, horizon time.Time) (logservice.Page, error) {
	page, err := s.store.Read(s.ctx, stream, from, limit, 0)
	if err != nil {
		return page, err
	}
	page.End = s.visibleEnd(stream, page.Oldest, page.End, horizon)
	visible := max(page.End-from, 0)
	if int64(len(page.Records)) > visible {
		page.Records = page.Records[:visible]
	}
	return page, nil
}

// visibleEnd finds the first offset in [oldest, end) appended after horizon.
func (s *Server) visibleEnd(stream string, oldest, end int64, horizon time.Time) int64 {
	count := sort.Search(int(end-oldest), func(i int) bool {
		page, err := s.store.Read(s.ctx, stream, oldest+int64(i), 1, 0)
		return err == nil && len(page.Records) == 1 && page.Records[0].TimeMillis > horizon.UnixMilli()
	})
	return oldest + int64(count)
}
