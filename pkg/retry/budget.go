package retry

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// TokensPerRequest is what each request earns; a retry costs one token.
	// Retries thus add at most a tenth to the load.
	TokensPerRequest = 0.1
	// MaxTokens is the capacity of the bucket of a team and class.
	MaxTokens = 10.0
	// The wait before a retry is random. Its upper bound is BaseBackoff, doubled
	// with each send, but at most MaxBackoff.
	BaseBackoff = 50 * time.Millisecond
	MaxBackoff  = 2 * time.Second
	// MaxAttempts bounds the sends of one request, the first included.
	MaxAttempts = 4
	// bucketIdleTimeout is how long an unused bucket is kept.
	bucketIdleTimeout = 10 * time.Minute
)

type budgetKey struct{ team, class string }

type bucket struct {
	tokens float64
	usedAt time.Time
}

// Budgets holds the retry budgets of one host. It is safe for concurrent use.
type Budgets struct {
	mu      sync.Mutex
	buckets map[budgetKey]*bucket // guarded by mu
}

// NewBudgets returns budgets that start full.
func NewBudgets() *Budgets { return &Budgets{buckets: map[budgetKey]*bucket{}} }

// bucket creates a full bucket if there is none. It must be called with mu held.
func (b *Budgets) bucket(team, class string, now time.Time) *bucket {
	key := budgetKey{team, class}
	tb := b.buckets[key]
	if tb == nil {
		tb = &bucket{tokens: MaxTokens}
		b.buckets[key] = tb
	}
	tb.usedAt = now
	return tb
}

// Earn credits the bucket of a team and class for the first send of a request.
func (b *Budgets) Earn(team, class string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	tb := b.bucket(team, class, now)
	tb.tokens = min(MaxTokens, tb.tokens+TokensPerRequest)
}

// Sweep drops the buckets that have not been used for bucketIdleTimeout.
func (b *Budgets) Sweep(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, tb := range b.buckets {
		if now.Sub(tb.usedAt) > bucketIdleTimeout {
			delete(b.buckets, key)
		}
	}
}

// spend takes a token and reports whether there was one.
func (b *Budgets) spend(team, class string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	tb := b.bucket(team, class, now)
	if tb.tokens < 1 {
		return false
	}
	tb.tokens--
	return true
}

// Attempt describes a failed send.
type Attempt struct {
	Team, Class string
	// Number counts the sends so far, from 1.
	Number int
	// Repeatable is false for work that must run at most once.
	Repeatable bool
	// NotRun says that the endpoint certainly did not run the request.
	NotRun bool
	// Planned says that the endpoint refused because of a planned change, such as
	// draining. Together with NotRun it makes the next send free.
	Planned bool
}

// Retry decides whether to send the request again, and after which wait. Work
// that may not be repeated is sent again only if it certainly did not run and the
// endpoint refused it for a planned change.
func (b *Budgets) Retry(a Attempt, now time.Time, rng *rand.Rand) (wait time.Duration, again bool) {
	if a.Number >= MaxAttempts {
		return 0, false
	}
	if a.NotRun && a.Planned {
		return 0, true
	}
	if !a.Repeatable || !b.spend(a.Team, a.Class, now) {
		return 0, false
	}
	return Backoff(a.Number, rng), true
}

// Backoff returns a random wait whose bound grows exponentially with the number
// of sends so far. It is random so that requests that failed together are not
// repeated together.
func Backoff(number int, rng *rand.Rand) time.Duration {
	limit := min(MaxBackoff, BaseBackoff<<min(number, 10))
	return time.Duration(rng.Int64N(int64(limit))) + 1
}
