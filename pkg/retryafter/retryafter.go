// Package retryafter interprets the Retry-After field of endpoints that turn
// requests away, and records until when each of them wants no further ones.
//
// State: the end of each pause. A pause ends with the time that the endpoint gave;
// an answer that asks for less, such as one to an earlier request, does not shorten
// it. A key names one instance of an endpoint, so that a restart ends its pause.
//
// Load pattern: endpoints that are full and say for how long. Requests sent to them
// meanwhile are turned away as well; they cost retries, and the endpoint the time
// that it needs to recover.
package retryafter

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// MaxPause bounds a pause. A longer one is more likely a mistake of the endpoint, and
// would take it out of service for good.
const MaxPause = 5 * time.Minute

// Parse returns how long a Retry-After value asks to wait, at most MaxPause. The value
// is a number of seconds, which may have a fraction, or an HTTP date. It returns false
// if the value is neither or asks for no wait.
func Parse(value string, now time.Time) (time.Duration, bool) {
	value = strings.TrimSpace(value)
	if date, err := http.ParseTime(value); err == nil {
		return limit(date.Sub(now).Seconds())
	}
	if strings.Trim(value, "0123456789.") != "" {
		// ParseFloat also accepts signs, exponents, hexadecimal numbers, Inf and NaN.
		return 0, false
	}
	// The value of a number that is too large is infinite.
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil && !math.IsInf(seconds, 1) {
		return 0, false
	}
	return limit(seconds)
}

// OfResponse returns how long the sender of a response with the status 503 wants no
// further requests. It is zero for other responses, and if the sender does not say.
func OfResponse(resp *fasthttp.Response, now time.Time) time.Duration {
	if resp.StatusCode() != fasthttp.StatusServiceUnavailable {
		return 0
	}
	d, _ := Parse(string(resp.Header.Peek(fasthttp.HeaderRetryAfter)), now)
	return d
}

func limit(seconds float64) (time.Duration, bool) {
	d := time.Duration(min(seconds, MaxPause.Seconds()) * float64(time.Second))
	return d, d > 0
}

// Pauses holds until when endpoints take no requests. K names an instance of an
// endpoint. The zero value holds no pauses. It is safe for concurrent use.
type Pauses[K comparable] struct {
	mu    sync.RWMutex
	until map[K]time.Time // guarded by mu
}

// Add records that an endpoint takes no requests for the time d. It reports whether
// the endpoint was not paused before.
func (p *Pauses[K]) Add(key K, d time.Duration, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for other, until := range p.until {
		if !now.Before(until) {
			delete(p.until, other)
		}
	}
	old, paused := p.until[key]
	if until := now.Add(d); d > 0 && until.After(old) {
		if p.until == nil {
			p.until = map[K]time.Time{}
		}
		p.until[key] = until
	}
	return !paused && d > 0
}

// End ends the pause of an endpoint.
func (p *Pauses[K]) End(key K) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.until, key)
}

// Until returns when the endpoint takes requests again, which may be in the past. It
// is zero if the endpoint has not been paused.
func (p *Pauses[K]) Until(key K) time.Time {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.until[key]
}
