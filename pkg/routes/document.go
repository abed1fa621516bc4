package routes

import "time"

// Kind says what may be repeated.
type Kind int

// Kinds of route. A Stream request is repeatable only if its route is Resumable.
const (
	Repeatable Kind = iota
	Once
	Stream
)

// String implements fmt.Stringer.
func (k Kind) String() string { return [...]string{"repeatable", "once", "stream"}[k] }

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	// Weight is relative to the other shares of the route.
	Weight int
}

// Route is a class of work.
type Route struct {
	Name string
	// Host and Prefix select the requests; Prefix begins and ends with a slash.
	Host, Prefix string
	Kind         Kind
	// Timeout is the longest time that a caller may be kept waiting.
	Timeout time.Duration
	// Target is the latency objective: to the whole answer, or to the first
	// event of a stream. GapTarget is that between two events; zero if none.
	Target, GapTarget time.Duration
	// Priority ranks the work; 0 is the most urgent.
	Priority int
	// Services has one share or more.
	Services []Share
	// MaxAttempts bounds the endpoints to which one request may be sent.
	MaxAttempts int
	// Open routes need no key.
	Open bool
	// Resumable streams may go on at another endpoint.
	Resumable bool
}

// Runnable reports whether a request may run more than once.
func (r *Route) Runnable() bool { return r.Kind == Repeatable || r.Kind == Stream && r.Resumable }

// Engine describes the engines of a service.
type Engine struct {
	// Slots is the number of requests that run at once.
	Slots int
	// CacheTokens is the KV cache of one engine, TokenBytes the size of a token
	// in it.
	CacheTokens, TokenBytes int
	// LinkBytesPerSecond is the rate at which KV cache moves to or from an engine.
	LinkBytesPerSecond float64
	// HandleTime is how long a finished prefill is kept for a decode engine.
	HandleTime time.Duration
	// SwitchTime is how long a change of role takes an engine out of service.
	SwitchTime time.Duration
}

// Scaling says what may be ordered of a service's endpoints.
type Scaling struct {
	// Min and Max bound the endpoints per failure domain, both kinds together.
	Min, Max int
	BootTime time.Duration
	// ReclaimablePrice is the price of a reclaimable endpoint relative to a
	// durable one, DomainPrices the price per second of a durable one.
	ReclaimablePrice float64
	DomainPrices     map[string]float64
}

// Service is a group of endpoints that run the same work.
type Service struct {
	Name string
	// HealthPath is the path of the endpoints' health check.
	HealthPath string
	// MaxConnections is what one endpoint accepts from all hosts together.
	MaxConnections int
	// Engine is nil for plain services.
	Engine  *Engine
	Scaling *Scaling
}

// Team owns keys.
type Team struct {
	Name string
	Keys []string
	// Priority replaces that of the routes; nil if the team has none.
	Priority *int
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes, BodyBytes int
	// HeaderTime bounds the reading of a request's head, IdleTime the time
	// between two requests of a connection.
	HeaderTime, IdleTime time.Duration
}

// Document is one version of the configuration.
type Document struct {
	Version  int64
	Routes   []Route
	Services []Service
	// Teams is empty if no route needs a key.
	Teams  []Team
	Limits Limits
}
