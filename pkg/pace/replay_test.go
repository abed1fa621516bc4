package pace

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	tick = time.Millisecond
	// answerTime is the time of a request at an endpoint with a free slot.
	answerTime   = 40 * time.Millisecond
	replaySlots  = 6
	replayUsual  = 2 * replaySlots
	reportPeriod = 100 * time.Millisecond
)

var replayStart = time.Unix(1_700_000_000, 0)

// replay runs requests through hosts that choose among five endpoints, the first of
// which can be chosen from returnsAt on and is then slow until slowUntil. Each host
// prefers the endpoint with the fewest of its own requests in flight.
type replay struct {
	hosts     int
	perSecond float64
	// limited says that the hosts limit the first endpoint, shared that they report
	// what they learn.
	limited, shared      bool
	slow                 float64
	returnsAt, slowUntil time.Duration
}

type flying struct {
	host, endpoint int
	sentAt, end    time.Time
}

// run returns the most requests that were in flight at the first endpoint before
// slowUntil, and the times at which requests were sent to it.
func (r replay) run(length time.Duration) (most int, sent []time.Duration) {
	rng := rand.New(rand.NewPCG(1, 2))
	ids := make([]string, 5)
	for i := range ids {
		ids[i] = fmt.Sprint("e", i)
	}
	var limiters []*Limiter
	for h := range r.hosts {
		l := NewLimiter(fmt.Sprint("h", h))
		l.SetHosts(r.hosts)
		if r.limited {
			l.Limit(Endpoint{ID: ids[0], Usual: replayUsual}, Ejected, replayStart)
		}
		limiters = append(limiters, l)
	}
	inFlight := make([][5]int, r.hosts)
	free := make([][replaySlots]time.Time, 5)
	var open []flying
	for at := time.Duration(0); at < length; at += tick {
		now := replayStart.Add(at)
		kept := open[:0]
		for _, f := range open {
			if f.end.After(now) {
				kept = append(kept, f)
				continue
			}
			inFlight[f.host][f.endpoint]--
			limiters[f.host].Answered(ids[f.endpoint], f.sentAt, answerTime, now)
		}
		open = kept
		if r.shared && at%reportPeriod == 0 {
			shareReports(limiters, now)
		}
		for rng.Float64() < r.perSecond*tick.Seconds() {
			host := rng.IntN(r.hosts)
			e := choose(limiters[host], ids, inFlight[host], at < r.returnsAt, rng.IntN(5), now)
			took := answerTime
			if e == 0 && at < r.slowUntil {
				took = time.Duration(r.slow * float64(took))
			}
			slot := 0
			for i := range free[e] {
				if free[e][i].Before(free[e][slot]) {
					slot = i
				}
			}
			begin := now
			if free[e][slot].After(now) {
				begin = free[e][slot]
			}
			free[e][slot] = begin.Add(took)
			open = append(open, flying{host, e, now, free[e][slot]})
			inFlight[host][e]++
			if e == 0 {
				sent = append(sent, at)
			}
		}
		n := 0
		for _, f := range open {
			if f.endpoint == 0 {
				n++
			}
		}
		if at < r.slowUntil {
			most = max(most, n)
		}
	}
	return most, sent
}

func shareReports(limiters []*Limiter, now time.Time) {
	for from, l := range limiters {
		for _, report := range l.TakeReports() {
			for to, other := range limiters {
				if to != from {
					other.ApplyReport(Endpoint{ID: report.ID, Usual: replayUsual}, report, now)
				}
			}
		}
	}
}

func choose(l *Limiter, ids []string, inFlight [5]int, firstGone bool, rotation int, now time.Time) int {
	var able []int
	for i := range ids {
		if e := (i + rotation) % len(ids); e != 0 || !firstGone {
			able = append(able, e)
		}
	}
	full := l.Full(len(able), func(i int) (string, int) { return ids[able[i]], inFlight[able[i]] }, now)
	best := -1
	for i, e := range able {
		if (full == nil || !full[i]) && (best < 0 || inFlight[e] < inFlight[best]) {
			best = e
		}
	}
	return best
}

func countBetween(times []time.Duration, from, to time.Duration) int {
	n := 0
	for _, t := range times {
		if t >= from && t < to {
			n++
		}
	}
	return n
}

// TestReplaySlowAfterEjection replays an endpoint that is eight times slower than
// usual for four seconds after its ejection. It guards against hosts that flood it,
// and against one that stays without work once it is fast again.
func TestReplaySlowAfterEjection(t *testing.T) {
	for _, hosts := range []int{6, 65} {
		r := replay{hosts: hosts, perSecond: 300, limited: true, shared: true, slow: 8, returnsAt: 2 * time.Second, slowUntil: 6 * time.Second}
		most, sent := r.run(12 * time.Second)
		after := countBetween(sent, 9*time.Second, 12*time.Second)
		t.Logf("%d hosts: at most %d in flight while slow, %d requests in the last 3 s", hosts, most, after)
		if most > replaySlots {
			t.Errorf("%d hosts: %d requests in flight at the slow endpoint", hosts, most)
		}
		if after < 3*45 {
			t.Errorf("%d hosts: %d requests in the last 3 s, a fair share is 180", hosts, after)
		}
		r.limited = false
		if unlimited, _ := r.run(6 * time.Second); unlimited < 2*most {
			t.Errorf("%d hosts: without a limit only %d requests in flight, the load shows nothing", hosts, unlimited)
		}
	}
}

