package callerconn

import (
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/refusal"
)

// ReadRefusal returns the refusal of a request that could not be read because of err.
func ReadRefusal(err error) *refusal.Refusal {
	r := refusal.NotRun(400, refusal.CodeInvalidRequest, "the request could not be read")
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.As(err, &small):
		r = refusal.NotRun(431, refusal.CodeHeadersTooLarge, "the request headers are too large")
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		r = refusal.NotRun(413, refusal.CodeBodyTooLarge, "the request body is too large")
	case isTimeout(err):
		r = refusal.NotRun(408, refusal.CodeRequestTimeout, "the request did not arrive in time")
	}
	return r.WithCause(err)
}
