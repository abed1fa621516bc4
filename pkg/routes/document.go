package routes

import (
	"time"

	"github.com/clementineshed/clementineshed/pkg/quota"
)

// Kind says whether a route's requests may run more than once.
type Kind int

// Kinds of route. A Repeatable request may run more than once, a Once request may
// not. A Stream request may if its route is Resumable.
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

// Route selects a class of requests and says how they are served.
type Route struct {
	Name string
	// Host and Prefix select the requests; Prefix begins and ends with a slash.
	Host, Prefix string
	Kind         Kind
	// Timeout is the longest time that a caller may be kept waiting.
	Timeout time.Duration
	// Target is the latency objective: to the complete answer, or to the first
	// event of a stream. GapTarget is that between two events; zero if none.
	Target, GapTarget time.Duration
	// Priority ranks the work; 0 is the most urgent.
	Priority int
	// Services has one share or more.
	Services []Share
	// MaxAttempts bounds the endpoints to which one request may be sent.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another endpoint.
	Resumable bool
}

// MayRepeat reports whether a request may run more than once.
func (r *Route) MayRepeat() bool { return r.Kind == Repeatable || r.Kind == Stream && r.Resumable }

// Engine describes the engines of a service.
type Engine struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int
	// CacheTokens is the capacity of one engine's KV cache in tokens, TokenBytes
	// the size of a token in it.
	CacheTokens, TokenBytes int
	// LinkBytesPerSecond is the rate at which KV cache moves to or from an engine.
	LinkBytesPerSecond float64
	// HandleTTL is how long a finished prefill is kept for a decode engine.
	HandleTTL time.Duration
	// RoleChangeTime is how long a change of role takes an engine out of service.
	RoleChangeTime time.Duration
}

// Scaling bounds the endpoints that may be ordered for a service.
type Scaling struct {
	// Min and Max bound the endpoints per failure domain, reclaimable and durable
	// ones together.
	Min, Max int
	// BootTime is how long an ordered endpoint takes to start.
	BootTime time.Duration
	// ReclaimablePrice is the price of a reclaimable endpoint relative to a
	// durable one. DomainPrices is the price per second of a durable one by
	// failure domain.
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

// Team is a group of callers, identified by any of its keys.
type Team struct {
	Name string
	Keys []string
	// Priority replaces that of the routes; nil if the team has none.
	Priority *int
	// Quota limits what the team's requests may spend on all hosts together; nil if
	// nothing does.
	Quota *Quota
}

// Quota is a team's limit.
type Quota struct {
	quota.Limit
	// Tokens says that a request counts as its tokens, and as PlainTokens if it does not
	// state them. Otherwise each request counts as one.
	Tokens      bool
	PlainTokens float64
}

// Cost returns what a request counts as. tokens is the sum of its prompt and its output
// limit; stated is false if it does not state them.
func (q *Quota) Cost(tokens int, stated bool) float64 {
	switch {
	case !q.Tokens:
		return 1
	case stated:
		return float64(max(tokens, 0))
	}
	return q.PlainTokens
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes, BodyBytes int
	// HeaderTimeout bounds the reading of a request's head, IdleTimeout the time
	// between two requests on a connection.
	HeaderTimeout, IdleTimeout time.Duration
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
