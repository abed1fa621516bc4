package relay

import (
	"bytes"
	"io"
	"mime"
	"time"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/fleet"
	"github.com/clementineshed/clementineshed/pkg/outlier"
	"github.com/clementineshed/clementineshed/pkg/placement"
	"github.com/clementineshed/clementineshed/pkg/refusal"
	"github.com/clementineshed/clementineshed/pkg/upstream"
)

const (
	// eventBufferBytes is the initial capacity of the buffer for an incomplete event.
	eventBufferBytes = 1024
	// maxEventBytes bounds an incomplete event. Events of engines have a few hundred
	// bytes.
	maxEventBytes = 64 << 10
)

// errNoEventStream reports an answer that cannot continue a stream.
var errNoEventStream = errors.New("the engine did not continue the stream")

// eventEnd separates events (HTML standard, server-sent events).
var eventEnd = []byte("\n\n")

// stream is the streamed answer of one engine, read in complete events.
type stream struct {
	g        *generation
	answer   *upstream.Answer
	member   fleet.Member
	inFlight *placement.InFlightSend
	sentAt   time.Time
	// expected is the expected time to the first event; zero if it is not known.
	expected time.Duration
	// firstEventAt is when the first complete event arrived, eventAt when the last one
	// did.
	firstEventAt, eventAt time.Time
	// pending holds the bytes after the last complete event. The first searched of
	// them hold no end of an event.
	pending     []byte
	searched    int
	lastEventID string
	closed      bool
	// events counts the events that have arrived, firstEvents those that arrived first,
	// together.
	events, firstEvents int
}

// next returns the complete events that have arrived, and io.EOF after the last
// one of a complete answer. Events and an error may be returned together. The
// engine of a stream that may be resumed counts as silent after stallTimeout without a
// complete event: single bytes are no progress.
func (s *stream) next() ([]byte, error) {
	if s.g.mayResume() {
		onSilence := s.g.x.onSilence(s.member, s.g.silentDecode(s.member, s.g.x.attempts))
		if err := s.answer.SetReadDeadline(time.Now().Add(stallTimeout), onSilence); err != nil {
			return nil, errors.Wrap(upstream.ErrIncomplete, err.Error())
		}
	}
	for {
		if events := s.takeEvents(); events != nil {
			return events, nil
		}
		if len(s.pending) > maxEventBytes {
			return nil, errors.Wrapf(upstream.ErrIncomplete, "an event exceeds %d bytes", maxEventBytes)
		}
		var buf [2048]byte
		n, err := s.answer.Read(buf[:])
		s.pending = append(s.pending, buf[:n]...)
		if err == nil {
			continue
		}
		if events := s.takeEvents(); events != nil {
			return events, s.endError(err)
		}
		return nil, s.endError(err)
	}
}

// endError returns the error for an answer whose read failed with err: io.EOF only if
// the stream is complete.
func (s *stream) endError(err error) error {
	switch {
	case !errors.Is(err, io.EOF):
		return err
	case len(s.pending) > 0:
		return errors.Wrap(upstream.ErrIncomplete, "the answer ended inside an event")
	case s.eventAt.IsZero() && s.answer.EndsWithConn():
		// An engine that fails right after the head closes in the same way.
		return errors.Wrap(upstream.ErrIncomplete, "the connection ended before the first event")
	}
	return io.EOF
}

// takeEvents removes the complete events from the buffer and returns them, nil if
// there are none.
func (s *stream) takeEvents() []byte {
	end := bytes.LastIndex(s.pending[s.searched:], eventEnd)
	if end < 0 {
		// The end may begin with the last byte.
		s.searched = max(0, len(s.pending)-len(eventEnd)+1)
		return nil
	}
	end += s.searched
	s.searched = 0
	events := s.pending[:end+len(eventEnd)]
	s.pending = append(make([]byte, 0, eventBufferBytes), s.pending[end+len(eventEnd):]...)
	s.eventAt = time.Now()
	s.events += bytes.Count(events, eventEnd)
	if s.firstEventAt.IsZero() {
		s.firstEventAt, s.firstEvents = s.eventAt, s.events
		if s.expected > 0 {
			s.g.h.Pace.Answered(s.member.ID, s.sentAt, s.expected, s.eventAt)
		}
	}
	s.g.progressAt = s.eventAt
	s.updateLastEventID(events)
	return events
}

// updateLastEventID sets lastEventID to the last id in events.
func (s *stream) updateLastEventID(events []byte) {
	for line := range bytes.Lines(events) {
		if id, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("id:")); ok {
			s.lastEventID = string(bytes.TrimSpace(id))
		}
	}
}

// close ends the exchange with the engine and records its outcome. It cancels a run
// that is not complete.
func (s *stream) close(outcome placement.Outcome) {
	if s.closed {
		return
	}
	s.closed = true
	s.answer.Close()
	now := time.Now()
	if outcome == placement.Completed {
		sample, ok := s.g.model.ObserveDecode(s.inFlight, s.g.job.OutputLimit, s.events-s.firstEvents, s.eventAt.Sub(s.firstEventAt), now)
		if ok {
			s.g.h.OnDecoded(s.g.x.service, sample)
		}
	}
	s.g.model.EndSend(s.inFlight, outcome, now)
}

