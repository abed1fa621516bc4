package once

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/pkg/errors"
)

// Kinds of record in the attempts stream.
const (
	kindAttempt   = "attempt"
	kindOutcome   = "outcome"
	kindAbandoned = "abandoned"
	// kindMarker records have an empty body. They show a starting host how far
	// back its view of a quiet stream reaches.
	kindMarker = "marker"
)

var (
	// ErrNotRun reports a request that did not run and will not run.
	ErrNotRun = errors.New("request was not run")
	// ErrOutcomeUnknown reports a request that may have run or may still run.
	ErrOutcomeUnknown = errors.New("it is unknown whether the request ran")
	// ErrKeyReused reports an idempotency key that was used for another request
	// within the deduplication period. This request did not run: the error also
	// wraps ErrNotRun.
	ErrKeyReused error = &reusedError{}
)

type reusedError struct{}

func (*reusedError) Error() string { return "idempotency key was used for another request" }

// Unwrap returns ErrNotRun.
func (*reusedError) Unwrap() error { return ErrNotRun }

// Request identifies a non-repeatable request.
type Request struct {
	Team string
	// Key is the caller's idempotency key. It is hashed and not kept.
	Key string
	// Digest identifies the content of the request.
	Digest [sha256.Size]byte
}

// Header is one header field of an outcome.
type Header struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// Outcome is the receiver's HTTP response.
type Outcome struct {
	Status  int      `json:"status"`
	Headers []Header `json:"headers,omitempty"`
	Body    []byte   `json:"body,omitempty"`
	// BodyOmitted is set if the outcome comes from the table and its body
	// exceeded OutcomeBodyLimit or was evicted.
	BodyOmitted bool `json:"body_omitted,omitempty"`
}

type keyHash [sha256.Size]byte

// hashKey separates team and key by a NUL byte, which neither may contain.
func hashKey(team, key string) keyHash {
	return sha256.Sum256([]byte(team + "\x00" + key))
}

type attemptRecord struct {
	Team        string `json:"team"`
	KeyHash     string `json:"key_hash"`
	Digest      string `json:"digest"`
	Incarnation string `json:"incarnation"`
	Attempt     string `json:"attempt"`
}

type outcomeRecord struct {
	KeyHash string `json:"key_hash"`
	Attempt string `json:"attempt"`
	// Unknown is set if the request may have run and its result is unknown.
	Unknown bool    `json:"unknown,omitempty"`
	Outcome Outcome `json:"outcome"`
}

type abandonedRecord struct {
	KeyHash string `json:"key_hash"`
	Attempt string `json:"attempt"`
}

func parseHash(text string) (h keyHash, ok bool) {
	n, err := decodeHex(h[:], text)
	return h, err == nil && n == len(h)
}

// decodeHex rejects text of another length; hex.Decode would write past the end
// of dst.
func decodeHex(dst []byte, text string) (int, error) {
	if len(text) != 2*len(dst) {
		return 0, hex.ErrLength
	}
	return hex.Decode(dst, []byte(text))
}
