// Package enginewire defines the messages of the engines' HTTP protocol, see
// docs/platform.md. Clients and the simulated engine share it.
package enginewire

import "github.com/clementineshed/clementineshed/pkg/endpoint"

// Paths of the engine protocol.
const (
	PathGenerate    = "/v1/generate"
	PathCancel      = "/v1/cancel"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache-events"
	PathOrders      = "/v1/orders"
	// PathKV is followed by a slash and the request id of a prefill.
	PathKV = "/v1/kv"
	// PathOrderConnections is also part of the platform's API.
	PathOrderConnections = "/v1/order-connections"
)

// HeaderOrderHolder names the lease holder on each request of an order
// connection. The receiver registers the connection under this name.
const HeaderOrderHolder = "X-Order-Holder"

// OrderConnections answers GET PathOrderConnections.
type OrderConnections struct {
	// Holders are the lease holders with an open connection or with an order
	// that may still be applied, sorted and without duplicates.
	Holders []string `json:"holders"`
}

// GenerateRequest starts or resumes a stream.
type GenerateRequest struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	// CacheSalt separates the prefix caches of teams. It is neither secret nor
	// derived from a key.
	CacheSalt string `json:"cache_salt"`
	MaxTokens int    `json:"max_tokens"`
	// Priority orders queued requests; a higher value runs first.
	Priority int `json:"priority"`
	// SkipTokens resumes a stream. The engine generates the same output but
	// sends only the tokens from this index on.
	SkipTokens int `json:"skip_tokens,omitempty"`
	// KVFrom is the "IP:port" of an engine that has prefilled the same prompt
	// under the same request id. The engine imports its KV cache instead of
	// running the prefill.
	KVFrom string `json:"kv_from,omitempty"`
}

// KVAnswer answers GET PathKV/{request id} after the KV cache transfer.
type KVAnswer struct {
	PromptHash uint64 `json:"prompt_hash,string"`
	Tokens     int    `json:"tokens"`
}

// Event is the JSON of one server-sent event of a stream. While there is no
// token, the engine sends a comment line every second.
type Event struct {
	RequestID string `json:"request_id"`
	// Index counts tokens from 0.
	Index int    `json:"index"`
	Token string `json:"token,omitempty"`
	// Done marks the last event. Only that event has the fields below.
	Done         bool   `json:"done,omitempty"`
	FinishReason string `json:"finish_reason,omitempty"`
	PromptTokens int    `json:"prompt_tokens,omitempty"`
	CachedTokens int    `json:"cached_tokens,omitempty"`
	OutputTokens int    `json:"output_tokens,omitempty"`
}

// CancelRequest stops a stream.
type CancelRequest struct {
	RequestID string `json:"request_id"`
}

// CacheEvent reports that a prefix chunk was stored or evicted. Events arrive
// late and with gaps: Sequence also counts events that are never published.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Hash     uint64 `json:"hash,string"`
	Stored   bool   `json:"stored"`
}

// CacheEventsAnswer answers GET /v1/cache-events?from=SEQUENCE.
type CacheEventsAnswer struct {
	Instance string       `json:"instance"`
	Events   []CacheEvent `json:"events"`
	// Next is the sequence number from which to read next.
	Next int64 `json:"next"`
}

// OrderKind is what an Order makes the engine do.
type OrderKind string

// Kinds of order. OrderDrain makes the engine refuse new work, OrderResume
// makes it accept work again. OrderRole and OrderLoad make it unavailable for
// seconds.
const (
	OrderDrain  OrderKind = "drain"
	OrderResume OrderKind = "resume"
	OrderRole   OrderKind = "role"
	OrderLoad   OrderKind = "load"
)

// Order is the body of POST /v1/orders.
type Order struct {
	ID     string `json:"id"`
	Holder string `json:"holder"`
	// Fence is the fencing token of the holder's lease.
	Fence   int64         `json:"fence"`
	Kind    OrderKind     `json:"kind"`
	Role    endpoint.Role `json:"role,omitempty"`
	Model   string        `json:"model,omitempty"`
	Version string        `json:"version,omitempty"`
	Adapter string        `json:"adapter,omitempty"`
}

// Refusal is the body of a refused request or order. A refused generate
// request has not run.
type Refusal struct {
	Code string `json:"code"`
	// RequestID is the refused generate request. Without it, a refusal on a reused
	// connection may be that of an earlier request.
	RequestID string `json:"request_id,omitempty"`
	// Fence is the highest fencing token seen; set with CodeStaleFence only.
	Fence int64 `json:"fence,omitempty"`
}

// Refusal codes.
const (
	CodeDraining   = "draining"
	CodeWrongModel = "wrong_model"
	CodeWrongRole  = "wrong_role"
	CodeOverloaded = "overloaded"
	CodeStaleFence = "stale_fence"
	CodeChanging   = "changing"
)
