package quota_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/quota"
)

const (
	simStep = 10 * time.Millisecond
	// questionTime is how long a question is awaited.
	questionTime = 70 * time.Millisecond
)

// site simulates hosts with their books, their heartbeats and the links between them.
type site struct {
	random *rand.Rand
	now    time.Time
	bounds quota.Bounds
	hosts  []*simHost
	limits map[string]quota.Limit
	spends map[string][]spend
	asked  map[string]float64
	// loss is the part of the datagrams that are lost.
	loss float64
}

type spend struct {
	at     time.Time
	tokens float64
}

type simHost struct {
	name   string
	domain int
	book   *quota.Book
	// group is the side of a cut; hosts of different groups do not reach each other.
	group        int
	up           bool
	frozenUntil  time.Time
	startedAt    time.Time
	heard, since map[string]time.Time
	// skew is added to the time that the host reads.
	skew  time.Duration
	phase time.Duration
}

func newSite(seed uint64, hosts int, firstStart bool) *site {
	s := &site{random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1e9, 0), bounds: quota.DefaultBounds(),
		limits: map[string]quota.Limit{}, spends: map[string][]spend{}, asked: map[string]float64{}}
	for range hosts {
		s.addHost(firstStart)
	}
	return s
}

// addHost starts a host that knows the others; they learn of it within a second.
func (s *site) addHost(firstStart bool) *simHost {
	i := len(s.hosts)
	h := &simHost{name: fmt.Sprintf("host-%d", i), domain: i % 3, group: 0, up: true, startedAt: s.now, heard: map[string]time.Time{}, since: map[string]time.Time{},
		phase: time.Duration(s.random.Int64N(int64(time.Second)))}
	h.book = quota.NewBook(quota.Options{Host: h.name, Bounds: s.bounds, StartedAt: s.now, FirstStart: firstStart})
	s.hosts = append(s.hosts, h)
	return h
}

func (s *site) runs(h *simHost) bool { return h.up && !s.now.Before(h.frozenUntil) }

func (s *site) reach(a, b *simHost) bool {
	return a != b && s.runs(a) && s.runs(b) && a.group == b.group && (s.loss == 0 || s.random.Float64() >= s.loss)
}

// exchange reports whether a question, which is sent twice at most, is answered.
func (s *site) exchange(a, b *simHost) bool {
	for range 2 {
		if s.reach(a, b) && s.reach(b, a) {
			return true
		}
	}
	return false
}

// knows reports whether a host has read the announcement of another one.
func (s *site) knows(a, b *simHost) bool {
	return a.startedAt.After(b.startedAt) || s.now.Sub(b.startedAt) > 900*time.Millisecond
}

func (h *simHost) hear(name string, now time.Time) {
	if now.Sub(h.heard[name]) > 2500*time.Millisecond {
		h.since[name] = now
	}
	h.heard[name] = now
}

// tick moves the time on: heartbeats each second, updates of the books each 250 ms.
func (s *site) tick() {
	s.now = s.now.Add(simStep)
	for _, h := range s.hosts {
		if !s.runs(h) {
			continue
		}
		age := s.now.Sub(h.startedAt) + h.phase
		if age%time.Second < simStep {
			for _, to := range s.hosts {
				if s.reach(h, to) && s.knows(h, to) && s.knows(to, h) {
					to.hear(h.name, s.now)
				}
			}
		}
		if age%(250*time.Millisecond) < simStep || s.now.Sub(h.startedAt) < 2*simStep {
			s.update(h)
		}
	}
}

func (s *site) update(h *simHost) {
	now := s.now.Add(h.skew)
	var peers []quota.Peer
	for _, p := range s.hosts {
		if p == h || !s.knows(h, p) {
			continue
		}
		last := h.heard[p.name]
		peer := quota.Peer{Host: p.name, Live: s.now.Sub(last) < 3500*time.Millisecond || s.now.Sub(h.startedAt) < 3500*time.Millisecond}
		if !last.IsZero() {
			peer.HeardAt, peer.HeardSince = last.Add(h.skew), h.since[p.name].Add(h.skew)
			peer.DirectAt = peer.HeardAt
		}
		peers = append(peers, peer)
	}
	for _, o := range h.book.Update(now, peers) {
		if to := s.host(o.To); s.reach(h, to) {
			to.book.Accept(o.Team, o.Level, s.now.Add(to.skew))
		}
	}
}

