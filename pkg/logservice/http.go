package logservice

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/jsonhttp"
)

// AppendRequest is the body of POST /v1/streams/{stream}/records.
type AppendRequest struct {
	Records [][]byte `json:"records"`
}

// AppendAnswer is the body of a successful answer to an append.
type AppendAnswer struct {
	FirstOffset int64 `json:"first_offset"`
}

// TruncatedAnswer is the body of status 410, the answer to a read from a
// truncated offset.
type TruncatedAnswer struct {
	Oldest int64 `json:"oldest"`
	Era    int64 `json:"era,omitempty"`
}

// HTTPClient is a Client for the service's HTTP protocol, see docs/platform.md.
type HTTPClient struct {
	http *jsonhttp.Client
}

// NewHTTPClient returns a client that sends requests through c.
func NewHTTPClient(c *jsonhttp.Client) *HTTPClient { return &HTTPClient{http: c} }

// Append implements Client.
func (c *HTTPClient) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	var answer AppendAnswer
	path := "/v1/streams/" + stream + "/records"
	err := c.http.Do(ctx, http.MethodPost, path, AppendRequest{Records: records}, &answer)
	if err == nil {
		return answer.FirstOffset, nil
	}
	return 0, &outcomeError{outcome: appendOutcome(err), cause: err}
}

// appendOutcome returns ErrNotAppended for a failed append that certainly had no
// effect, otherwise ErrOutcomeUnknown. Only a request that was not sent, or that
// was refused with 4xx, certainly had no effect. A 5xx may come from a proxy
// whose upstream did append.
func appendOutcome(err error) error {
	var notSent *jsonhttp.NotSentError
	if errors.As(err, &notSent) {
		return ErrNotAppended
	}
	var status *jsonhttp.StatusError
	if errors.As(err, &status) && status.Status >= 400 && status.Status < 500 {
		return ErrNotAppended
	}
	return ErrOutcomeUnknown
}

// outcomeError wraps both the outcome of a request, such as ErrNotAppended, and
// its cause.
type outcomeError struct {
	outcome error
	cause   error
}

func (e *outcomeError) Error() string   { return e.outcome.Error() + ": " + e.cause.Error() }
func (e *outcomeError) Unwrap() []error { return []error{e.outcome, e.cause} }

// Read implements Client.
func (c *HTTPClient) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Page, error) {
	var page Page
	path := fmt.Sprintf("/v1/streams/%s/records?from=%d&max=%d&wait_ms=%d", stream, from, limit, wait.Milliseconds())
	err := c.http.DoWait(ctx, http.MethodGet, path, nil, &page, wait)
	if err == nil {
		return page, nil
	}
	var status *jsonhttp.StatusError
	if errors.As(err, &status) && status.Status == http.StatusGone {
		var truncated TruncatedAnswer
		if json.Unmarshal(status.Body, &truncated) == nil {
			return Page{}, &TruncatedError{Oldest: truncated.Oldest, Era: truncated.Era}
		}
	}
	return Page{}, &outcomeError{outcome: ErrUnavailable, cause: err}
}
