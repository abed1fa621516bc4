package relay

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/placement"
	"github.com/clementineshed/clementineshed/pkg/upstream"
)

// Call is a caller's request.
type Call struct {
	// ID identifies this attempt of the caller.
	ID     string
	Method string
	// Target is the request target as it came, Path the part before the query.
	Target, Path, Host string
	// Key is the caller's key; empty if it sent none.
	Key string
	// Timeout is how long the caller will wait; zero if it did not say.
	Timeout time.Duration
	// Prompt is nil if the request asks for no model work.
	Prompt *Prompt
	// LastEventID is set when the caller resumes a stream.
	LastEventID string
	// Resumes is the ID of the caller's attempt that brought the first event of the
	// stream; empty if the caller does not state it.
	Resumes string
	// Fields are the end-to-end fields without those that only the system sets.
	Fields upstream.Fields
	// Body may refer to the server's buffer until the answer has been written.
	Body []byte
}

// Prompt describes the model work that a request asks for.
type Prompt struct {
	Model string
	Parts []placement.Part
	// Tokens is the size of the prompt, MaxOutput the limit on the output, both in
	// tokens.
	Tokens, MaxOutput int
}

// Phase is the part of the work that an endpoint is asked for.
type Phase int

// Phases. PhasePrefill is the prefill, which returns a handle. PhaseDecode is the
// decode from a handle. PhaseFull is both at one engine, and the work of plain
// services.
const (
	PhaseFull Phase = iota
	PhasePrefill
	PhaseDecode
)

// ForwardOptions is what the system adds to a request to an endpoint.
type ForwardOptions struct {
	// EndpointID is the instance that must take the request. Any other one refuses
	// it.
	EndpointID string
	// Team is empty on public routes.
	Team string
	// Remaining is the time until the request's deadline.
	Remaining time.Duration
	Phase     Phase
	// HasPriority says that the request carries Priority; 0 is the most urgent.
	HasPriority bool
	Priority    int
	// CopyFrom is the address of an engine whose cached parts of the prompt are to
	// be copied.
	CopyFrom string
	// Handle is the finished prefill to decode from, HandleAddress the address of
	// its engine.
	Handle, HandleAddress string
	// LastEventID is the id of the last event that the caller has received.
	LastEventID string
}

// AnswerHeader is what the header of an answer states about it.
type AnswerHeader struct {
	// RequestID is the request that it answers; empty if it does not say.
	RequestID string
	// Stamped says that the answer carries the stamp of an endpoint.
	Stamped bool
	// Leaving says that the endpoint leaves and is to get no new work.
	Leaving bool
	// RetryAfter is the time for which the endpoint wants no requests if the status is
	// 503; zero if it does not say.
	RetryAfter time.Duration
	// NotRun says that the endpoint has not run the request and never will.
	NotRun bool
}

// Codec translates between this package and the wire formats of callers and
// endpoints. It must be safe for concurrent use.
type Codec interface {
	// Decode decodes a caller's request. The call must not refer to memory of ctx,
	// except for its body.
	Decode(ctx *fasthttp.RequestCtx) (Call, error)
	// Fields returns the header of a request to an endpoint.
	Fields(call *Call, opts ForwardOptions) upstream.Fields
	// DecodeAnswerHeader decodes the header of an endpoint's answer.
	DecodeAnswerHeader(answer *upstream.Answer) AnswerHeader
	// Handle returns the handle in the body of an answer to PhasePrefill.
	Handle(body []byte) (string, error)
	// FreeHandle returns the request that frees a handle of the engine at address.
	FreeHandle(address, handle string) *upstream.Request
}
