// Package quota decides whether a team may spend tokens under a limit that holds for
// the sum of all hosts.
//
// Each team has an owner among the hosts, which keeps a token bucket for it and
// decides for all hosts that can reach it. The bucket is refilled with the part of the
// limit that the hosts heard lately have of all known hosts: those that are not heard
// may be cut off, and another owner there spends their part. A host that has become
// an owner waits before it refills, until a former owner that is cut off has stopped
// counting the hosts on this side.
//
// The package is pure: the time, the hosts heard and the questions are passed in.
// Package quotashare exchanges the questions between hosts. See docs/design/quotas.md
// for the arithmetic of the bound.
package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// defaultHearTime is Options.HearTime where heartbeats are a second apart.
	defaultHearTime = 1500 * time.Millisecond
	// maxStep is the longest time between two calls that counts as passed. After a
	// longer one the process was frozen or its clock jumped, and another host may have
	// become the owner of its teams.
	maxStep = 1500 * time.Millisecond
	// firstStartTime is the time after the first start of the system in which buckets
	// start full: no host has spent anything before.
	firstStartTime = 10 * time.Second
	// candidateDelay is the time, beyond Options.joinTime, after its start in which a host
	// owns only teams that another one has handed over to it. The others read its
	// announcement within a second, hear it within another one, and hand teams over to it
	// after joinTime.
	candidateDelay = 2500 * time.Millisecond
	// startupTime is the time after its start in which a host takes the others as they
	// are announced: it could not have heard them before.
	startupTime = 3 * time.Second
	// suspectTime is the time after an unanswered question in which datagrams from the
	// host that is asked may have been sent before it, relayedSuspectTime the time in which
	// relays may still tell of a host that was killed.
	suspectTime        = 300 * time.Millisecond
	relayedSuspectTime = 3 * time.Second
	// leftTime is the time for which a host that stops is not taken for an owner. It is
	// gone by then, or has started again.
	leftTime = 10 * time.Second
	// maxWait is how long a request is held for credit instead of being refused.
	maxWait = 150 * time.Millisecond
	// departureTime is how long the departure of a host is remembered; a bucket fills in
	// less, or its team does not need it full.
	departureTime = 30 * time.Second
	// idleTime is the time without a question after which a bucket is removed. A bucket
	// that is created later is as full.
	idleTime = departureTime
	// debtShare is the part of Bounds.Slack by which requests larger than a full bucket
	// may overdraw it, startShare the part that a new owner's bucket starts with.
	// A window may see a debt on each side of a cut, and up to four new owners.
	debtShare  = 0.5
	startShare = 0.125
	// startOvershootShare bounds the start by the overshoot, for limits on requests, to
	// which the slack is large.
	startOvershootShare = 0.5
	// defaultBurstTime is the time of the rate that a bucket holds if the limit has no
	// burst. The bound's overshoot of 0.1 over a window of 8 s allows for 0.8 s.
	defaultBurstTime = 0.5
)

// Limit is a team's limit over all hosts, in tokens or requests.
type Limit struct {
	// Rate is the refill per second; zero means no limit. Burst is the capacity.
	Rate, Burst float64
}

// Limited reports whether there is a limit.
func (l Limit) Limited() bool { return l.Rate > 0 }

func (l Limit) capacity() float64 {
	if l.Burst <= 0 {
		return l.Rate * defaultBurstTime
	}
	return l.Burst
}

// Bounds say how far the sum of all hosts may exceed a limit: in any span of Window at
// most (Rate x Window + Burst) x (1 + Overshoot) + Slack may be spent.
type Bounds struct {
	Window    time.Duration
	Overshoot float64
	Slack     float64
}

// DefaultBounds apply where the settings name none.
func DefaultBounds() Bounds { return Bounds{Window: 8 * time.Second, Overshoot: 0.1, Slack: 190000} }

