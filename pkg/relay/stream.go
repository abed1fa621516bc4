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
	"github.com/clementineshed/clementineshed/pkg/retry"
	"github.com/clementineshed/clementineshed/pkg/routes"
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
var errNoEventStream = errors.New("the endpoint did not continue the stream")

// eventEnd separates events (HTML standard, server-sent events).
var eventEnd = []byte("\n\n")

// streamSource sends a request whose answer is a stream, to one endpoint after the other
// as streams break off. Its methods are called by one goroutine at a time.
type streamSource interface {
	// silence describes the silence of the stream's endpoint, to decide whether to give it
	// up; nil if the request may not be sent again.
	silence(s *stream) func(now time.Time) retry.Silence
	// progressed is called when complete events have arrived.
	progressed(s *stream)
	// ended is called once for each stream, when its exchange has ended.
	ended(s *stream, outcome placement.Outcome)
	// resume continues a stream that has broken off at another endpoint, after its last
	// complete event, or returns the refusal that ends the request. Before the first event
	// another endpoint may instead answer the request completely; both results are nil
	// then.
	resume(s *stream, cause error) (*stream, *refusal.Refusal)
}

// stream is the streamed answer of one endpoint, read in complete events.
type stream struct {
	x      *exchange
	source streamSource
	answer *upstream.Answer
	member fleet.Member
	sentAt time.Time
	// inFlight is the send to an engine. expected is the expected time to its first
	// event; zero if it is not known.
	inFlight *placement.InFlightSend
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
// endpoint of a stream that may be resumed counts as silent after stallTimeout without a
// complete event: single bytes are no progress.
func (s *stream) next() ([]byte, error) {
	if silence := s.source.silence(s); silence != nil {
		if err := s.answer.SetReadDeadline(time.Now().Add(stallTimeout), s.x.onSilence(s.member, silence)); err != nil {
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
	}
	// What two software versions write does not fit together, and endpoints do not check it.
	s.x.software = s.member.SoftwareVersion
	s.source.progressed(s)
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

// close ends the exchange with the endpoint and records its outcome. It cancels a run
// that is not complete.
func (s *stream) close(outcome placement.Outcome) {
	if s.closed {
		return
	}
	s.closed = true
	s.answer.Close()
	s.source.ended(s, outcome)
}

// breakOff ends a stream that has broken off and records the failure of its endpoint. It
// returns the refusal of a request that has been cancelled.
func (s *stream) breakOff(cause error) *refusal.Refusal {
	s.close(placement.Failed)
	s.x.handler.confirmCrash(s.x, s.member, s.sentAt, s.firstEventAt)
	s.x.handler.recordSendError(s.x, s.member, cause)
	if s.lastEventID != "" {
		s.x.lastDelivered = s.lastEventID
	}
	return s.x.cancellationRefusal()
}

// resume continues the stream at another endpoint, see streamSource.
func (s *stream) resume(cause error) (*stream, *refusal.Refusal) {
	if r := s.breakOff(cause); r != nil {
		return nil, r
	}
	return s.source.resume(s, cause)
}

// forwardStream passes the stream on to the caller. The head is sent only with the
// first events, so that a run that breaks off before them can be retried elsewhere.
func (x *exchange) forwardStream(s *stream) *refusal.Refusal {
	for s != nil {
		if s.answer.Status >= 300 {
			return x.respondFailed(s)
		}
		events, err := s.next()
		if len(events) > 0 {
			x.startStreaming(s, events, err)
			return nil
		}
		if errors.Is(err, io.EOF) {
			x.respondEmpty(s)
			return nil
		}
		x.handler.markRunning(x)
		next, r := s.resume(err)
		if r != nil {
			return r
		}
		s = next
	}
	return nil
}

// respondFailed passes on an endpoint's answer with a status of 300 or more.
func (x *exchange) respondFailed(s *stream) *refusal.Refusal {
	body, err := s.answer.ReadAll(maxAnswerBytes)
	x.handler.markRunning(x)
	if s.answer.Status >= 500 {
		x.handler.recordBadAnswer(s.member, s.answer)
	}
	s.close(placement.Failed)
	if err != nil {
		return refusal.Unknown(502, refusal.CodeEndpointFailed, "the endpoint's answer is incomplete").WithCause(err)
	}
	x.respond(s.answer, body)
	return nil
}

// respondEmpty passes on a complete stream that has no events.
func (x *exchange) respondEmpty(s *stream) {
	x.handler.markRunning(x)
	s.close(placement.Completed)
	x.respond(s.answer, nil)
}

// startStreaming sets the head and a body from which the server reads the stream.
// err is the error that came with the events.
func (x *exchange) startStreaming(s *stream, events []byte, err error) {
	x.handler.markRunning(x)
	if x.call.LastEventID == "" && x.route.MayRepeat() {
		x.handler.Origins.Began(x.workCtx, x.service, s.member.SoftwareVersion, x.call.ID)
	}
	x.firstByte = time.Now()
	x.status = s.answer.Status
	x.logFields["first_event_ms"] = x.firstByte.Sub(s.sentAt).Milliseconds()
	x.handler.Metrics.FirstEvent.Record(x.firstByte.Sub(s.sentAt))
	x.setResponseHead(s.answer)
	x.streaming = true
	x.ctx.Response.ImmediateHeaderFlush = true
	x.ctx.SetBodyStream(&body{x: x, s: s, events: events, err: err}, -1)
}

// bindTakenUp binds a stream that the caller takes up to the software version that began it. It
// returns the refusal of one whose version is not known.
func (x *exchange) bindTakenUp() *refusal.Refusal {
	if x.route.Kind != routes.Stream || x.lastDelivered == "" {
		return nil
	}
	software, err := x.handler.Origins.Origin(x.workCtx, x.service, x.call.Resumes)
	if err != nil {
		x.handler.Metrics.UnknownOrigin.Add(1)
		return refusal.NotRun(503, refusal.CodeNoEndpoint, "the software version that began the stream is not known").WithRetryAfter(x.retryAfter(busyRetryAfter)).WithCause(err)
	}
	x.software = software
	x.logFields["resumes_software"] = software
	return nil
}

// streamBrokenRefusal is the refusal of a request whose stream is not resumed.
func streamBrokenRefusal(cause error) *refusal.Refusal {
	return refusal.Unknown(502, refusal.CodeEndpointFailed, "the stream broke off").WithCause(cause)
}

// mayResume reports whether the request may be sent again after its current send.
func (x *exchange) mayResume() bool {
	return x.route.MayRepeat() && x.attempts < x.route.MaxAttempts
}

// isEventStream reports whether an answer may continue a stream of events.
func isEventStream(answer *upstream.Answer) bool {
	mediaType, _, err := mime.ParseMediaType(answer.Fields.Get("Content-Type"))
	return err == nil && answer.Status == 200 && mediaType == "text/event-stream"
}

// body is the body of a streamed answer, resumed at other endpoints if it breaks
// off. After a read error the server closes the connection without an end of the
// body, so that the caller sees that the answer is incomplete.
type body struct {
	x      *exchange
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
			next, r := b.s.resume(b.err)
			if r != nil {
				b.x.outcome = "broken"
				b.x.logFields["cause"] = r.Error()
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
	b.x.handler.Outliers.Succeeded(b.s.member, time.Now())
	b.x.handler.Guard.Completed(b.x.crashFeatures())
	b.s.close(placement.Completed)
}

// Close implements io.Closer; the server calls it once the answer is written or
// has failed.
func (b *body) Close() error {
	if !b.s.closed && b.x.outcome == "served" {
		b.x.outcome = "caller_gone"
		if !b.x.attempt.silenceRecorded && time.Since(b.s.eventAt) >= stallTimeout {
			// A stream that may not be sent again has no stall timeout, and its caller
			// disconnects first. Without this a hung endpoint would never be ejected.
			b.x.handler.recordFailure(b.s.member, outlier.TimedOut, errors.New("the stream stalled until its caller left"))
		}
	}
	b.s.close(placement.Failed)
	b.x.finish()
	return nil
}