func (s *site) host(name string) *simHost {
	i := slices.IndexFunc(s.hosts, func(h *simHost) bool { return h.name == name })
	return s.hosts[i]
}

// ask follows the way of a question: to the owner, to the deputy, which passes it on to
// the owner that it knows of, and to the local share.
func (s *site) ask(h *simHost, team string, tokens float64) (d quota.Decision, giveBack func()) {
	limit, now := s.limits[team], s.now.Add(h.skew)
	asked := now.Add(-questionTime)
	name := h.book.Owner(team)
	for range 2 {
		owner := s.host(name)
		if owner != h && !s.exchange(h, owner) {
			h.book.Suspect(name, asked, now)
			if next := h.book.Owner(team); next != name {
				name = next
			} else if name = h.book.Deputy(team, name); name == "" {
				break
			}
			continue
		}
		if owner != h {
			owner.hear(h.name, s.now)
			h.book.Answered(team, name, now)
		}
		if next := s.host(owner.book.Owner(team)); next != owner {
			at := s.now.Add(owner.skew)
			if next == h || s.exchange(owner, next) {
				owner.book.Answered(team, next.name, at)
				owner = next
			} else {
				owner.book.Suspect(next.name, at.Add(-questionTime), at)
			}
		}
		d = owner.book.Decide(team, limit, tokens, s.now.Add(owner.skew))
		return d, func() { owner.book.Return(team, tokens, d.Stamp, s.now.Add(owner.skew)) }
	}
	d = h.book.DecideLocal(team, limit, tokens, now)
	return d, func() { h.book.ReturnLocal(team, tokens, d.Stamp, now) }
}

// load is the demand of a team.
type load struct {
	team      string
	perSecond float64
	// min and max bound the tokens of a request.
	min, max float64
	// at returns the host for a request, nil for any.
	at func(s *site) *simHost
	// unrun is the part of the requests that are granted and do not run.
	unrun float64
}

// play runs the site for a time under load.
func (s *site) play(d time.Duration, loads ...load) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.tick()
		for _, l := range loads {
			for due := l.perSecond * simStep.Seconds(); due > 0; {
				tokens := l.min + s.random.Float64()*(l.max-l.min)
				if due < tokens && s.random.Float64() >= due/tokens {
					break
				}
				due -= tokens
				s.request(l, tokens)
			}
		}
	}
}

func (s *site) request(l load, tokens float64) {
	var h *simHost
	if l.at != nil {
		h = l.at(s)
	} else {
		h = s.hosts[s.random.IntN(len(s.hosts))]
	}
	if !s.runs(h) {
		return
	}
	s.asked[l.team] += tokens
	d, giveBack := s.ask(h, l.team, tokens)
	switch {
	case d.Grant && s.random.Float64() < l.unrun:
		giveBack()
	case d.Grant:
		s.spends[l.team] = append(s.spends[l.team], spend{s.now.Add(d.After), tokens})
	}
}

// total returns what a team has spent.
func (s *site) total(team string) (sum float64) {
	for _, x := range s.spends[team] {
		sum += x.tokens
	}
	return sum
}

// worst returns the most that a team has spent in any span of the window.
func (s *site) worst(team string, window time.Duration) (worst float64) {
	list := slices.Clone(s.spends[team])
	slices.SortFunc(list, func(a, b spend) int { return a.at.Compare(b.at) })
	sum, first := 0.0, 0
	for _, x := range list {
		sum += x.tokens
		for x.at.Sub(list[first].at) > window {
			sum -= list[first].tokens
			first++
		}
		worst = max(worst, sum)
	}
	return worst
}

// checkBound fails if a team has spent more than allowed in any window.
func (s *site) checkBound(t *testing.T, team string) {
	t.Helper()
	allowed := s.bounds.Max(s.limits[team])
	if worst := s.worst(team, s.bounds.Window); worst > allowed {
		t.Errorf("team %s: %.0f in a window, %.0f allowed (%.3f)", team, worst, allowed, worst/allowed)
	} else {
		t.Logf("team %s: %.3f of the bound, %.4f of what it asked for", team, worst/allowed, s.total(team)/max(s.asked[team], 1))
	}
}

