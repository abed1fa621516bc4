package configstore

import (
	"context"
	"testing"
	"time"
)

// restartedMajority withdraws a key directly at hosts h1 to h3 but not at h0.
// Then it restarts h1 and h2 while the log is down and they reach only h0. It
// returns the usability of the key at h0 after the confirmation window.
func restartedMajority(disabled guards) Usability {
	s := newSim(1, disabled)
	step := func(n int) {
		for range n {
			for _, h := range s.hosts[:4] {
				_ = h.store.Step(context.Background(), 0)
			}
			s.log.endAtTick = append(s.log.endAtTick, s.log.reference.next)
			s.currentTick++
			s.clock.Advance(tick)
		}
	}
	step(40)
	for _, h := range s.hosts {
		h.link.cut = true
		h.group = 1
	}
	for _, h := range s.hosts[1:4] {
		h.store.Withdraw(simKey(1))
	}
	s.hosts[0].group, s.hosts[1].group, s.hosts[2].group = 0, 0, 0
	s.startProcess(s.hosts[1])
	s.startProcess(s.hosts[2])
	for range 2 * ConfirmWindow / time.Second {
		step(int(time.Second / tick))
		for _, h := range s.hosts[1:3] {
			s.hosts[0].store.MergePeerView(h.store.OwnView(), s.clock.Now())
		}
	}
	if !s.hosts[1].store.isReady() || s.hosts[1].store.View().Next() == 0 {
		s.fail("h1 did not start from h0")
		panic(s.violations)
	}
	_, u := s.hosts[0].store.Check(simKey(1))
	return u
}

// TestRestartedMajority guards against the loss of a withdrawal that was pushed
// to a majority of the domains when these hosts restart during a log outage.
// Hosts that are not caught up must not confirm the view of another host.
func TestRestartedMajority(t *testing.T) {
	if u := restartedMajority(guards{}); u != KeyUnconfirmed {
		t.Errorf("key is %s, want unconfirmed", u)
	}
	if u := restartedMajority(guards{caughtUp: true}); u != KeyUsable {
		t.Errorf("without the caught-up check the key is %s, want usable; the scenario proves nothing", u)
	}
}
