package endpoint

import "time"

// State is the lifecycle state of an endpoint.
type State string

// Lifecycle states. Only live endpoints get new work. A leaving endpoint will be
// removed; a draining one takes no new work until a planned change is done.
const (
	StateStarting State = "starting"
	StateLive     State = "live"
	StateDraining State = "draining"
	StateLeaving  State = "leaving"
)

// Role is the phase of inference that an engine runs.
type Role string

// Roles of engines. A mixed engine runs prefill and decode.
const (
	RoleMixed   Role = "mixed"
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
)

// Endpoint is one back end: an engine that runs a model, or an instance of a
// declared service.
type Endpoint struct {
	ID string `json:"id"`
	// Instance changes when the endpoint is replaced or restarted.
	Instance string `json:"instance"`
	// Address is "IP:port".
	Address string `json:"address"`
	// Domain is the failure domain.
	Domain string `json:"domain"`
	// Kind names a declared endpoint kind.
	Kind string `json:"kind"`
	// Reclaimable says that the platform may reclaim endpoints of this kind.
	Reclaimable bool `json:"reclaimable"`
	// Service names the declared service; empty for engines.
	Service string `json:"service,omitempty"`
	State   State  `json:"state"`
	// LeaveAtMillis is when a leaving endpoint is removed, in Unix milliseconds;
	// zero if unknown.
	LeaveAtMillis int64 `json:"leave_at_ms,omitempty"`
	// SoftwareVersion is that of the endpoint's software, not of model weights. What two
	// versions write of one answer, and their KV cache, do not fit together. Empty if it
	// is not known.
	SoftwareVersion string `json:"software_version,omitempty"`
	// ChecksFencing says that the endpoint refuses orders with a fencing token
	// lower than the highest it has seen.
	ChecksFencing bool `json:"checks_fencing"`
}

// IsEngine reports whether the endpoint is an engine rather than a service.
func (e Endpoint) IsEngine() bool { return e.Service == "" }

// Load is an engine's load report. Its figures may be up to MaxReportLag older
// than the request for it.
type Load struct {
	Instance string `json:"instance"`
	Role     Role   `json:"role"`
	Model    string `json:"model"`
	Version  string `json:"version"`
	// Draining says that the engine refuses new work.
	Draining bool `json:"draining"`
	// Running and Waiting count requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// PrefillTokensWaiting counts prompt tokens not yet prefilled.
	PrefillTokensWaiting int `json:"prefill_tokens_waiting"`
	// DecodeStreams counts requests that are generating.
	DecodeStreams int `json:"decode_streams"`
	// KVTokensUsed and KVTokensTotal describe the KV cache.
	KVTokensUsed  int `json:"kv_tokens_used"`
	KVTokensTotal int `json:"kv_tokens_total"`
	// PrefillRate is the prompt tokens a second while the engine only prefills.
	PrefillRate float64 `json:"prefill_rate"`
	// DecodeRate is the output tokens a second of all streams at full batch.
	DecodeRate float64 `json:"decode_rate"`
	// ReportedAtMillis is the engine's clock when the figures were taken, in Unix
	// milliseconds.
	ReportedAtMillis int64 `json:"reported_at_ms"`
}

// SentWork counts the work that this host sent to an endpoint since the
// endpoint's last load report.
type SentWork struct {
	Requests      int
	PrefillTokens int
	DecodeStreams int
}

// Status is an endpoint with its last load report.
type Status struct {
	Endpoint
	Load Load
	// LoadAge is the time from the request for the report to the snapshot, so the
	// figures are at least that old.
	LoadAge time.Duration
	// HasLoad says that a load report has been received.
	HasLoad bool
	// PausedUntil is when the endpoint, which has asked this host for a pause, takes
	// new work again; zero if it takes work.
	PausedUntil time.Time
}
