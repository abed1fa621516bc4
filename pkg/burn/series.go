package burn

import "time"

const windowCount = 4

// Windows returns the windows of a report, shortest first. The last one is the
// period of the error budget.
func Windows() [windowCount]time.Duration {
	return [windowCount]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 72 * time.Hour}
}

const (
	// teamBuckets is the number of buckets per window and team. It is small to
	// bound memory, because there are many teams.
	teamBuckets = 6
	// classBuckets is the number of buckets per window and class.
	classBuckets = 30
)

// Counts holds the number of requests per outcome.
type Counts [outcomeCount]uint32

// Admitted returns the number of requests that were not refused.
func (c Counts) Admitted() uint64 { return c.Total() - uint64(c[Refused]) }

// Bad returns the number of requests that spend error budget.
func (c Counts) Bad() uint64 { return uint64(c[Late]) + uint64(c[Failed]) + uint64(c[Unknown]) }

// Total returns the number of requests, refused ones included.
func (c Counts) Total() uint64 {
	var n uint64
	for _, v := range c {
		n += uint64(v)
	}
	return n
}

// Served returns the share of all requests, refused ones included, that were
// answered in time; 1 if there are none.
func (c Counts) Served() float64 {
	if c.Total() == 0 {
		return 1
	}
	return float64(c[InTime]) / float64(c.Total())
}

// BurnRate returns the rate at which the error budget is spent: 1 spends it
// exactly by the end of its period. share is the class's target share; the rate
// is 0 if share is 1 or more, or if no request was admitted.
func (c Counts) BurnRate(share float64) float64 {
	if c.Admitted() == 0 || share >= 1 {
		return 0
	}
	return float64(c.Bad()) / float64(c.Admitted()) / (1 - share)
}

func (c Counts) plus(other Counts) Counts {
	for i, v := range other {
		c[i] += v
	}
	return c
}

// WindowCounts holds the counts of each window.
type WindowCounts [windowCount]Counts

func (w WindowCounts) plus(other WindowCounts) WindowCounts {
	for i, c := range other {
		w[i] = w[i].plus(c)
	}
	return w
}

// bucket holds the counts of one interval. Intervals are numbered from the Unix
// epoch, so that the buckets of several hosts cover the same intervals.
type bucket struct {
	interval int32
	counts   Counts
}

// countInRing counts one outcome in a ring of buckets that covers window.
func countInRing(ring []bucket, window time.Duration, now time.Time, outcome Outcome) {
	interval := intervalNumber(len(ring), window, now)
	b := &ring[int(interval)%len(ring)]
	if b.interval != interval {
		*b = bucket{interval: interval}
	}
	b.counts[outcome]++
}

func intervalNumber(buckets int, window time.Duration, now time.Time) int32 {
	return int32(now.UnixMilli() / (window / time.Duration(buckets)).Milliseconds())
}

// readRing returns the counts of the ring's intervals, the oldest first and the
// current one last.
func readRing(ring []bucket, window time.Duration, now time.Time) []Counts {
	current := intervalNumber(len(ring), window, now)
	counts := make([]Counts, len(ring))
	for _, b := range ring {
		age := int(current - b.interval)
		if age >= 0 && age < len(ring) {
			counts[len(ring)-1-age] = b.counts
		}
	}
	return counts
}

func sum(counts []Counts) Counts {
	var total Counts
	for _, c := range counts {
		total = total.plus(c)
	}
	return total
}

// teamSeries holds the counters of one class and team.
type teamSeries struct {
	rings [windowCount][teamBuckets]bucket
}

func (s *teamSeries) add(now time.Time, outcome Outcome) {
	for i, window := range Windows() {
		countInRing(s.rings[i][:], window, now, outcome)
	}
}

func (s *teamSeries) windows(now time.Time) WindowCounts {
	var w WindowCounts
	for i, window := range Windows() {
		w[i] = sum(readRing(s.rings[i][:], window, now))
	}
	return w
}

func (s *teamSeries) idle(now time.Time) bool {
	slow := windowCount - 1
	return sum(readRing(s.rings[slow][:], Windows()[slow], now)).Total() == 0
}

// classSeries holds the counters of one class.
type classSeries struct {
	rings   [windowCount][]bucket
	latency Latency
}

func newClassSeries() *classSeries {
	s := &classSeries{}
	for i := range s.rings {
		s.rings[i] = make([]bucket, classBuckets)
	}
	return s
}

func (s *classSeries) add(now time.Time, outcome Outcome) {
	for i, window := range Windows() {
		countInRing(s.rings[i], window, now, outcome)
	}
}

func (s *classSeries) history(now time.Time) History {
	var h History
	for i, window := range Windows() {
		copy(h[i][:], readRing(s.rings[i], window, now))
	}
	return h
}

// History holds the counts of each bucket of each window, the oldest bucket
// first.
type History [windowCount][classBuckets]Counts

// Windows returns the counts of each window.
func (h History) Windows() WindowCounts {
	var w WindowCounts
	for i := range h {
		w[i] = sum(h[i][:])
	}
	return w
}

// Latency aggregates the latencies of a class since the process started.
type Latency struct {
	FirstToken    DurationStats `json:"first_token"`
	BetweenTokens DurationStats `json:"between_tokens"`
	Completion    DurationStats `json:"completion"`
}

func (l *Latency) add(firstToken, betweenTokens, completion time.Duration) {
	l.FirstToken.add(firstToken)
	l.BetweenTokens.add(betweenTokens)
	l.Completion.add(completion)
}

// DurationStats aggregates the durations above zero.
type DurationStats struct {
	Count uint64        `json:"count"`
	Sum   time.Duration `json:"sum_ns"`
	Max   time.Duration `json:"max_ns"`
}

func (s *DurationStats) add(d time.Duration) {
	if d <= 0 {
		return
	}
	s.Count++
	s.Sum += d
	s.Max = max(s.Max, d)
}

func (s DurationStats) plus(other DurationStats) DurationStats {
	return DurationStats{s.Count + other.Count, s.Sum + other.Sum, max(s.Max, other.Max)}
}

// Mean returns the mean, or zero if there is no duration.
func (s DurationStats) Mean() time.Duration {
	if s.Count == 0 {
		return 0
	}
	return s.Sum / time.Duration(s.Count)
}