// Max returns the most that may be spent under a limit in any span of Window.
func (b Bounds) Max(l Limit) float64 {
	return (l.Rate*b.Window.Seconds()+l.Burst)*(1+b.Overshoot) + b.Slack
}

// startCredit returns what a new owner may grant before it refills.
func (b Bounds) startCredit(l Limit) float64 {
	return min(b.Slack*startShare, (l.Rate*b.Window.Seconds()+l.Burst)*b.Overshoot*startOvershootShare)
}

// Reason says why a decision was made.
type Reason string

// Reasons of decisions.
const (
	// ReasonCredit is that of a grant.
	ReasonCredit Reason = "credit"
	// ReasonOverLimit says that the team has spent its limit.
	ReasonOverLimit Reason = "over_limit"
	// ReasonNewOwner says that the credit is missing because the owner is new.
	ReasonNewOwner Reason = "new_owner"
	// ReasonTooLarge says that no full bucket would cover the request.
	ReasonTooLarge Reason = "too_large"
)

// Decision is the answer to a question.
type Decision struct {
	Grant bool
	// After is the time until the granted tokens may be spent, or the time after which
	// the credit of a refused request will be available.
	After  time.Duration
	Reason Reason
	// Stamp is passed to Book.Return if the request does not run.
	Stamp int64
	// Level is the rest of the bucket, negative if it is overdrawn; Share the part of
	// the limit that the bucket stands for.
	Level, Share float64
}

// Peer is what a host knows of another one.
type Peer struct {
	Host string
	// HeardAt is when a datagram last showed that it lives, HeardSince when the first
	// one after its last silence did; zero if none has.
	HeardAt, HeardSince time.Time
	// DirectAt is when a datagram of its own last arrived, not one of a relay.
	DirectAt time.Time
	// Live says that the host may own teams.
	Live bool
}

// Options configure a Book.
type Options struct {
	Host   string
	Bounds Bounds
	// StartedAt is when the process started.
	StartedAt time.Time
	// FirstStart says that all hosts start for the first time.
	FirstStart bool
	// HearTime is the silence up to which a host counts toward the limit that an owner
	// grants. It must exceed the time between two heartbeats; zero means 1.5 s.
	HearTime time.Duration
	// RelayTime is the time that heartbeats take by way of other hosts after all hosts of a
	// failure domain are cut off.
	RelayTime time.Duration
}

// joinTime is the time for which a new owner does not refill, and for which a host that
// was silent must be heard before it counts. A former owner on the other side of a cut
// has stopped counting the hosts by then.
func (o Options) joinTime() time.Duration { return o.HearTime + o.RelayTime }

// Book holds what one host knows and grants. It is not safe for concurrent use. Update
// must be called at least every 500 ms while the Book is used.
type Book struct {
	opts Options
	// lastNow is the time of the last call, clock the time that has passed by then,
	// in microseconds since 1970 for the first call. It does not jump.
	lastNow time.Time
	clock   int64
	// started is the start of the process, or the end of its last freeze.
	started int64
	// known and heard count hosts, with this one.
	known, heard int
	candidates   map[string]uint64
	suspects     map[string]time.Time
	// left holds the hosts that have said that they stop.
	left map[string]int64
	// answeredAt holds when a host last answered a question.
	answeredAt map[string]time.Time
	departures []departure
	leaving    bool
	// frozen says that the process was frozen, so that others may have spent.
	frozen       bool
	owners       map[string]string
	owned, local map[string]*bucket
	// credited holds when a team last got the credit of a new owner here.
	credited map[string]int64
}

// departure is a host that has ceased to be a candidate.
type departure struct {
	hash uint64
	at   int64
}

// NewBook returns an empty book.
func NewBook(opts Options) *Book {
	if opts.HearTime <= 0 {
		opts.HearTime = defaultHearTime
	}
	return &Book{opts: opts, known: 1, heard: 1, candidates: map[string]uint64{}, suspects: map[string]time.Time{}, answeredAt: map[string]time.Time{}, left: map[string]int64{},
		owners: map[string]string{}, owned: map[string]*bucket{}, local: map[string]*bucket{}, credited: map[string]int64{}}
}

