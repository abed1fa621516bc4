package burn

import (
	"hash/maphash"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/clementineshed/clementineshed/pkg/declaration"
)

// Outcome is how a request ended.
type Outcome int

const (
	// InTime was answered within the class's target.
	InTime Outcome = iota
	// Late was answered outside the target.
	Late
	// Refused was refused and did not run.
	Refused
	// Failed ran and failed.
	Failed
	// Unknown may or may not have run.
	Unknown
	outcomeCount
)

// ClassifyAnswer returns InTime or Late for an answer with the given latencies. A zero
// limit of the class always holds.
func ClassifyAnswer(class declaration.Class, firstToken, betweenTokens, completion time.Duration) Outcome {
	if exceeds(firstToken, class.FirstToken) || exceeds(betweenTokens, class.BetweenTokens) || exceeds(completion, class.Completion) {
		return Late
	}
	return InTime
}

func exceeds(d time.Duration, limit declaration.Duration) bool {
	return limit != 0 && d > limit.Std()
}

const (
	// MaxTeamSeries bounds the series, one per class and team, in a Recorder.
	// It leaves room for 13,000 teams with 1.5 classes each. A series takes
	// about 700 bytes.
	MaxTeamSeries = 1 << 15
	// OtherTeams is the name under which teams beyond MaxTeamSeries are counted.
	OtherTeams = "(other teams)"
	// shardCount is the number of locks that the series are spread over.
	shardCount = 16
	// minSweepInterval separates two scans of a shard for idle series. Without
	// it each request of a team beyond MaxTeamSeries would scan all series.
	minSweepInterval = 10 * time.Minute
)

// Recorder counts the outcomes of requests. It is safe for concurrent use.
type Recorder struct {
	clock  clockwork.Clock
	seed   maphash.Seed
	shards [shardCount]shard

	mu      sync.Mutex
	classes map[string]*classSeries
}

type seriesKey struct{ class, team string }

type shard struct {
	mu    sync.Mutex
	teams map[seriesKey]*teamSeries
	// lastSweep is when idle series were last dropped.
	lastSweep time.Time
}

// NewRecorder returns an empty recorder.
func NewRecorder(clock clockwork.Clock) *Recorder {
	r := &Recorder{clock: clock, seed: maphash.MakeSeed(), classes: map[string]*classSeries{}}
	for i := range r.shards {
		r.shards[i].teams = map[seriesKey]*teamSeries{}
	}
	return r
}

// Record counts one request. team is empty on an open route, which has no key.
// A duration is zero where it does not apply. The durations of a refused request
// are ignored. An invalid outcome counts as Unknown.
func (r *Recorder) Record(class, team string, outcome Outcome, firstToken, betweenTokens, completion time.Duration) {
	if outcome < 0 || outcome >= outcomeCount {
		outcome = Unknown
	}
	now := r.clock.Now()
	r.recordTeam(seriesKey{class, team}, outcome, now)
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.classes[class]
	if s == nil {
		s = newClassSeries()
		r.classes[class] = s
	}
	s.add(now, outcome)
	if outcome != Refused {
		s.latency.add(firstToken, betweenTokens, completion)
	}
}

func (r *Recorder) recordTeam(key seriesKey, outcome Outcome, now time.Time) {
	sh := &r.shards[maphash.String(r.seed, key.team)%shardCount]
	sh.mu.Lock()
	defer sh.mu.Unlock()
	s := sh.teams[key]
	if s == nil && len(sh.teams) >= MaxTeamSeries/shardCount {
		sh.dropIdle(now)
	}
	if s == nil && len(sh.teams) >= MaxTeamSeries/shardCount {
		key.team = OtherTeams
		s = sh.teams[key]
	}
	if s == nil {
		s = &teamSeries{}
		sh.teams[key] = s
	}
	s.add(now, outcome)
}

// dropIdle drops the series without a request in the longest window. The caller
// holds sh.mu.
func (sh *shard) dropIdle(now time.Time) {
	if now.Sub(sh.lastSweep) < minSweepInterval {
		return
	}
	sh.lastSweep = now
	for key, s := range sh.teams {
		if s.idle(now) {
			delete(sh.teams, key)
		}
	}
}

// Snapshot returns a copy of the counters. A request that is recorded meanwhile
// may be counted for its team and not yet for its class.
func (r *Recorder) Snapshot() Snapshot {
	now := r.clock.Now()
	s := Snapshot{AtMillis: now.UnixMilli(), Hosts: 1, Classes: map[string]ClassCounts{}}
	r.mu.Lock()
	for name, series := range r.classes {
		s.Classes[name] = ClassCounts{History: series.history(now), Latency: series.latency, Teams: map[string]WindowCounts{}}
	}
	r.mu.Unlock()
	for i := range r.shards {
		r.shards[i].snapshot(now, s)
	}
	return s
}

func (sh *shard) snapshot(now time.Time, into Snapshot) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for key, series := range sh.teams {
		class, known := into.Classes[key.class]
		counts := series.windows(now)
		if known && counts[len(counts)-1].Total() > 0 {
			class.Teams[key.team] = class.Teams[key.team].plus(counts)
		}
	}
}
