package relay

import (
	"bytes"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/fleet"
	"github.com/clementineshed/clementineshed/pkg/outlier"
	"github.com/clementineshed/clementineshed/pkg/placement"
	"github.com/clementineshed/clementineshed/pkg/refusal"
	"github.com/clementineshed/clementineshed/pkg/upstream"
)

// eventBufferBytes is the initial room for events that are not complete.
const eventBufferBytes = 1024

// eventEnd separates events (HTML standard, server-sent events).
var eventEnd = []byte("\n\n")

// stream is the answer of one engine, cut at the ends of events.
type stream struct {
	g      *generation
	answer *upstream.Answer
	member fleet.Member
	ticket *placement.Ticket
	sentAt time.Time
	// pending holds bytes after the last whole event.
	pending []byte
	lastID  string
	closed  bool
}

// next returns the events that have arrived, whole ones only, and io.EOF after
// the last one of a complete answer.
func (s *stream) next(limit time.Duration) ([]byte, error) {
	for {
		if events := s.takeWhole(); events != nil {
			return events, nil
		}
		if limit > 0 {
			if err := s.answer.SetReadLimit(time.Now().Add(limit)); err != nil {
				return nil, errors.Wrap(upstream.ErrBroken, err.Error())
			}
		}
		var buf [2048]byte
		n, err := s.answer.Read(buf[:])
		s.pending = append(s.pending, buf[:n]...)
		if err == nil {
			continue
		}
		if events := s.takeWhole(); events != nil {
			if errors.Is(err, io.EOF) && len(s.pending) == 0 {
				return events, io.EOF
			}
			return events, s.broken(err)
		}
		if errors.Is(err, io.EOF) && len(s.pending) == 0 {
			return nil, io.EOF
		}
		return nil, s.broken(err)
	}
}

// broken is the error of an answer that ended inside an event or failed.
func (s *stream) broken(err error) error {
	if errors.Is(err, io.EOF) {
		return errors.Wrap(upstream.ErrBroken, "the answer ended inside an event")
	}
	return err
}

// takeWhole removes the whole events from the buffer; nil if there are none.
func (s *stream) takeWhole() []byte {
	end := bytes.LastIndex(s.pending, eventEnd)
	if end < 0 {
		return nil
	}
	events := s.pending[:end+len(eventEnd)]
	s.pending = append(make([]byte, 0, eventBufferBytes), s.pending[end+len(eventEnd):]...)
	s.noteID(events)
	return events
}

// noteID remembers the id of the last event.
func (s *stream) noteID(events []byte) {
	for line := range bytes.Lines(events) {
		if id, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("id:")); ok {
			s.lastID = string(bytes.TrimSpace(id))
		}
	}
}

// close ends the exchange with the engine; an unfinished run is cancelled by it.
func (s *stream) close(outcome placement.Outcome) {
	if s.closed {
		return
	}
	s.closed = true
	s.answer.Close()
	s.g.model.End(s.ticket, outcome, time.Now())
}

// answer passes the stream on. The head is sent with the first events, so that
// a run that breaks off before them can begin anew elsewhere.
func (g *generation) answer(s *stream) *refusal.Refusal {
	for {
		if s.answer.Status >= 300 {
			return g.failedAnswer(s)
		}
		events, err := s.next(g.readLimit())
		if len(events) > 0 {
			g.firstEvents(s, events, err)
			return nil
		}
		if errors.Is(err, io.EOF) {
			g.empty(s)
			return nil
		}
		g.h.began(g.x)
		next, r := g.resume(s, err)
		if r != nil {
			return r
		}
		s = next
	}
}

// failedAnswer returns the failure of an engine.
func (g *generation) failedAnswer(s *stream) *refusal.Refusal {
	body, err := s.answer.ReadAll(maxAnswerBytes)
	g.h.began(g.x)
	if s.answer.Status >= 500 {
		g.h.failed(s.member, outlier.Erratic, statusError(s.answer))
	}
	s.close(placement.Failed)
	if err != nil {
		return refusal.Unknown(502, refusal.CodeEndpointFailed, "the engine's answer is incomplete").Because(err)
	}
	g.x.respond(s.answer, body)
	return nil
}

// empty answers a complete stream without events.
func (g *generation) empty(s *stream) {
	g.h.began(g.x)
	s.close(placement.Completed)
	g.x.respond(s.answer, nil)
}

// readLimit is how long a stream may show nothing.
func (g *generation) readLimit() time.Duration {
	if g.x.route.Runnable() && g.x.sends < g.x.route.MaxAttempts {
		return silenceLimit
	}
	return 0
}

// firstEvents sends the head and hands the rest of the answer to the server,
// which reads it from the body.
func (g *generation) firstEvents(s *stream, events []byte, err error) {
	g.h.began(g.x)
	x := g.x
	x.firstByte = time.Now()
	x.status = s.answer.Status
	x.trace["first_event_ms"] = x.firstByte.Sub(s.sentAt).Milliseconds()
	g.h.Metrics.FirstEvent.Record(x.firstByte.Sub(s.sentAt))
	x.copyHead(s.answer)
	x.streaming = true
	x.ctx.Response.ImmediateHeaderFlush = true
	x.ctx.SetBodyStream(&body{g: g, s: s, events: events, err: err}, -1)
}

// resume continues a broken stream at another engine, or returns the refusal
// that ends the request.
func (g *generation) resume(s *stream, cause error) (*stream, *refusal.Refusal) {
	s.close(placement.Failed)
	g.h.judge(g.x, s.member, cause)
	if r := g.x.ended(); r != nil {
		return nil, r
	}
	if s.lastID != "" {
		g.delivered = s.lastID
	}
	g.job.Exclude = append(g.job.Exclude, s.member.ID)
	if !g.mayRunAgain(cause) {
		return nil, refusal.Unknown(502, refusal.CodeEndpointFailed, "the stream broke off").Because(cause)
	}
	g.h.Metrics.Resumed.Add(1)
	return g.open()
}

// body is the rest of a streamed answer. A read error makes the server close the
// connection without the end of the body.
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
				b.finish()
				return 0, io.EOF
			}
			next, r := b.g.resume(b.s, b.err)
			if r == nil && next.answer.Status >= 300 {
				next.close(placement.Failed)
				r = refusal.Unknown(502, refusal.CodeEndpointFailed, "the stream could not be resumed")
			}
			if r != nil {
				b.g.x.outcome = "broken"
				b.g.x.trace["cause"] = r.Error()
				return 0, r
			}
			b.s, b.err = next, nil
		}
		b.events, b.err = b.s.next(b.g.readLimit())
	}
	n := copy(p, b.events)
	b.events = b.events[n:]
	return n, nil
}

func (b *body) finish() {
	b.g.h.Outliers.Succeeded(b.s.member, time.Now())
	b.s.close(placement.Completed)
}

// Close implements io.Closer; the server calls it once the answer is written or
// has failed.
func (b *body) Close() error {
	if !b.s.closed && b.g.x.outcome == "served" {
		b.g.x.outcome = "caller_gone"
	}
	b.s.close(placement.Failed)
	b.g.x.end()
	return nil
}