// checkServed fails if a team got less than a part of what it asked for.
func (s *site) checkServed(t *testing.T, team string, part float64) {
	t.Helper()
	if got := s.total(team) / s.asked[team]; got < part {
		t.Errorf("team %s: %.4f of the tokens granted, want %.4f", team, got, part)
	}
}

var bigLimit = quota.Limit{Rate: 1832272, Burst: 1832272}

// TestFirstStartRefusesNothing guards against refusals in the first seconds of the
// system and on a day without faults.
func TestFirstStartRefusesNothing(t *testing.T) {
	for _, hosts := range []int{1, 6, 62} {
		s := newSite(1, hosts, true)
		s.limits["big"], s.limits["small"] = bigLimit, quota.Limit{Rate: 40000, Burst: 80000}
		s.play(1300 * time.Millisecond)
		s.play(20*time.Second, load{team: "big", perSecond: 1.6e6, min: 1500, max: 17000}, load{team: "small", perSecond: 25000, min: 100, max: 4000})
		for _, team := range []string{"big", "small"} {
			s.checkBound(t, team)
			s.checkServed(t, team, 0.98)
		}
	}
}

// TestFirstStartBeforeHeartbeats guards against refusals while the heartbeats of the
// first start are on their way, and against a second full bucket at a host that starts
// again with the setting of the first start.
func TestFirstStartBeforeHeartbeats(t *testing.T) {
	now := time.Unix(1e9, 0)
	b := quota.NewBook(quota.Options{Host: "a", Bounds: quota.DefaultBounds(), StartedAt: now, FirstStart: true})
	b.Update(now, []quota.Peer{{Host: "b", Live: true}, {Host: "c", Live: true}})
	if share := b.Share(); share != 1 {
		t.Errorf("share %g", share)
	}
	if d := b.Decide("team", bigLimit, 1, now); !d.Grant || d.Level != bigLimit.Burst-1 {
		t.Errorf("%+v", d)
	}
	b.Accept("team", 1000, now)
	if d := b.Decide("team", bigLimit, 1, now); !d.Grant || d.Level != 999 {
		t.Errorf("after a handover of 1000: %+v", d)
	}
}

// TestBusyTeamKeepsItsLimit guards against a team that gets more than its limit at many
// times its load, against one that gets much less, and against effects on others.
func TestBusyTeamKeepsItsLimit(t *testing.T) {
	s := newSite(2, 9, false)
	s.limits["busy"], s.limits["small"] = quota.Limit{Rate: 200000, Burst: 200000}, quota.Limit{Rate: 50000, Burst: 50000}
	s.play(5 * time.Second)
	s.play(30*time.Second, load{team: "busy", perSecond: 2e6, min: 1500, max: 17000}, load{team: "small", perSecond: 30000, min: 1000, max: 5000})
	s.checkBound(t, "busy")
	s.checkServed(t, "small", 0.99)
	if got := s.total("busy") / (200000 * 30); got < 0.95 {
		t.Errorf("the busy team got %.3f of its rate", got)
	}
}

// TestDemandMovesBetweenHosts guards against shares that are left at hosts where the
// demand was before.
func TestDemandMovesBetweenHosts(t *testing.T) {
	s := newSite(3, 9, false)
	s.limits["team"] = quota.Limit{Rate: 200000, Burst: 200000}
	s.play(5 * time.Second)
	at := func(s *site) *simHost { return s.hosts[int(s.now.UnixMilli()/700)%len(s.hosts)] }
	s.play(20*time.Second, load{team: "team", perSecond: 160000, min: 1500, max: 17000, at: at})
	s.checkBound(t, "team")
	s.checkServed(t, "team", 0.98)
}

