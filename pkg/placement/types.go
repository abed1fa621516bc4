package placement

import (
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/fleet"
)

// Part is a contiguous piece of a prompt, the unit of prefix caching. Parts
// with the same ID have the same content.
type Part struct {
	ID     uint64
	Tokens int
}

// Job describes a request for model work.
type Job struct {
	// Parts is the prompt in order. Only the last part is specific to this
	// request.
	Parts        []Part
	PromptTokens int
	// OutputLimit is the limit of the output in tokens; zero if there is none.
	OutputLimit int
	// Late is set when the request has missed its target or is expected to.
	Late bool
	// Due is when the phase that is chosen must be complete for the request to be in
	// time; zero if that is not known.
	Due time.Time
	// Exclude lists the IDs of engines that have failed the request.
	Exclude []string
	// Software is the software version that the work is bound to; empty if any engine may
	// take it.
	Software string
}

// Choice is the engine chosen for one phase and the expected timing there.
type Choice struct {
	Engine fleet.Member
	// Source is an engine with a longer cached prefix of the prompt, to copy KV
	// cache from. Its ID is empty if nothing is copied.
	Source fleet.Member
	// Uncached is the number of prompt tokens that the engine has to prefill.
	Uncached int
	// Copied is the number of tokens whose KV cache comes from Source.
	Copied int
	// Wait is the expected time until the phase begins. Work is the time for
	// which the phase occupies the engine, or its link if the phase is a
	// decode.
	Wait, Work time.Duration
	// Shortest is the least Wait at any of the engines that could take a prefill.
	Shortest time.Duration
	// Copying is the part of Work that the copy from Source takes.
	Copying time.Duration
	// Latency is the additional time that the phase takes without occupying the
	// engine.
	Latency time.Duration
	// Decoding is the expected time of the output; zero if it is not known.
	Decoding time.Duration
}

// Expected returns the expected time until the phase completes.
func (c Choice) Expected() time.Duration { return c.Wait + c.Work + c.Latency }

// SendReport reports one request that this or another host sent to an engine, or to
// an endpoint of a plain service, which has no role.
type SendReport struct {
	EngineID string
	Role     endpoint.Role
	// WorkMicros is the time for which the send is expected to occupy the
	// engine, or its link for a decode, or a slot of a plain endpoint, in microseconds.
	WorkMicros int64
	// Parts are the parts that the engine holds once the work is done.
	Parts []Part
	// Answers are the last answers of plain endpoints to the sender, which had a free
	// slot for the request.
	Answers []AnswerTime
}

// AnswerTime is the time in which a plain endpoint answered. EndpointHash is the hash
// of its ID.
type AnswerTime struct {
	EndpointHash uint64
	Micros       int64
}
