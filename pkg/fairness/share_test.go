package fairness

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Guards against a team that loses its share to many teams that ask for little: an equal
// share among all of them would be far below what it may have.
func TestSmallTeamsTakeNoShareAway(t *testing.T) {
	l := NewLedger(0, start)
	for i := range 70 {
		l.Add(fmt.Sprint("small", i), 1, start)
	}
	for i := range 4 {
		l.Add(fmt.Sprint("large", i), 10, start)
	}
	l.Add("burst", 45, start.Add(time.Second))
	if !l.OverShare("burst", 1.25) {
		t.Errorf("the team with the most work is within its share: %+v", l.Share("burst"))
	}
	for _, team := range []string{"large0", "small0", "unknown"} {
		if l.OverShare(team, 1.25) {
			t.Errorf("%s is over its share: %+v", team, l.Share(team))
		}
	}
	if s := l.Share("burst"); math.Abs(s.Within+s.Part-1) > 1e-9 || s.Fair >= s.Part {
		t.Errorf("share %+v", s)
	}
}

// Guards against a share that depends on how much more a team asks for than the others:
// one team with nearly all of the work is over its share, a single one never, nor are
// teams that have about the same.
func TestShareOfFewTeams(t *testing.T) {
	for _, c := range []struct {
		work [2]float64
		over bool
	}{{[2]float64{98, 2}, true}, {[2]float64{52, 48}, false}, {[2]float64{100, 0}, false}} {
		l := NewLedger(0, start)
		for i, w := range c.work {
			if w > 0 {
				l.Add(fmt.Sprint(i), w, start)
			}
		}
		if got := l.OverShare("0", 1.25); got != c.over || l.OverShare("1", 1.25) {
			t.Errorf("%v: over its share %t, want %t", c.work, got, c.over)
		}
	}
}

// Guards against the level of an earlier epoch or an earlier load.
func TestShareFollowsTheWork(t *testing.T) {
	l := NewLedger(time.Second, start)
	l.Add("a", 90, start)
	l.Add("b", 10, start)
	if !l.OverShare("a", 1.25) {
		t.Fatal("the larger team is within its share")
	}
	later := start.Add(time.Hour)
	l.AddPeer("b", 90, later)
	l.AddPeer("a", 10, later.Add(levelInterval))
	if l.OverShare("a", 1.25) || !l.OverShare("b", 1.25) {
		t.Errorf("a %+v, b %+v", l.Share("a"), l.Share("b"))
	}
	if len(l.AppendLocal(nil, "h", "1")) != 2 {
		t.Error("work of other hosts counts as that of this one")
	}
}

// Guards against reports that grow with the number of teams, and against old work that
// is reported as recent.
func TestUnreportedWorkIsBounded(t *testing.T) {
	u := NewUnreported(time.Second)
	for i := range 1000 {
		u.Add(fmt.Sprintf("t%03d", i), float64(1+i))
	}
	u.Add("refunded", 500)
	u.Add("refunded", -500)
	got := u.Take(3, start)
	if len(got) != 3 || got[0] != (TeamWork{"t999", 1000}) || got[2].Team != "t997" {
		t.Fatalf("reported %v", got)
	}
	u.Take(0, start.Add(time.Second))
	if got := u.Take(1, start.Add(time.Second)); len(got) != 1 || got[0].Team != "t996" || math.Abs(got[0].Work-997/math.E) > 1e-6 {
		t.Fatalf("a second later %v", got)
	}
	u.Take(0, start.Add(time.Minute))
	if len(u.work) != 0 {
		t.Errorf("%d teams are kept without recent work", len(u.work))
	}
}
