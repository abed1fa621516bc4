package peer

import (
	"fmt"

	"github.com/pkg/errors"
)

var (
	// ErrNotSent reports that the peer certainly did not see the message.
	ErrNotSent = errors.New("message was not sent")
	// ErrUnknownHost reports a host without a known address.
	ErrUnknownHost = errors.New("no address is known for the host")
	// ErrBackoff reports that the last dial failed and the backoff has not ended.
	ErrBackoff = errors.New("waiting before the next dial")
	// ErrBusy reports that MaxInFlightPerHost requests to the host are in flight.
	ErrBusy = errors.New("too many requests in flight")
	// ErrTooLarge reports a message over the size limit.
	ErrTooLarge = errors.New("message exceeds the size limit")
	// ErrClosed reports a node that was closed.
	ErrClosed = errors.New("node is closed")
	// ErrTimeout reports that no answer came in time. Unless the error also wraps
	// ErrNotSent, the peer may have handled the message.
	ErrTimeout = errors.New("no answer in time")
)

// Code classifies an answer.
type Code string

// Codes of answers.
const (
	CodeOK Code = "ok"
	// CodeBusy means that the request did not run because the host already serves
	// MaxServing messages.
	CodeBusy Code = "busy"
	// CodeNoHandler means that the host does not know the kind.
	CodeNoHandler Code = "no_handler"
	// CodeMalformed means that the body could not be decoded.
	CodeMalformed Code = "malformed"
	// CodeFailed means that the handler returned an error.
	CodeFailed Code = "failed"
)

// RemoteError is an answer other than CodeOK.
type RemoteError struct {
	Code    Code
	Message string
}

// Error implements the error interface.
func (e *RemoteError) Error() string {
	if e.Message == "" {
		return string(e.Code)
	}
	return fmt.Sprintf("%s: %s", e.Code, e.Message)
}

// Is matches ErrNotSent if the handler did not run (CodeBusy, CodeNoHandler,
// CodeMalformed), so that callers need to test for ErrNotSent only.
func (e *RemoteError) Is(target error) bool {
	return target == ErrNotSent && (e.Code == CodeBusy || e.Code == CodeNoHandler || e.Code == CodeMalformed)
}

func notSent(cause error) error { return fmt.Errorf("%w: %w", ErrNotSent, cause) }
