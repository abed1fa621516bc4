// Package enginewire defines the messages of the engines' HTTP protocol, see
// docs/platform.md. Client and stand-in share it.
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
	// PathOrderConnections is also served by the platform's interfaces.
	PathOrderConnections = "/v1/order-connections"
)

// HeaderOrderHolder names the holder on each request of a connection that
// carries an order, and so registers the connection.
const HeaderOrderHolder = "X-Order-Holder"

// OrderConnections answers GET PathOrderConnections.
type OrderConnections struct {
	// Holders are the holders with a connection that is open, or from which an
	// order may still be applied, sorted and each named once.
	Holders []string `json:"holders"`
}

// GenerateRequest starts or resumes a stream.
type GenerateRequest struct {
	RequestID string `json:"request_id"`
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	Prompt    string `json:"prompt"`
	// CacheSalt separates the prefix caches of teams. It is not secret and not
	// derived from a key.
	CacheSalt string `json:"cache_salt"`
	MaxTokens int    `json:"max_tokens"`
	// Priority orders waiting requests; higher runs first.
	Priority int `json:"priority"`
	// SkipTokens resumes a stream: the engine generates the same output but
	// sends only tokens from this index on.
	SkipTokens int `json:"skip_tokens,omitempty"`
	// KVFrom is the "IP:port" of an engine that has prefilled the same prompt
	// under the same request id. Its KV cache is imported instead of a prefill.
	KVFrom string `json:"kv_from,omitempty"`
}

// KVAnswer answers GET PathKV/{request id} once the KV cache was transferred.
type KVAnswer struct {
	PromptHash uint64 `json:"prompt_hash,string"`
	Tokens     int    `json:"tokens"`
}

// Event is the JSON of one server-sent event of a stream. A comment line is
// sent every second while there is no token.
type Event struct {
	RequestID string `json:"request_id"`
	// Index counts tokens from 0.
	Index int    `json:"index"`
	Token string `json:"token,omitempty"`
	// Done closes the stream; the counts below are set with it.
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

// CacheEvent reports that a prefix chunk was stored or evicted. Events come
// late and with gaps: Sequence counts all events, also those never published.
type CacheEvent struct {
	Sequence int64  `json:"sequence"`
	Hash     uint64 `json:"hash,string"`
	Stored   bool   `json:"stored"`
}

// CacheEventsAnswer answers GET /v1/cache-events?from=SEQUENCE.
type CacheEventsAnswer struct {
	Instance string       `json:"instance"`
	Events   []CacheEvent `json:"events"`
	// Next is the sequence number to ask from next.
	Next int64 `json:"next"`
}

// OrderKind names an order to an engine.
type OrderKind string

// Kinds of order. Drain makes the engine refuse new work; Resume takes new
// work again. Role and Load remove the engine for seconds.
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
	// Fence is the fencing number of the holder's lease.
	Fence   int64         `json:"fence"`
	Kind    OrderKind     `json:"kind"`
	Role    endpoint.Role `json:"role,omitempty"`
	Model   string        `json:"model,omitempty"`
	Version string        `json:"version,omitempty"`
	Adapter string        `json:"adapter,omitempty"`
}

// Refusal is the body of a refused request or order. Refused generate requests
// have not run.
type Refusal struct {
	Code string `json:"code"`
	// Fence is the highest fencing number seen, with code CodeStaleFence.
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