// TestReplayFullRecovery replays an endpoint that is as fast as before at the end of
// its ejection. It guards against a limit that keeps it idle, and against hosts that
// each have to learn by themselves.
func TestReplayFullRecovery(t *testing.T) {
	for _, hosts := range []int{6, 65} {
		r := replay{hosts: hosts, perSecond: 300, limited: true, shared: true, returnsAt: 2 * time.Second}
		_, sent := r.run(6 * time.Second)
		got := countBetween(sent, 3500*time.Millisecond, 6*time.Second)
		r.shared = false
		_, sent = r.run(6 * time.Second)
		alone := countBetween(sent, 3500*time.Millisecond, 6*time.Second)
		t.Logf("%d hosts: %d of 150 requests from 1.5 s on, %d without reports", hosts, got, alone)
		if got < 120 {
			t.Errorf("%d hosts: %d requests from 1.5 s after the ejection on, a fair share is 150", hosts, got)
		}
		if hosts == 65 && alone >= got {
			t.Errorf("%d hosts: reports make no difference: %d, without %d", hosts, got, alone)
		}
	}
}

// TestHostsTakeTurns guards against windows that no host may use because each share
// is below one request, and against hosts that all use it at once.
func TestHostsTakeTurns(t *testing.T) {
	const hosts = 65
	var limiters []*Limiter
	for h := range hosts {
		l := NewLimiter(fmt.Sprint("h", h))
		l.SetHosts(hosts)
		limiters = append(limiters, l)
	}
	total, crowded, had := 0, 0, map[int]bool{}
	const turns = 400
	for turn := range turns {
		now, together := replayStart.Add(time.Duration(turn)*turnTime), 0
		for h, l := range limiters {
			l.Limit(Endpoint{ID: "e", Usual: replayUsual}, Restarted, now)
			if !l.Full(2, func(i int) (string, int) { return []string{"e", "open"}[i], 0 }, now)[0] {
				together++
				had[h] = true
			}
		}
		total += together
		if float64(together) > 3*startWindow {
			crowded++
		}
	}
	if mean := float64(total) / turns; mean < 0.8*startWindow || mean > 1.2*startWindow || crowded > turns/50 {
		t.Errorf("%.2f hosts at a time, more than three times the window of %g in %d of %d turns", mean, startWindow, crowded, turns)
	}
	if len(had) < hosts {
		t.Errorf("%d of %d hosts had a turn", len(had), hosts)
	}
}

// TestFirstStartIsNotLimited guards against limits when all endpoints have just
// started, and against those that would leave too few endpoints.
func TestFirstStartIsNotLimited(t *testing.T) {
	l := NewLimiter("h")
	l.SetHosts(10)
	ids := []string{"a", "b", "c", "d", "e"}
	full := func() []bool {
		return l.Full(len(ids), func(i int) (string, int) { return ids[i], 50 }, replayStart)
	}
	for i, id := range ids {
		l.Limit(Endpoint{ID: id, Usual: replayUsual}, Joined, replayStart)
		if got := full(); (got != nil) != (i < 2) {
			t.Errorf("%d of 5 endpoints limited: %v", i+1, got)
		}
	}
}

// TestLimitEnds guards against limits that never end: by answers, without any work,
// by a report, and when the endpoint is gone.
func TestLimitEnds(t *testing.T) {
	e := Endpoint{ID: "e", Usual: replayUsual}
	offered := func(l *Limiter, after time.Duration) {
		l.Full(2, func(i int) (string, int) { return []string{"e", "open"}[i], 0 }, replayStart.Add(after))
	}
	for cause, end := range map[string]func(*Limiter){
		causeAnswers: func(l *Limiter) {
			for range replayUsual {
				l.Answered("e", replayStart, answerTime, replayStart.Add(answerTime))
			}
		},
		causeTime:   func(l *Limiter) { offered(l, 0); offered(l, expiry+1) },
		causeReport: func(l *Limiter) { l.ApplyReport(e, Report{ID: "e", Reason: Paused}, replayStart) },
		causeGone:   func(l *Limiter) { l.Forget("e", replayStart) },
	} {
		l := NewLimiter("h")
		l.Limit(e, Paused, replayStart)
		end(l)
		events := l.TakeTransitions()
		if l.Any() || len(events) != 2 || events[1].Cause != cause {
			t.Errorf("%s: limited %v, %+v", cause, l.Any(), events)
		}
	}
}

// TestPeerReportBeginsLimit guards against hosts that miss a limit or begin one for
// the ejection of a host that may itself be cut off, and against a limit that goes
// back and forth between hosts.
func TestPeerReportBeginsLimit(t *testing.T) {
	e := Endpoint{ID: "e", Usual: replayUsual}
	from, to := NewLimiter("a"), NewLimiter("b")
	from.Limit(e, Paused, replayStart)
	reports := from.TakeReports()
	if len(reports) != 1 {
		t.Fatalf("reports %+v", reports)
	}
	to.ApplyReport(e, reports[0], replayStart)
	if !to.Any() {
		t.Error("a reported pause begins no limit")
	}
	to.ApplyReport(e, Report{ID: "e", Reason: Paused}, replayStart)
	to.ApplyReport(e, reports[0], replayStart.Add(time.Second))
	if to.Any() {
		t.Error("a limit that has just ended began again")
	}
	reports[0].Reason = Ejected
	to.ApplyReport(e, reports[0], replayStart.Add(time.Minute))
	if to.Any() {
		t.Error("the ejection of another host began a limit")
	}
}
