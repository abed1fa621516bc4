package endpointapi

import "github.com/clementineshed/clementineshed/pkg/endpoint"

// Paths of the platform's interfaces, see docs/platform.md.
const (
	PathHosts     = "/v1/hosts"
	PathEndpoints = "/v1/endpoints"
	PathProvision = "/v1/endpoints/provision"
	PathRelease   = "/v1/endpoints/release"
	PathUsage     = "/v1/usage"
	PathWeights   = "/v1/weights"
)

// HostState is the state of an entry host in the host list.
type HostState string

// States of hosts.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// Host is one entry of the host list.
type Host struct {
	Name string `json:"name"`
	// Instance changes when the host is replaced; a restarted process on the
	// same host keeps it.
	Instance        string    `json:"instance"`
	Domain          string    `json:"domain"`
	PeerAddress     string    `json:"peer_address"`
	OperatorAddress string    `json:"operator_address"`
	State           HostState `json:"state"`
}

// HostsAnswer answers GET /v1/hosts.
type HostsAnswer struct {
	Hosts []Host `json:"hosts"`
	// LagMillis is the maximum delay of a change in the list.
	LagMillis int64 `json:"lag_ms"`
}

// Kind is an endpoint kind that the platform offers.
type Kind struct {
	Name        string  `json:"name"`
	Reclaimable bool    `json:"reclaimable"`
	HourlyCost  float64 `json:"hourly_cost"`
	// Unavailable lists the failure domains where the kind can't be provisioned
	// now.
	Unavailable []string `json:"unavailable,omitempty"`
}

// EndpointsAnswer answers GET /v1/endpoints.
type EndpointsAnswer struct {
	Endpoints []endpoint.Endpoint `json:"endpoints"`
	Kinds     []Kind              `json:"kinds"`
}

// ProvisionOrder is the body of POST /v1/endpoints/provision. The interface
// ignores Fence.
type ProvisionOrder struct {
	// ID makes the order idempotent: a repeated ID gets the first answer.
	ID     string `json:"id"`
	Holder string `json:"holder"`
	Fence  int64  `json:"fence"`
	Domain string `json:"domain"`
	Kind   string `json:"kind"`
	// Service names the service that the endpoint runs; empty for an engine.
	Service string `json:"service,omitempty"`
	// Model and Version are what a new engine loads first.
	Model   string `json:"model,omitempty"`
	Version string `json:"version,omitempty"`
}

// ProvisionAnswer answers a provision order.
type ProvisionAnswer struct {
	EndpointID string `json:"endpoint_id"`
	// ReadyAtMillis is when the endpoint is expected to be live, in Unix
	// milliseconds.
	ReadyAtMillis int64 `json:"ready_at_ms"`
}

// ReleaseOrder is the body of POST /v1/endpoints/release. The interface ignores
// Fence.
type ReleaseOrder struct {
	ID         string `json:"id"`
	Holder     string `json:"holder"`
	Fence      int64  `json:"fence"`
	EndpointID string `json:"endpoint_id"`
}

// ReleaseAnswer answers a release order.
type ReleaseAnswer struct {
	// LeaveAtMillis is when the endpoint shuts down, in Unix milliseconds.
	LeaveAtMillis int64 `json:"leave_at_ms"`
}

// Figures are the billed quantities of one team and window.
type Figures struct {
	Requests     int64 `json:"requests"`
	PromptTokens int64 `json:"prompt_tokens"`
	CachedTokens int64 `json:"cached_tokens"`
	OutputTokens int64 `json:"output_tokens"`
}

// UsageReport is the body of POST /v1/usage.
type UsageReport struct {
	// ID is the same for every repetition of the report.
	ID   string `json:"id"`
	Team string `json:"team"`
	// Window names the window by its start, in Unix milliseconds.
	Window  int64   `json:"window"`
	Figures Figures `json:"figures"`
	Holder  string  `json:"holder"`
	// Fence is the fencing token of the holder's lease; the interface ignores
	// it.
	Fence int64 `json:"fence,omitempty"`
}

// UsageAnswer answers a usage report.
type UsageAnswer struct {
	// Duplicate is set if a report with this ID was accepted before.
	Duplicate bool `json:"duplicate,omitempty"`
}

// Weights answers GET /v1/weights/{model}/{version}.
type Weights struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Bytes   int64  `json:"bytes"`
	// FetchMillis is how long an engine takes to fetch the weights at the
	// store's current rate.
	FetchMillis int64 `json:"fetch_ms"`
}

// Refusal is the body of a refused request.
type Refusal struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Refusal codes. A refused order has no effect.
const (
	CodeBadRequest      = "bad_request"
	CodeNotFound        = "not_found"
	CodeRateLimited     = "rate_limited"
	CodeKindUnavailable = "kind_unavailable"
	CodeUnknownKind     = "unknown_kind"
	CodeUnavailable     = "unavailable"
)