// TestHostsKilledAndAdded guards against a limit that is granted twice when the owner
// changes, and against long refusals: killed hosts cost their share, and a second and a
// half for the teams that they owned.
func TestHostsKilledAndAdded(t *testing.T) {
	s := newSite(4, 12, false)
	var loads []load
	for i := range 24 {
		team := fmt.Sprintf("team-%d", i)
		s.limits[team] = quota.Limit{Rate: 100000, Burst: 150000}
		loads = append(loads, load{team: team, perSecond: 80000, min: 1500, max: 9000}, load{team: team + "-full", perSecond: 400000, min: 1500, max: 17000})
		s.limits[team+"-full"] = s.limits[team]
	}
	s.play(5 * time.Second)
	for i := range 2 {
		s.play(4*time.Second, loads...)
		s.hosts[i].up = false
		s.play(4*time.Second, loads...)
		s.addHost(false)
	}
	s.play(4*time.Second, loads...)
	asked, got := 0.0, 0.0
	for team := range s.limits {
		s.checkBound(t, team)
	}
	for i := range 24 {
		team := fmt.Sprintf("team-%d", i)
		asked, got = asked+s.asked[team], got+s.total(team)
	}
	if got < 0.96*asked {
		t.Errorf("teams below their rate got %.3f of their tokens", got/asked)
	}
}

// TestHostsAddedCostNothing guards against refusals when a team passes to a host that
// was added, and against a second full bucket there.
func TestHostsAddedCostNothing(t *testing.T) {
	s := newSite(5, 6, false)
	var loads []load
	for i := range 30 {
		team := fmt.Sprintf("team-%d", i)
		s.limits[team] = quota.Limit{Rate: 100000, Burst: 100000}
		loads = append(loads, load{team: team, perSecond: 60000, min: 1500, max: 9000})
	}
	s.play(5 * time.Second)
	for range 4 {
		s.play(3*time.Second, loads...)
		s.addHost(false)
	}
	s.play(5*time.Second, loads...)
	for team := range s.limits {
		s.checkBound(t, team)
		s.checkServed(t, team, 0.98)
	}
}

// TestPartitionedDomain guards against more than the limit in both sides of a cut that
// is longer than the window, when it begins and when it ends.
func TestPartitionedDomain(t *testing.T) {
	for seed := range uint64(4) {
		s := newSite(10+seed, 9, false)
		var loads []load
		for i := range 6 {
			team := fmt.Sprintf("team-%d", i)
			s.limits[team] = bigLimit
			loads = append(loads, load{team: team, perSecond: 3 * bigLimit.Rate, min: 1500, max: 17000})
		}
		s.play(5 * time.Second)
		s.play(10*time.Second, loads...)
		for _, h := range s.hosts {
			if seed < 2 && h.domain == 0 || seed >= 2 {
				h.group = 1 + h.domain
			}
		}
		s.play(12*time.Second, loads...)
		before := s.total("team-0")
		s.play(4*time.Second, loads...)
		if got := (s.total("team-0") - before) / (4 * bigLimit.Rate); got < 0.9 {
			t.Errorf("the sides of a cut grant %.3f of the limit", got)
		}
		for _, h := range s.hosts {
			h.group = 0
		}
		s.play(10*time.Second, loads...)
		for team := range s.limits {
			s.checkBound(t, team)
		}
	}
}

// TestLoweredLimit guards against a former limit that is still granted after a window.
func TestLoweredLimit(t *testing.T) {
	s := newSite(6, 6, false)
	s.limits["team"] = quota.Limit{Rate: 500000, Burst: 500000}
	s.play(5 * time.Second)
	l := load{team: "team", perSecond: 2e6, min: 1500, max: 17000}
	s.play(10*time.Second, l)
	s.limits["team"] = quota.Limit{Rate: 50000, Burst: 50000}
	s.spends["team"] = nil
	s.play(20*time.Second, l)
	s.checkBound(t, "team")
	// What was granted for later before the change is paid from the new rate.
	if got := s.total("team") / (20 * 50000); got < 0.9 {
		t.Errorf("the team got %.3f of its new rate", got)
	}
}

