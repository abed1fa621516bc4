package quarantine

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/logservice"
)

// readStream applies the records of the quarantine stream, from the oldest one,
// until Close.
func (s *Service) readStream() {
	var next int64
	for s.ctx.Err() == nil {
		page, err := s.opts.Log.Read(s.ctx, logservice.StreamQuarantine, next, readLimit, readWait)
		var truncated *logservice.TruncatedError
		switch {
		case errors.As(err, &truncated):
			next = truncated.Oldest
		case err != nil:
			s.pause(retryDelay)
		}
		for _, r := range page.Records {
			s.fold(r)
			next = r.Offset + 1
		}
	}
}

// fold applies one record. The quarantine's TTL starts at the record's time.
// Since the clocks of the log service and this host may differ, the remaining
// time is capped at the full TTL.
func (s *Service) fold(r logservice.Record) {
	var rec record
	if json.Unmarshal(r.Data, &rec) != nil {
		return
	}
	f, ok := parseFingerprint(rec.Fingerprint)
	if !ok {
		return
	}
	now := s.opts.Clock.Now()
	ttl := min(time.Duration(rec.TTLMillis)*time.Millisecond, QuarantineTTL)
	until := time.UnixMilli(r.TimeMillis).Add(ttl)
	if latest := now.Add(ttl); until.After(latest) {
		until = latest
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Before(until) {
		s.tracker.quarantine(f, until)
	}
}

// runAppends appends pending records to the stream until Close, with retries. A
// record that is appended twice because an answer was lost has no further
// effect.
func (s *Service) runAppends() {
	for {
		select {
		case <-s.ctx.Done():
			return
		case <-s.wake:
		}
		for s.ctx.Err() == nil && !s.appendPending() {
			s.pause(retryDelay)
		}
	}
}

// appendPending appends all pending records in one call. If that fails, it puts
// them back and returns false.
func (s *Service) appendPending() bool {
	s.mu.Lock()
	batch := s.pending
	s.pending = nil
	s.mu.Unlock()
	if len(batch) == 0 {
		return true
	}
	_, err := s.opts.Log.Append(s.ctx, logservice.StreamQuarantine, batch)
	if err == nil {
		return true
	}
	s.opts.Logger.WithError(err).Warn("append to quarantine stream failed; will retry")
	s.mu.Lock()
	s.pending = append(batch, s.pending...)
	s.pending = s.pending[max(0, len(s.pending)-maxPending):]
	s.mu.Unlock()
	return false
}

// sweep drops expired state every sweepInterval until Close.
func (s *Service) sweep() {
	for s.ctx.Err() == nil {
		s.pause(sweepInterval)
		s.mu.Lock()
		s.tracker.expire(s.opts.Clock.Now())
		s.mu.Unlock()
	}
}

// pause waits for d or until Close.
func (s *Service) pause(d time.Duration) {
	timer := s.opts.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-s.ctx.Done():
	case <-timer.Chan():
	}
}
