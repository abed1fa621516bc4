package quotashare

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

// The first bytes of the encodings (RFC 8949, arrays of eight and nine elements) tell them from
// other datagrams between hosts.
const (
	// QuestionHeader is that of a question, AnswerHeader that of an answer.
	QuestionHeader = 0x88
	AnswerHeader   = 0x89
)

// Kinds of questions.
const (
	// kindAsk asks for tokens, kindForwarded as well, for another host that took the
	// sender for the owner.
	kindAsk       = 1
	kindForwarded = 2
	// kindReturn gives tokens back, kindHandover passes a bucket to the new owner.
	kindReturn   = 3
	kindHandover = 4
)

// reasonLeaving is the Reason of an answer without a decision from a host that stops.
const reasonLeaving = "leaving"

// question is sent twice at most, until its answer arrives.
type question struct {
	_    struct{} `cbor:",toarray"`
	Kind uint8
	// Host and ID identify the question.
	Host        string
	ID          uint64
	Team        string
	Rate, Burst float64
	// Tokens is the level of the bucket in a handover.
	Tokens float64
	// Stamp is that of the decision whose tokens are given back. In a handover it is 1 if
	// the sender stops.
	Stamp int64
}

// answer is the answer to a question.
type answer struct {
	_           struct{} `cbor:",toarray"`
	ID          uint64
	Grant       bool
	AfterMicros int64
	Reason      string
	Stamp       int64
	// Owner decided; it is empty if it is the sender.
	Owner        string
	Level, Share float64
	// Decided is false if the sender could not reach the owner.
	Decided bool
}

// encoding writes numbers in as few bytes as they need.
var encoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode()
	if err != nil {
		panic(errors.Wrap(err, "quota datagrams"))
	}
	return mode
}()

func encode(v any) []byte {
	data, err := encoding.Marshal(v)
	if err != nil {
		// The types above have no values that cannot be encoded.
		panic(errors.Wrap(err, "encode quota datagram"))
	}
	return data
}