// TestRequestsLargerThanTheBurst guards against requests that are refused for ever
// though the slack covers them, and against those that it does not cover.
func TestRequestsLargerThanTheBurst(t *testing.T) {
	s := newSite(7, 6, false)
	s.limits["team"] = quota.Limit{Rate: 20000, Burst: 20000}
	s.play(5 * time.Second)
	s.play(60*time.Second, load{team: "team", perSecond: 60000, min: 60000, max: 90000})
	s.checkBound(t, "team")
	if got := s.total("team") / (60 * 20000); got < 0.8 {
		t.Errorf("large requests got %.3f of the rate", got)
	}
	if d := s.hosts[0].book.Decide("team", s.limits["team"], 400000, s.now); d.Grant || d.Reason != quota.ReasonTooLarge || d.After <= 0 {
		t.Errorf("a request of twenty bursts: %+v", d)
	}
}

// TestClockJumpsAndFreezes guards against credit for time that did not pass, and
// against a frozen owner that grants beside its successor.
func TestClockJumpsAndFreezes(t *testing.T) {
	s := newSite(8, 6, false)
	var loads []load
	for i := range 6 {
		team := fmt.Sprintf("team-%d", i)
		s.limits[team] = bigLimit
		loads = append(loads, load{team: team, perSecond: 3 * bigLimit.Rate, min: 1500, max: 17000})
	}
	s.play(5 * time.Second)
	for i, h := range s.hosts {
		s.play(5*time.Second, loads...)
		if i%2 == 0 {
			h.skew += time.Duration(i-2) * time.Hour
		} else {
			h.frozenUntil = s.now.Add(4 * time.Second)
		}
	}
	s.play(5*time.Second, loads...)
	for team := range s.limits {
		s.checkBound(t, team)
	}
}

// TestReturnedTokens guards against credit that is lost with requests that do not run,
// and against credit that is made by returning.
func TestReturnedTokens(t *testing.T) {
	s := newSite(9, 6, false)
	s.limits["team"] = quota.Limit{Rate: 200000, Burst: 200000}
	s.play(5 * time.Second)
	s.play(30*time.Second, load{team: "team", perSecond: 1e6, min: 1500, max: 17000, unrun: 0.5})
	s.checkBound(t, "team")
	if got := s.total("team") / (30 * 200000); got < 0.95 {
		t.Errorf("the team got %.3f of its rate", got)
	}
	b := s.hosts[0].book
	d := b.Decide("team", s.limits["team"], 1, s.now)
	if b.Return("team", 1, d.Stamp-int64(time.Hour/time.Microsecond), s.now) {
		t.Error("tokens of an earlier bucket were taken back")
	}
}

// TestHistories generates histories of cuts, freezes, kills, additions, losses and
// clock jumps, and guards against a team above its bound after any sequence of them.
func TestHistories(t *testing.T) {
	histories := 40
	if testing.Short() {
		histories = 10
	}
	for seed := range uint64(histories) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			s := newSite(100+seed, 3+int(seed%10), seed%3 == 0)
			s.loss = []float64{0, 0.01, 0.05}[seed%3]
			var loads []load
			for i := range 4 {
				team := fmt.Sprintf("team-%d", i)
				rate := []float64{20000, 200000, bigLimit.Rate, bigLimit.Rate}[i]
				s.limits[team] = quota.Limit{Rate: rate, Burst: rate * (0.5 + s.random.Float64())}
				loads = append(loads, load{team: team, perSecond: min(rate*(0.5+3*s.random.Float64()), 4e6), min: 1500, max: 17000 + 73000*float64(i%2), unrun: 0.2 * s.random.Float64()})
			}
			s.play(1300 * time.Millisecond)
			killed := 0
			for range 12 {
				s.play(time.Duration(s.random.Int64N(int64(4*time.Second))), loads...)
				h := s.hosts[s.random.IntN(len(s.hosts))]
				switch s.random.IntN(7) {
				case 0:
					if killed < len(s.hosts)/3 {
						h.up, killed = false, killed+1
					}
				case 1:
					s.addHost(false)
				case 2:
					h.frozenUntil = s.now.Add(time.Duration(s.random.Int64N(int64(6 * time.Second))))
				case 3:
					h.skew += time.Duration(s.random.Int64N(int64(time.Hour))) - 30*time.Minute
				case 4:
					for _, other := range s.hosts {
						if other.domain == h.domain {
							other.group = 1 + other.domain
						}
					}
				default:
					for _, other := range s.hosts {
						other.group = 0
					}
				}
			}
			for team := range s.limits {
				s.checkBound(t, team)
			}
		})
	}
}
