// Package refusal defines the answer to a request that is not served. Each
// refusal says whether the request may have run, so that the caller knows
// whether it may repeat it.
package refusal

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Ran says whether a refused request has run.
type Ran string

const (
	// RanNo promises that the request has not run and never will.
	RanNo Ran = "no"
	// RanUnknown makes no promise.
	RanUnknown Ran = "unknown"
)

// Codes of refusals. Callers match them, so they do not change.
const (
	CodeInvalidRequest      = "invalid_request"
	CodeBodyTooLarge        = "body_too_large"
	CodeHeadersTooLarge     = "headers_too_large"
	CodeRequestTimeout      = "request_timeout"
	CodeMethodNotAllowed    = "method_not_allowed"
	CodeNotFound            = "not_found"
	CodeUnknownModel        = "unknown_model"
	CodeMissingKey          = "missing_key"
	CodeUnknownKey          = "unknown_key"
	CodeKeyWithdrawn        = "key_withdrawn"
	CodeKeyUnconfirmed      = "key_unconfirmed"
	CodeTeamNotAllowed      = "team_not_allowed"
	CodeIdempotencyRequired = "idempotency_key_required"
	CodeIdempotencyReused   = "idempotency_key_reused"
	CodeRecordUnavailable   = "attempt_record_unavailable"
	CodeOutcomeUnknown      = "outcome_unknown"
	CodeQuotaExceeded       = "quota_exceeded"
	CodeOverloaded          = "overloaded"
	CodeNoEndpoint          = "no_endpoint"
	CodeQuarantined         = "request_quarantined"
	CodeSuspectedRunning    = "request_suspected"
	CodeTooLate             = "too_late"
	CodeEndpointFailed      = "endpoint_failed"
	CodeCallerGone          = "caller_gone"
	CodeStopping            = "stopping"
	CodeNotReady            = "not_ready"
)

// Refusal is an error that is sent to the caller. Its methods do not change it.
type Refusal struct {
	// Status is the HTTP status.
	Status int
	// Code is one of the Code constants.
	Code string
	// Message is one sentence for a human reader.
	Message string
	Ran     Ran
	// RetryAfter is when a repeat is expected to be served; zero if unknown.
	RetryAfter time.Duration
	// Cause is logged and never sent to the caller; it may be nil.
	Cause error
}

// Error implements the error interface.
func (r *Refusal) Error() string {
	if r.Cause != nil {
		return fmt.Sprintf("%s: %s: %v", r.Code, r.Message, r.Cause)
	}
	return r.Code + ": " + r.Message
}

// Unwrap returns the cause.
func (r *Refusal) Unwrap() error { return r.Cause }

// NotRun returns a refusal that promises that the request has not run.
func NotRun(status int, code, message string) *Refusal {
	return &Refusal{Status: status, Code: code, Message: message, Ran: RanNo}
}

// Unknown returns a refusal that makes no promise on whether the request ran.
func Unknown(status int, code, message string) *Refusal {
	return &Refusal{Status: status, Code: code, Message: message, Ran: RanUnknown}
}

// WithRetryAfter returns a copy of r with the time after which to retry.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	c := *r
	c.RetryAfter = d
	return &c
}

// WithCause returns a copy of r with the cause.
func (r *Refusal) WithCause(err error) *Refusal {
	c := *r
	c.Cause = err
	return &c
}

// From returns the first Refusal in the chain of err. Any other error becomes
// one that makes no promise on whether the request ran.
func From(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return Unknown(502, CodeEndpointFailed, "the request failed and may have run").WithCause(err)
}

// Body is the JSON document in which a caller receives a refusal.
type Body struct {
	Error BodyError `json:"error"`
}

// BodyError is the inner object of Body.
type BodyError struct {
	Code      string `json:"code"`
	Message   string `json:"message"`
	Type      string `json:"type"`
	Ran       Ran    `json:"ran"`
	RequestID string `json:"request_id"`
}

// JSON returns the encoded Body of the refusal of a request.
func (r *Refusal) JSON(requestID string) []byte {
	body, err := json.Marshal(Body{Error: BodyError{
		Code:      r.Code,
		Message:   r.Message,
		Type:      "refusal",
		Ran:       r.Ran,
		RequestID: requestID,
	}})
	if err != nil {
		return []byte(`{"error":{"code":"` + r.Code + `"}}`)
	}
	return body
}

// StatusPromisesNotRun reports whether callers take a status by itself as the promise that
// the request has not run and never will.
func StatusPromisesNotRun(status int) bool {
	return status == 408 || status == 421 || status == 429 || status == 503
}

// Attributable reports whether an answer that names the request answered, empty if it
// names none, belongs to the request with the id. On a connection in use again, a peer
// at fault may repeat its answer to an earlier request, so that only an answer that
// names the request counts.
func Attributable(answered, id string, reusedConn bool) bool {
	return answered == id || answered == "" && !reusedConn
}