// advance moves the clock to now. It drops all buckets if the process was frozen or
// its clock jumped.
func (b *Book) advance(now time.Time) {
	if b.lastNow.IsZero() {
		b.lastNow, b.clock = now, now.UnixMicro()
		// A host that was running before the first question may have owned the team.
		b.started = b.clock - max(now.Sub(b.opts.StartedAt), 0).Microseconds()
		return
	}
	step := now.Sub(b.lastNow)
	b.lastNow = now
	if step >= 0 && step <= maxStep {
		b.clock += step.Microseconds()
		return
	}
	// A step back by less than this is an earlier reading by another goroutine.
	if step < 0 && step > -maxStep {
		b.lastNow = now.Add(-step)
		return
	}
	b.clock += maxStep.Microseconds()
	b.started, b.frozen = b.clock, true
	clear(b.owned)
	clear(b.local)
	clear(b.suspects)
	clear(b.answeredAt)
}

// Update takes in what is known of the other hosts, all of them. It returns the
// buckets of teams that another host owns now, which must be handed over to it.
func (b *Book) Update(now time.Time, peers []Peer) []Handover {
	first := b.lastNow.IsZero()
	b.advance(now)
	b.known, b.heard = 1+len(peers), 1
	firstStart, starting := b.inFirstStart(), !b.frozen && b.clock-b.started < (startupTime+b.opts.joinTime()).Microseconds()
	live := make(map[string]struct{}, len(peers)+1)
	for _, p := range peers {
		silence := now.Sub(p.HeardAt)
		heardFromStart := starting && p.HeardSince.Sub(b.opts.StartedAt) < startupTime
		joined := !p.HeardAt.IsZero() && (firstStart || heardFromStart || now.Sub(p.HeardSince) >= b.opts.joinTime())
		// At the first start heartbeats take seconds to come by way of relays.
		awaited := firstStart && p.HeardAt.IsZero() && p.Live
		if awaited || joined && silence < b.opts.HearTime {
			b.heard++
		}
		if since, suspected := b.suspects[p.Host]; suspected && (p.DirectAt.Sub(since) > suspectTime || p.HeardAt.Sub(since) > relayedSuspectTime) {
			delete(b.suspects, p.Host)
		}
		if left, ok := b.left[p.Host]; ok {
			if b.clock-left < leftTime.Microseconds() {
				continue
			}
			delete(b.left, p.Host)
		}
		if first && !p.Live && silence < departureTime {
			b.departures = append(b.departures, departure{xxhash.Sum64String(p.Host), b.clock - silence.Microseconds()})
		}
		if _, suspected := b.suspects[p.Host]; p.Live && !suspected && (joined || starting) {
			live[p.Host] = struct{}{}
		}
	}
	if !b.leaving && (b.opts.FirstStart || b.frozen || b.clock-b.started >= (candidateDelay+b.opts.joinTime()).Microseconds()) {
		live[b.opts.Host] = struct{}{}
	}
	b.setCandidates(live)
	b.forget()
	return b.handovers()
}

// inFirstStart reports whether the system has just started for the first time.
func (b *Book) inFirstStart() bool {
	return b.opts.FirstStart && !b.frozen && b.clock-b.started < firstStartTime.Microseconds()
}

// setCandidates replaces the hosts that may own teams.
func (b *Book) setCandidates(live map[string]struct{}) {
	changed := false
	for host, hash := range b.candidates {
		if _, ok := live[host]; !ok {
			b.departures = append(b.departures, departure{hash, b.clock})
			delete(b.candidates, host)
			delete(b.answeredAt, host)
			changed = true
		}
	}
	for host := range live {
		if _, ok := b.candidates[host]; !ok {
			b.candidates[host] = xxhash.Sum64String(host)
			changed = true
		}
	}
	if changed {
		clear(b.owners)
	}
}