// forwardStream passes the stream on to the caller. The head is sent only with the
// first events, so that a run that breaks off before them can be retried elsewhere.
func (g *generation) forwardStream(s *stream) *refusal.Refusal {
	for {
		if s.answer.Status >= 300 {
			return g.respondFailed(s)
		}
		events, err := s.next()
		if len(events) > 0 {
			g.startStreaming(s, events, err)
			return nil
		}
		if errors.Is(err, io.EOF) {
			g.respondEmpty(s)
			return nil
		}
		g.h.markRunning(g.x)
		next, r := g.resume(s, err)
		if r != nil {
			return r
		}
		s = next
	}
}

// respondFailed passes on an engine's answer with a status of 300 or more.
func (g *generation) respondFailed(s *stream) *refusal.Refusal {
	body, err := s.answer.ReadAll(maxAnswerBytes)
	g.h.markRunning(g.x)
	if s.answer.Status >= 500 {
		g.h.recordBadAnswer(s.member, s.answer)
	}
	s.close(placement.Failed)
	if err != nil {
		return refusal.Unknown(502, refusal.CodeEndpointFailed, "the engine's answer is incomplete").WithCause(err)
	}
	g.x.respond(s.answer, body)
	return nil
}

// respondEmpty passes on a complete stream that has no events.
func (g *generation) respondEmpty(s *stream) {
	g.h.markRunning(g.x)
	s.close(placement.Completed)
	g.x.respond(s.answer, nil)
}

// mayResume reports whether the request may be sent again after this send.
func (g *generation) mayResume() bool {
	return g.x.route.MayRepeat() && g.x.attempts < g.x.route.MaxAttempts
}

// startStreaming sets the head and a body from which the server reads the stream.
// err is the error that came with the events.
func (g *generation) startStreaming(s *stream, events []byte, err error) {
	g.h.markRunning(g.x)
	x := g.x
	x.firstByte = time.Now()
	x.status = s.answer.Status
	x.logFields["first_event_ms"] = x.firstByte.Sub(s.sentAt).Milliseconds()
	g.h.Metrics.FirstEvent.Record(x.firstByte.Sub(s.sentAt))
	x.setResponseHead(s.answer)
	x.streaming = true
	x.ctx.Response.ImmediateHeaderFlush = true
	x.ctx.SetBodyStream(&body{g: g, s: s, events: events, err: err}, -1)
}

// resume continues a broken stream at another engine, or returns the refusal
// that ends the request.
func (g *generation) resume(s *stream, cause error) (*stream, *refusal.Refusal) {
	s.close(placement.Failed)
	g.h.confirmCrash(g.x, s.member, s.sentAt, s.firstEventAt)
	g.h.recordSendError(g.x, s.member, cause)
	if r := g.x.cancellationRefusal(); r != nil {
		return nil, r
	}
	if s.lastEventID != "" {
		g.lastDelivered = s.lastEventID
	}
	g.job.Exclude = append(g.job.Exclude, s.member.ID)
	g.avoidSilent(s.member)
	if !g.mayRetryRun(cause) {
		return nil, refusal.Unknown(502, refusal.CodeEndpointFailed, "the stream broke off").WithCause(cause)
	}
	g.h.Metrics.Resumed.Add(1)
	return g.open()
}

// isEventStream reports whether an answer may continue a stream of events.
func isEventStream(answer *upstream.Answer) bool {
	mediaType, _, err := mime.ParseMediaType(answer.Fields.Get("Content-Type"))
	return err == nil && answer.Status == 200 && mediaType == "text/event-stream"
}

// body is the body of a streamed answer, resumed at other engines if it breaks
// off. After a read error the server closes the connection without an end of the
// body, so that the caller sees that the answer is incomplete.
type body struct {
	g      *generation
	s      *stream
	events []byte
	err    error
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	for len(b.events) == 0 {
		if b.err != nil {
			if errors.Is(b.err, io.EOF) {
				b.complete()
				return 0, io.EOF
			}
			next, r := b.g.resume(b.s, b.err)
			if r != nil {
				b.g.x.outcome = "broken"
				b.g.x.logFields["cause"] = r.Error()
				return 0, r
			}
			b.s, b.err = next, nil
			if !isEventStream(next.answer) {
				b.err = errors.Wrapf(errNoEventStream, "status %d", next.answer.Status)
				continue
			}
		}
		b.events, b.err = b.s.next()
	}
	n := copy(p, b.events)
	b.events = b.events[n:]
	return n, nil
}

func (b *body) complete() {
	b.g.h.Outliers.Succeeded(b.s.member, time.Now())
	b.g.h.Guard.Completed(b.g.x.crashFeatures())
	b.s.close(placement.Completed)
}

// Close implements io.Closer; the server calls it once the answer is written or
// has failed.
func (b *body) Close() error {
	if !b.s.closed && b.g.x.outcome == "served" {
		b.g.x.outcome = "caller_gone"
		if !b.g.x.attempt.silenceRecorded && time.Since(b.s.eventAt) >= stallTimeout {
			// A stream that may not be sent again has no stall timeout, and its caller
			// disconnects first. Without this a hung engine would never be ejected.
			b.g.h.recordFailure(b.s.member, outlier.TimedOut, errors.New("the stream stalled until its caller left"))
		}
	}
	b.s.close(placement.Failed)
	b.g.x.finish()
	return nil
}
