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
	// Patience is how long the caller will wait; zero if it did not say.
	Patience time.Duration
	// Prompt is nil if the request names no model work.
	Prompt *Prompt
	// LastEventID is set when the caller resumes a stream.
	LastEventID string
	// Fields are the end-to-end fields without those that only the system sets.
	Fields upstream.Fields
	Body   []byte
}

// Prompt is what a request says of its model work.
type Prompt struct {
	Model string
	Parts []placement.Part
	// Tokens is the size of the prompt, MaxOutput the limit of the output.
	Tokens, MaxOutput int
}

// Phase is the part of the work that an endpoint is asked for.
type Phase int

// Phases. Whole also stands for plain services.
const (
	Whole Phase = iota
	ReadPrompt
	Generate
)

// Send is what the system adds to a request.
type Send struct {
	// EndpointID is the instance that must take the request.
	EndpointID string
	// Team is empty on open routes.
	Team  string
	Left  time.Duration
	Phase Phase
	// Ranked requests carry Priority; 0 is the most urgent.
	Ranked   bool
	Priority int
	// CopyFrom is the address of an engine that holds parts of the prompt.
	CopyFrom string
	// Handle and HandleAt name the finished prefill to go on from.
	Handle, HandleAt string
	// LastEventID is the last event that the caller has.
	LastEventID string
}

// Verdict is what an answer says of itself.
type Verdict struct {
	// RequestID is the request that it answers; empty if it does not say.
	RequestID string
	// Signed answers were made by an endpoint.
	Signed bool
	// NotRun says that the endpoint has not run the request and never will.
	NotRun bool
}

// Codec translates between callers, endpoints and this package.
type Codec interface {
	// Decode reads a caller's request. The call must not refer to ctx.
	Decode(ctx *fasthttp.RequestCtx) (Call, error)
	// Fields renders the header of a request to an endpoint.
	Fields(call *Call, send Send) upstream.Fields
	// Verdict reads the header of an endpoint's answer.
	Verdict(answer *upstream.Answer) Verdict
	// Handle reads the answer to ReadPrompt.
	Handle(body []byte) (string, error)
	// FreeHandle renders the request that frees a handle.
	FreeHandle(host, handle string) *upstream.Request
}