// forget removes what is too old to matter.
func (b *Book) forget() {
	n := 0
	for n < len(b.departures) && b.clock-b.departures[n].at > departureTime.Microseconds() {
		n++
	}
	b.departures = b.departures[n:]
	for _, buckets := range []map[string]*bucket{b.owned, b.local} {
		for team, k := range buckets {
			if b.clock-k.usedAt > idleTime.Microseconds() {
				delete(buckets, team)
			}
		}
	}
	for team, at := range b.credited {
		if b.clock-at > b.opts.Bounds.Window.Microseconds() {
			delete(b.credited, team)
		}
	}
	// Teams that no longer ask must not stay in the cache.
	if len(b.owners) > 4*(len(b.owned)+1024) {
		clear(b.owners)
	}
}

// Suspect records that a host has not answered a question. Unless it has answered
// another one since, another host owns its teams until it is heard again. Suspect reports
// whether that is so.
func (b *Book) Suspect(host string, asked, now time.Time) bool {
	b.advance(now)
	if _, ok := b.candidates[host]; !ok || host == b.opts.Host || b.answeredAt[host].After(asked) {
		return false
	}
	b.suspects[host] = now
	b.departures = append(b.departures, departure{b.candidates[host], b.clock})
	delete(b.candidates, host)
	clear(b.owners)
	return true
}

// Left records that a host stops and owns no teams any more.
func (b *Book) Left(host string, now time.Time) {
	b.advance(now)
	b.left[host] = b.clock
	if hash, ok := b.candidates[host]; ok {
		b.departures = append(b.departures, departure{hash, b.clock})
		delete(b.candidates, host)
		clear(b.owners)
	}
}

// Leave makes the book hand over all teams with the next Update.
func (b *Book) Leave() { b.leaving = true }

// Owner returns the host that owns a team: the highest of a hash of both names. It is
// this host if no other is live.
func (b *Book) Owner(team string) string {
	if owner, ok := b.owners[team]; ok {
		return owner
	}
	owner, best, teamHash := b.opts.Host, uint64(0), xxhash.Sum64String(team)
	if k := b.owned[team]; k != nil && k.handedOver && b.starting() {
		b.owners[team] = owner
		return owner
	}
	for host, hash := range b.candidates {
		if s := score(teamHash, hash); s > best || s == best && host < owner {
			owner, best = host, s
		}
	}
	b.owners[team] = owner
	return owner
}

// Deputy returns the host that comes after the owner of a team, empty if there is none.
// It passes a question on to the owner, as long as it takes the same one for it.
func (b *Book) Deputy(team, owner string) string {
	deputy, best, teamHash := "", uint64(0), xxhash.Sum64String(team)
	for host, hash := range b.candidates {
		if s := score(teamHash, hash); host != owner && (deputy == "" || s > best || s == best && host < deputy) {
			deputy, best = host, s
		}
	}
	return deputy
}

// starting reports whether this host owns only what was handed over to it.
func (b *Book) starting() bool {
	_, isCandidate := b.candidates[b.opts.Host]
	return !isCandidate && !b.leaving
}

