package declaration

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
)

// Document is one complete set of declarations. Objects are identified by
// their kind and name.
type Document struct {
	Teams         []Team         `json:"teams,omitempty"`
	Keys          []Key          `json:"keys,omitempty"`
	Classes       []Class        `json:"classes,omitempty"`
	Models        []Model        `json:"models,omitempty"`
	Services      []Service      `json:"services,omitempty"`
	Routes        []Route        `json:"routes,omitempty"`
	EndpointKinds []EndpointKind `json:"endpoint_kinds,omitempty"`
	Budget        *Budget        `json:"budget,omitempty"`
}

// OfflineKeys is the policy for a team's keys in a failure domain that is cut
// off from the platform and from most other domains.
type OfflineKeys string

const (
	// OfflineRefuse refuses the keys once they can no longer be confirmed. It
	// is the default.
	OfflineRefuse OfflineKeys = "refuse"
	// OfflineServe accepts the keys for up to Team.OfflineLimit.
	OfflineServe OfflineKeys = "serve"
)

// Team is a customer: the owner of keys, the unit of fairness and of usage
// reports.
type Team struct {
	Name string `json:"name"`
	// OfflineKeys is OfflineRefuse if empty.
	OfflineKeys OfflineKeys `json:"offline_keys,omitempty"`
	// OfflineLimit is required with OfflineServe and not allowed without it.
	OfflineLimit Duration `json:"offline_limit,omitempty"`
	// CacheGroup is the group of teams that share prefix caches. A team without
	// a group shares none.
	CacheGroup string `json:"cache_group,omitempty"`
	// Quota limits the tokens of the team's model requests on all hosts together; nil
	// means no limit.
	Quota *Quota `json:"quota,omitempty"`
}

// Quota is a limit on tokens. A request counts as its prompt and its output limit.
type Quota struct {
	TokensPerSecond float64 `json:"tokens_per_second"`
	BurstTokens     float64 `json:"burst_tokens"`
}

// Key is a caller's key. Only its hash is declared, stored or sent.
type Key struct {
	// Name identifies the key to operators; it is not secret.
	Name string `json:"name"`
	Team string `json:"team"`
	// SHA256 is the lower-case hexadecimal SHA-256 of the key.
	SHA256 string `json:"sha256"`
}

// Class is a class of work with its latency target.
type Class struct {
	Name string `json:"name"`
	// FirstToken is the limit on the time to the first token; zero means none.
	FirstToken Duration `json:"first_token,omitempty"`
	// BetweenTokens is the limit on the mean time between tokens; zero means
	// none.
	BetweenTokens Duration `json:"between_tokens,omitempty"`
	// Completion is the limit on the time to the complete response; zero means
	// none.
	Completion Duration `json:"completion,omitempty"`
	// Share is the fraction of requests that has to meet the limits, between 0
	// and 1 exclusive.
	Share float64 `json:"share"`
}

// MinFirstTokenForRestart is the shortest limit on the time to the first token
// that leaves room for one restart on another endpoint: a reclaim notice of a
// few seconds plus a second prefill of a long prompt.
const MinFirstTokenForRestart = 10 * time.Second

// Tolerant reports whether the class's target leaves room for one restart on
// another endpoint, so that it may run on reclaimable endpoints.
func (c Class) Tolerant() bool {
	return c.FirstToken == 0 || c.FirstToken.Std() >= MinFirstTokenForRestart
}

// Model is a version of a language model that engines can load.
type Model struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	Adapters []string `json:"adapters,omitempty"`
}

// Service is a service that is not a model, such as an order service.
type Service struct {
	Name string `json:"name"`
}

// RouteKind is the kind of a route's target.
type RouteKind string

// Kinds of route.
const (
	RouteModel   RouteKind = "model"
	RouteService RouteKind = "service"
)

// Route maps a model name or path that callers request to a model or service.
type Route struct {
	// Name identifies the route. For a model route it is the model name that
	// callers send.
	Name string    `json:"name"`
	Kind RouteKind `json:"kind"`
	// Model names a declared model; model routes only.
	Model string `json:"model,omitempty"`
	// Adapter names one of the model's adapters; optional.
	Adapter string `json:"adapter,omitempty"`
	// Service names a declared service; service routes only.
	Service string `json:"service,omitempty"`
	// Path is the path prefix that callers send, with a leading and a trailing
	// slash; service routes only.
	Path string `json:"path,omitempty"`
	// Class names the class of work.
	Class string `json:"class"`
	// Repeatable allows a request to run more than once. It is required for
	// model routes. Service routes without it require an Idempotency-Key.
	Repeatable bool `json:"repeatable"`
	// Open serves the route without a key; service routes only.
	Open bool `json:"open,omitempty"`
	// Teams lists the teams that may use the route; empty means every team.
	Teams []string `json:"teams,omitempty"`
}

// EndpointKind is a type of endpoint that the platform offers.
type EndpointKind struct {
	Name string `json:"name"`
	// Reclaimable means that the platform can reclaim the endpoints of a whole
	// failure domain at once, at a few seconds' notice.
	Reclaimable bool `json:"reclaimable"`
	// HourlyCost is the maximum cost of one endpoint per hour, in the budget's
	// currency.
	HourlyCost float64 `json:"hourly_cost"`
}

// Budget limits the spend on endpoints.
type Budget struct {
	Currency string `json:"currency"`
	// MaxHourlyCost is the maximum cost of all endpoints together per hour.
	MaxHourlyCost float64 `json:"max_hourly_cost"`
}

// Duration is a time.Duration that is encoded with its unit, as in "1.6s".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String implements fmt.Stringer.
func (d Duration) String() string { return time.Duration(d).String() }

// MarshalJSON implements json.Marshaler.
func (d Duration) MarshalJSON() ([]byte, error) { return json.Marshal(d.String()) }

// UnmarshalJSON implements json.Unmarshaler.
func (d *Duration) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return errors.New(`a duration is a string with a unit, such as "1.6s"`)
	}
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return errors.Errorf(`%q is not a duration with a unit, such as "44ms" or "1.6s"`, text)
	}
	*d = Duration(parsed)
	return nil
}
