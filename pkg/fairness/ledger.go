package fairness

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// DefaultWindow is the time constant of the decay. It spans several gossip
	// delays and is otherwise as short as swings of demand allow.
	DefaultWindow = 20 * time.Second
	// maxExponent is the exponent of the weight at which the weighted figures
	// are rescaled, so that they do not overflow.
	maxExponent = 200
	// sweepThreshold is the decayed service, in tokens, below which a sweep
	// drops a team.
	sweepThreshold = 1.0
	// remoteRetentionWindows is the number of windows after which a sweep drops
	// a count of another host that has not increased.
	remoteRetentionWindows = 100
)

// Served is the cumulative tokens of work that one incarnation of a host served
// to a team.
type Served struct {
	Host        string
	Incarnation string
	Team        string
	Tokens      float64
}

type remoteKey struct{ host, team string }

type remoteCount struct {
	incarnation string
	tokens      float64
	mergedAt    time.Time
}

// Ledger is one host's view of the recent service of each team, in tokens of
// work. It is safe for concurrent use.
type Ledger struct {
	window time.Duration

	mu       sync.Mutex
	epoch    time.Time                 // guarded by mu; the time at which a token weighs 1
	served   map[string]float64        // guarded by mu; weighted by exp((t-epoch)/window)
	total    float64                   // guarded by mu; the sum of served
	local    map[string]float64        // guarded by mu; cumulative
	remote   map[remoteKey]remoteCount // guarded by mu
	rescales int                       // guarded by mu; the number of changes of epoch

	// level is the weighted service that no team may exceed, within that of the teams
	// that do not. They are those of levelAt; levelStale says that they are too old.
	level, within float64   // guarded by mu
	levelAt       time.Time // guarded by mu
	levelStale    bool      // guarded by mu
}

// NewLedger returns an empty ledger whose figures decay with the time constant
// window; 0 means DefaultWindow.
func NewLedger(window time.Duration, now time.Time) *Ledger {
	if window == 0 {
		window = DefaultWindow
	}
	return &Ledger{window: window, epoch: now, served: map[string]float64{},
		local: map[string]float64{}, remote: map[remoteKey]remoteCount{}}
}

// Add counts tokens of work that this host served to the team, or reserved for
// it. tokens may be negative, to correct an earlier call.
func (l *Ledger) Add(team string, tokens float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.local[team] += tokens
	l.add(team, tokens, now)
}

// AppendLocal appends this host's cumulative counts to out, sorted by team, and
// returns the result. The counts are for the Merge of other hosts.
func (l *Ledger) AppendLocal(out []Served, host, incarnation string) []Served {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, team := range slices.Sorted(maps.Keys(l.local)) {
		out = append(out, Served{Host: host, Incarnation: incarnation, Team: team, Tokens: l.local[team]})
	}
	return out
}

// Merge adds the service of other hosts from their cumulative counts. It is
// idempotent, ignores lower counts of the same incarnation, and counts an
// increase as served now. The first count of an incarnation is a baseline and
// adds no service, so that a host that joins late does not take the fleet's
// past service for recent service.
func (l *Ledger) Merge(counts []Served, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range counts {
		key := remoteKey{c.Host, c.Team}
		seen, known := l.remote[key]
		sameIncarnation := known && seen.incarnation == c.Incarnation
		if sameIncarnation && c.Tokens <= seen.tokens {
			continue
		}
		if sameIncarnation {
			l.add(c.Team, c.Tokens-seen.tokens, now)
		}
		l.remote[key] = remoteCount{incarnation: c.Incarnation, tokens: c.Tokens, mergedAt: now}
	}
}

// Service returns the team's decayed service in tokens.
func (l *Ledger) Service(team string, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.served[team] * math.Exp(-l.exponent(now))
}

// OverShare reports whether the team had more than its max-min fair share of the
// recent service, and more than slack times an equal share among the teams that had
// any.
func (l *Ledger) OverShare(team string, slack float64) bool {
	return l.Share(team).over(slack)
}

// weightedService returns the team's service without the decay since epoch, by
// which Queue orders teams. Values are comparable between teams at any time,
// because all services decay alike. A rescaling changes them.
func (l *Ledger) weightedService(team string) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.served[team]
}

func (l *Ledger) rescaleCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rescales
}

// Sweep drops teams and other hosts' counts without recent service. Call it
// about once per window.
func (l *Ledger) Sweep(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := sweepThreshold * math.Exp(l.exponent(now))
	l.total, l.levelStale = 0, true
	// The order is fixed so that the rounding of the sum is deterministic.
	for _, team := range slices.Sorted(maps.Keys(l.served)) {
		if l.served[team] < limit {
			delete(l.served, team)
			continue
		}
		l.total += l.served[team]
	}
	for key, count := range l.remote {
		if now.Sub(count.mergedAt) > remoteRetentionWindows*l.window {
			delete(l.remote, key)
		}
	}
}

// exponent returns the logarithm of the weight of one token at now. mu must be
// held.
func (l *Ledger) exponent(now time.Time) float64 {
	return now.Sub(l.epoch).Seconds() / l.window.Seconds()
}

// add adds tokens at now to the team's weighted service, and first rescales all
// figures to a new epoch if the weight has grown too large. mu must be held.
func (l *Ledger) add(team string, tokens float64, now time.Time) {
	if l.exponent(now) > maxExponent {
		factor := math.Exp(-l.exponent(now))
		for t := range l.served {
			l.served[t] *= factor
		}
		l.total *= factor
		l.levelStale = true
		l.epoch = now
		l.rescales++
	}
	weight := tokens * math.Exp(l.exponent(now))
	before := l.served[team]
	after := max(0, before+weight)
	l.served[team] = after
	l.total += after - before
	if now.Sub(l.levelAt) >= levelInterval {
		l.levelAt, l.levelStale = now, true
	}
}