// score ranks a host for a team (the finalizer of MurmurHash3).
func score(team, host uint64) uint64 {
	x := team ^ host
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Share returns the part of a limit that this host grants as an owner.
func (b *Book) Share() float64 { return min(1, float64(b.heard)/float64(b.known)) }

// Hosts returns the number of known hosts, and of those that count as heard.
func (b *Book) Hosts() (known, heard int) { return b.known, b.heard }

// ownedSince returns when this host became the owner of a team that it owns: when the
// last host that comes before it departed, or at its start.
func (b *Book) ownedSince(team string) int64 {
	since, teamHash := b.started, xxhash.Sum64String(team)
	own, starting := score(teamHash, xxhash.Sum64String(b.opts.Host)), b.starting()
	for _, d := range b.departures {
		if starting || score(teamHash, d.hash) > own {
			since = max(since, d.at)
		}
	}
	return since
}

// Decide decides, as the owner of a team, on a request for tokens.
func (b *Book) Decide(team string, limit Limit, tokens float64, now time.Time) Decision {
	b.advance(now)
	k := b.owned[team]
	if k == nil {
		if b.Owner(team) == b.opts.Host {
			k = b.newBucket(team, limit, b.Share(), b.ownedSince(team))
		} else {
			// Another host takes this one for the owner.
			k = &bucket{at: b.clock, readyAt: b.clock + b.opts.joinTime().Microseconds(), createdAt: b.clock}
		}
		b.owned[team] = k
	}
	return b.take(k, limit, b.Share(), tokens)
}

// DecideLocal decides on a request for tokens without the owner, which does not
// answer, within the share of a single host.
func (b *Book) DecideLocal(team string, limit Limit, tokens float64, now time.Time) Decision {
	b.advance(now)
	k := b.local[team]
	share := 1 / float64(b.known)
	if k == nil {
		k = b.newBucket(team, limit, share, b.clock)
		b.local[team] = k
	}
	return b.take(k, limit, share, tokens)
}

// Answered records that a host has answered a question about a team. This host's own
// share is granted by the owner again.
func (b *Book) Answered(team, host string, now time.Time) {
	b.answeredAt[host] = now
	delete(b.local, team)
}

// Return gives back tokens that this host granted as the owner, with the stamp of the
// decision, for a request that has not run.
func (b *Book) Return(team string, tokens float64, stamp int64, now time.Time) bool {
	b.advance(now)
	return b.owned[team].giveBack(tokens, stamp)
}

// ReturnLocal is Return for a decision of DecideLocal.
func (b *Book) ReturnLocal(team string, tokens float64, stamp int64, now time.Time) bool {
	b.advance(now)
	return b.local[team].giveBack(tokens, stamp)
}

// Handover is a bucket that passes to a new owner.
type Handover struct {
	Team, To string
	Level    float64
}

// handovers removes the buckets of teams that another host owns.
func (b *Book) handovers() []Handover {
	var out []Handover
	for team, k := range b.owned {
		owner := b.Owner(team)
		if owner == b.opts.Host {
			continue
		}
		if k.readyAt <= b.clock {
			out = append(out, Handover{Team: team, To: owner, Level: k.level})
		}
		delete(b.owned, team)
	}
	return out
}

// Accept takes over the bucket of a team from its former owner, which has stopped
// granting.
func (b *Book) Accept(team string, level float64, now time.Time) {
	b.advance(now)
	k := b.owned[team]
	if k == nil {
		k = &bucket{at: b.clock, readyAt: b.clock + 1, createdAt: b.clock, usedAt: b.clock}
		b.owned[team] = k
	}
	if k.fromFirstStart {
		// The former owner has spent: this host has started again with the setting of the
		// first start.
		k.level, k.fromFirstStart = min(k.level, level), false
		return
	}
	if k.readyAt > b.clock {
		// Nothing was refilled; what was granted came from the start credit.
		k.level, k.at, k.readyAt, k.handedOver = max(k.level, level), b.clock, b.clock, true
		delete(b.owners, team)
	}
}

// Usage is the state of a team at its owner.
type Usage struct {
	Team  string
	Limit Limit
	Level float64
	// Granted counts the tokens granted since the bucket was created.
	Granted float64
}

// Owned returns the state of the teams that this host owns, in no order.
func (b *Book) Owned() []Usage {
	out := make([]Usage, 0, len(b.owned))
	for team, k := range b.owned {
		out = append(out, Usage{Team: team, Limit: k.limit, Level: k.level, Granted: k.granted})
	}
	return out
}
