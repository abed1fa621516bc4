package placement

import (
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/fleet"
)

// Part is a piece of a prompt that other prompts may share.
type Part struct {
	ID     uint64
	Tokens int
}

// Job is a request for model work.
type Job struct {
	// Parts are the prompt in order; the last one belongs to this request.
	Parts        []Part
	PromptTokens int
	// Late work has missed its target, or will.
	Late bool
	// Exclude lists engines that have failed the request.
	Exclude []string
}

// Choice is an engine for one phase.
type Choice struct {
	Engine fleet.Member
	// Source is an engine that holds more of the prompt, to copy from; its ID is
	// empty if there is none.
	Source fleet.Member
	// Uncached is the number of prompt tokens that the engine has to read.
	Uncached int
	// Copied is the number of tokens that come from Source.
	Copied int
	// Wait is the expected time until the phase begins, Work its own length.
	Wait, Work time.Duration
	// Copying is the part of Work that the copy from Source takes.
	Copying time.Duration
	// Latency is what the phase takes besides, without keeping the engine busy.
	Latency time.Duration
}

// Expected is the time until the phase is expected to be complete.
func (c Choice) Expected() time.Duration { return c.Wait + c.Work + c.Latency }

// Sent is one send of this or another host.
type Sent struct {
	EngineID string
	Role     endpoint.Role
	// WorkMicros is the time that the engine, or its link for a decode send, is
	// expected to be busy with it, in microseconds.
	WorkMicros int64
	// Parts will be held by the engine once the work is done.
	Parts []Part
}
