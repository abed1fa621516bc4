package httpd

import (
	"encoding/json"

	"github.com/valyala/fasthttp"
)

// ErrorAnswer is the body of an error response.
type ErrorAnswer struct {
	// Code is stable; see docs/platform.md.
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Error codes that every stand-in uses.
const (
	CodeBadRequest  = "bad_request"
	CodeNotFound    = "not_found"
	CodeUnavailable = "unavailable"
	CodeRateLimited = "rate_limited"
)

// WriteJSON sends value as JSON with status. A value that cannot be encoded is
// answered with status 500.
func WriteJSON(ctx *fasthttp.RequestCtx, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		WriteError(ctx, fasthttp.StatusInternalServerError, "internal", err.Error())
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// WriteError sends an ErrorAnswer with status.
func WriteError(ctx *fasthttp.RequestCtx, status int, code, message string) {
	WriteJSON(ctx, status, ErrorAnswer{Code: code, Message: message})
}

// Decode reads the JSON body into out. If the body is invalid, it answers status
// 400 and returns false.
func Decode(ctx *fasthttp.RequestCtx, out any) bool {
	if err := json.Unmarshal(ctx.PostBody(), out); err != nil {
		WriteError(ctx, fasthttp.StatusBadRequest, CodeBadRequest, err.Error())
		return false
	}
	return true
}

// Headers returns a copy of the request headers. Of a repeated header the last
// value is kept.
func Headers(ctx *fasthttp.RequestCtx) map[string]string {
	headers := map[string]string{}
	for key, value := range ctx.Request.Header.All() {
		headers[string(key)] = string(value)
	}
	return headers
}
