package engined

import (
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/logging"
)

// Defaults of Options. Rates are in tokens per second.
const (
	DefaultPrefillRate     = 20_000
	DefaultDecodeRate      = 1_500
	DefaultStreamRate      = 60
	DefaultKVTransferRate  = 200_000
	DefaultMaxBatch        = 32
	DefaultMaxWaiting      = 256
	DefaultKVTokens        = 400_000
	DefaultLoadLag         = 250 * time.Millisecond
	DefaultCacheEventDelay = 300 * time.Millisecond
	DefaultChangeTime      = 3 * time.Second
	DefaultDownTime        = 3 * time.Second
	DefaultStep            = 5 * time.Millisecond
)

// Options configure a Server. In a field that has a default, zero selects the
// default and a negative value means zero.
type Options struct {
	// ID is the endpoint ID, and the prefix of the instance names.
	ID      string
	Model   string
	Version string
	// SoftwareVersion is that of the engine's software. Engines of different versions give
	// different answers to one prompt; none checks the version of what it goes on with.
	SoftwareVersion string
	// Adapters are the adapters loaded at start.
	Adapters []string
	// Role is endpoint.RoleMixed if empty.
	Role endpoint.Role
	// PrefillRate is in prompt tokens per second while no stream decodes.
	PrefillRate float64
	// DecodeRate is in output tokens per second of all streams together while no
	// prompt is prefilled.
	DecodeRate float64
	// StreamRate is the maximum output tokens per second of one stream.
	StreamRate float64
	// KVTransferRate is the KV cache export rate in prompt tokens per second.
	KVTransferRate float64
	// MaxBatch is the maximum number of running requests; more wait.
	MaxBatch int
	// MaxWaiting is the maximum number of waiting requests; more are refused.
	MaxWaiting int
	// KVTokens is the KV memory shared by running requests and the prefix cache.
	KVTokens int
	// LoadLag is the delay of load reports.
	LoadLag time.Duration
	// CacheEventDelay is the delay of cache events.
	CacheEventDelay time.Duration
	// DropCacheEventEvery drops every n-th cache event, which leaves a gap in the
	// sequence numbers. Zero drops none.
	DropCacheEventEvery int
	// RoleChangeTime and LoadTime are how long the engine refuses requests during
	// a role change or a model load.
	RoleChangeTime time.Duration
	LoadTime       time.Duration
	// DownTime is how long the engine is down after a crash.
	DownTime time.Duration
	// CrashMarker crashes the engine when it admits a prompt that contains this
	// text. Empty disables the crash.
	CrashMarker string
	// ChecksFencing refuses orders with a fencing token below the highest seen.
	ChecksFencing bool
	// HidesOrderConnections makes enginewire.PathOrderConnections answer 404.
	HidesOrderConnections bool
	// Step is the interval of the batching loop.
	Step time.Duration
	// OnInstance is called with the new instance after a crash, for example to
	// update the platform stand-in. It must not call the server.
	OnInstance func(id, instance string)
	// Clock defaults to the real clock.
	Clock clockwork.Clock
	// Log receives log lines. Nil discards them.
	Log log.Interface
}

func (o Options) withDefaults() Options {
	if o.Role == "" {
		o.Role = endpoint.RoleMixed
	}
	setDefault(&o.PrefillRate, DefaultPrefillRate)
	setDefault(&o.DecodeRate, DefaultDecodeRate)
	setDefault(&o.StreamRate, DefaultStreamRate)
	setDefault(&o.KVTransferRate, DefaultKVTransferRate)
	setDefault(&o.MaxBatch, DefaultMaxBatch)
	setDefault(&o.MaxWaiting, DefaultMaxWaiting)
	setDefault(&o.KVTokens, DefaultKVTokens)
	setDefault(&o.LoadLag, DefaultLoadLag)
	setDefault(&o.CacheEventDelay, DefaultCacheEventDelay)
	setDefault(&o.RoleChangeTime, DefaultChangeTime)
	setDefault(&o.LoadTime, DefaultChangeTime)
	setDefault(&o.DownTime, DefaultDownTime)
	setDefault(&o.Step, DefaultStep)
	if o.OnInstance == nil {
		o.OnInstance = func(string, string) {}
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Log == nil {
		o.Log = logging.Discard()
	}
	return o
}

// setDefault replaces zero with value and a negative number with zero.
func setDefault[T int | float64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
	*field = max(*field, 0)
}
