// Package steperr provides an error that names the failed step and its peer, so
// that one log line shows where a failure originated.
package steperr

import (
	"fmt"

	"github.com/pkg/errors"
)

// Error is the failure of one step with one peer.
type Error struct {
	// Step names the operation, for example "append record".
	Step string
	// Peer names the remote side: an address, a host or an endpoint.
	Peer string
	// Err is the cause.
	Err error
}

// Error implements the error interface.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: peer %s: %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *Error) Unwrap() error { return e.Err }

// Wrap returns err with the step and the peer, or nil if err is nil.
func Wrap(err error, step, peer string) error {
	if err == nil {
		return nil
	}
	return &Error{Step: step, Peer: peer, Err: err}
}

// StepAndPeer returns the innermost step and peer in the chain of err, which is
// where the failure originated. It returns empty strings if there are none.
func StepAndPeer(err error) (step, peer string) {
	for {
		var e *Error
		if !errors.As(err, &e) {
			return step, peer
		}
		step, peer, err = e.Step, e.Peer, e.Err
	}
}
