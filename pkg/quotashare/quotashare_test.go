package quotashare

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/logging"
	"github.com/clementineshed/clementineshed/pkg/quota"
)

// network connects services. Hosts always hear each other unless they are down.
type network struct {
	mu       sync.Mutex
	services map[string]*Service
	// drop decides whether a datagram is lost.
	drop func(from, to string, data []byte) bool
	down map[string]time.Time
	sent int
}

var limit = quota.Limit{Rate: 1e5, Burst: 1e5}

// hearTime is the default of quota.Options.HearTime.
const hearTime = 1500 * time.Millisecond

// newNetwork starts services that have been running for long.
func newNetwork(t *testing.T, hosts int) *network {
	t.Helper()
	n := &network{services: map[string]*Service{}, down: map[string]time.Time{}, drop: func(string, string, []byte) bool { return false }}
	started := time.Now().Add(-time.Minute)
	for i := range hosts {
		name := fmt.Sprintf("host-%d", i)
		s := New(Options{Book: quota.Options{Host: name, Bounds: quota.DefaultBounds(), StartedAt: started},
			Send:  func(to string, data []byte) bool { n.deliver(name, to, data); return true },
			Heard: func(string) {}, Metrics: NewMetrics(), Log: logging.Discard(),
			Peers: func() []quota.Peer {
				n.mu.Lock()
				defer n.mu.Unlock()
				var peers []quota.Peer
				for j := range hosts {
					other := fmt.Sprintf("host-%d", j)
					p := quota.Peer{Host: other, HeardAt: time.Now(), HeardSince: started}
					if at := n.down[other]; !at.IsZero() {
						p.HeardAt = at
					}
					p.Live = time.Since(p.HeardAt) < 3500*time.Millisecond
					if other != name {
						peers = append(peers, p)
					}
				}
				return peers
			}})
		n.services[name] = s
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() { defer close(done); s.Run(ctx) }()
		t.Cleanup(func() { cancel(); <-done })
	}
	return n
}

func (n *network) deliver(from, to string, data []byte) {
	n.mu.Lock()
	n.sent++
	s, lost := n.services[to], !n.down[to].IsZero() || !n.down[from].IsZero() || n.drop(from, to, data)
	n.mu.Unlock()
	if !lost {
		go s.Receive(data, func(data []byte) { n.deliver(to, from, data) })
	}
}

// setDrop sets which datagrams are lost.
func (n *network) setDrop(drop func(from, to string, data []byte) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.drop = drop
}

func (n *network) take(host string, tokens float64) Result {
	return n.services[host].Take(context.Background(), "team", limit, tokens)
}

// ownerAndOther returns the owner of the team and another host.
func (n *network) ownerAndOther(t *testing.T) (owner, other string) {
	t.Helper()
	r := n.take("host-0", 1)
	if !r.Grant || r.Owner == "" {
		t.Fatalf("first request: %+v", r)
	}
	if r.Owner == "host-0" {
		return r.Owner, "host-1"
	}
	return r.Owner, "host-0"
}

// TestHostsShareOneBucket guards against hosts that each grant the whole limit, and
// against tokens that are lost with requests that have not run.
func TestHostsShareOneBucket(t *testing.T) {
	n := newNetwork(t, 4)
	n.ownerAndOther(t)
	granted, began := 0.0, time.Now()
	var last Result
	for i := range 40 {
		if r := n.take(fmt.Sprintf("host-%d", i%4), 10000); r.Grant {
			granted, last = granted+10000, r
		} else if r.Reason != quota.ReasonOverLimit || r.After <= 0 {
			t.Fatalf("refusal: %+v", r)
		}
	}
	if most := limit.Burst + limit.Rate*time.Since(began).Seconds(); granted < 1e5 || granted > most {
		t.Errorf("%.0f granted, at most %.0f allowed", granted, most)
	}
	n.services["host-2"].Return("team", last)
	time.Sleep(50 * time.Millisecond)
	if r := n.take("host-3", 10000); !r.Grant {
		t.Errorf("tokens that were given back are not granted: %+v", r)
	}
}

// TestLostDatagrams guards against questions that are charged twice when they are sent
// again, and against grants that are kept when the answer comes too late.
func TestLostDatagrams(t *testing.T) {
	n := newNetwork(t, 2)
	owner, other := n.ownerAndOther(t)
	first := true
	n.setDrop(func(_, to string, data []byte) bool {
		lost := first && to == other && data[0] == AnswerHeader
		first = first && !lost
		return lost
	})
	before := n.level(owner)
	if r := n.take(other, 50000); !r.Grant || r.Owner != owner {
		t.Fatalf("%+v", r)
	}
	if spent := before - n.level(owner); spent > 50000 {
		t.Errorf("%.0f charged for 50000", spent)
	}
	n.mu.Lock()
	service := n.services[other]
	n.mu.Unlock()
	service.mu.Lock()
	service.late[77] = lateQuestion{team: "team", host: owner, tokens: 20000, at: time.Now()}
	service.mu.Unlock()
	before = n.level(owner)
	service.Receive(encode(answer{ID: 77, Grant: true, Decided: true, Stamp: time.Now().UnixMicro() - 1000}), nil)
	time.Sleep(50 * time.Millisecond)
	if got := n.level(owner); got < min(before+15000, limit.Burst) {
		t.Errorf("level %.0f after a late grant of 20000, %.0f before", got, before)
	}
}

// level returns the credit of the team at a host.
func (n *network) level(host string) float64 {
	return n.take(host, 0).Level
}

// TestSilentOwner guards against requests that wait for an owner that is gone, each of
// them or for long, and against a successor that grants at once.
func TestSilentOwner(t *testing.T) {
	n := newNetwork(t, 5)
	owner, other := n.ownerAndOther(t)
	n.mu.Lock()
	n.down[owner] = time.Now()
	n.mu.Unlock()
	began := time.Now()
	r := n.services[other].decide(context.Background(), "team", limit, 50000)
	if took := time.Since(began); took > 400*time.Millisecond || r.Grant {
		t.Errorf("after %v: %+v", took, r)
	}
	// The request is held until the successor grants.
	if r := n.take(other, 100); !r.Grant || r.Owner == owner {
		t.Errorf("successor: %+v", r)
	}
	// The owner counts as heard for hearTime, and until the next update of the successor's
	// book, which may be late by as much.
	heardUntil := began.Add(hearTime + 2*updateInterval)
	deadline := time.Now().Add(4 * time.Second)
	for r = n.take(other, 30000); (!r.Grant || r.Share == 1) && time.Now().Before(deadline); r = n.take(other, 30000) {
		if r.Grant && time.Now().After(heardUntil) {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if !r.Grant || r.Share != 0.8 {
		t.Errorf("four of five hosts, %v after the end of the owner: %+v", time.Since(began), r)
	}
}

// TestPartlyReachableOwner guards against a second bucket when only some hosts reach
// the owner: the others' questions reach it by its deputy.
func TestPartlyReachableOwner(t *testing.T) {
	n := newNetwork(t, 4)
	owner, other := n.ownerAndOther(t)
	for i := range 4 {
		// The deputy itself has nobody to ask but the owner.
		if host := fmt.Sprintf("host-%d", i); host != owner {
			n.take(host, 1)
			if n.services[host].book.Deputy("team", owner) != host {
				other = host
			}
		}
	}
	n.setDrop(func(from, to string, _ []byte) bool {
		return from == other && to == owner || from == owner && to == other
	})
	for range 3 {
		if r := n.take(other, 1000); !r.Grant || r.Owner != owner {
			t.Errorf("%+v, want a grant of %s", r, owner)
		}
	}
}

// TestLeavingOwnerHandsOver guards against credit that is lost or granted twice when an
// owner stops.
func TestLeavingOwnerHandsOver(t *testing.T) {
	n := newNetwork(t, 3)
	owner, _ := n.ownerAndOther(t)
	n.take(owner, 60000)
	n.services[owner].Leave()
	time.Sleep(50 * time.Millisecond)
	r := n.take(owner, 0)
	if r.Owner == owner || r.Level < 39000 || r.Level > 80000 {
		t.Errorf("after the handover: %+v", r)
	}
}

// TestIdleServiceHasNoState guards against datagrams and state where no team has a
// quota, and where none has asked for long.
func TestIdleServiceHasNoState(t *testing.T) {
	n := newNetwork(t, 3)
	time.Sleep(300 * time.Millisecond)
	if n.sent != 0 || n.services["host-0"].State().Known != 0 {
		t.Errorf("%d datagrams, state %+v", n.sent, n.services["host-0"].State())
	}
	n.take("host-0", 1)
	n.services["host-0"].update(time.Now().Add(2 * idleTime))
	if s := n.services["host-0"].State(); s.Known != 0 {
		t.Errorf("state after the idle time: %+v", s)
	}
}

// TestConcurrentRequests guards against races and against more than the limit, with a
// tenth of the datagrams lost.
func TestConcurrentRequests(t *testing.T) {
	n := newNetwork(t, 4)
	n.setDrop(func(string, string, []byte) bool { return rand.IntN(10) == 0 })
	var wg sync.WaitGroup
	var mu sync.Mutex
	granted := 0.0
	began := time.Now()
	for i := range 16 {
		wg.Go(func() {
			for time.Since(began) < 1500*time.Millisecond {
				r := n.take(fmt.Sprintf("host-%d", i%4), 4000)
				mu.Lock()
				if r.Grant {
					granted += r.Tokens
				}
				mu.Unlock()
				time.Sleep(2 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	took := time.Since(began).Seconds()
	if most := (limit.Rate*took+limit.Burst)*1.1 + quota.DefaultBounds().Slack; granted > most || granted < 0.7*limit.Rate*took {
		t.Errorf("%.0f granted in %.1f s, at most %.0f allowed", granted, took, most)
	}
}

// BenchmarkAnswer measures a question at its owner, from the datagram to the answer.
func BenchmarkAnswer(b *testing.B) {
	s := New(Options{Book: quota.Options{Host: "host-0", Bounds: quota.DefaultBounds(), StartedAt: time.Now().Add(-time.Minute)},
		Send: func(string, []byte) bool { return true }, Heard: func(string) {}, Metrics: NewMetrics(), Log: logging.Discard(),
		Peers: func() []quota.Peer { return nil }})
	bytes := 0
	for i := range b.N {
		s.Receive(encode(question{Kind: kindAsk, Host: "front-1234", ID: uint64(i), Team: "team-12345", Rate: 1e6, Burst: 1e6, Tokens: 7000}), func(data []byte) { bytes += len(data) })
		if i%1000 == 999 {
			s.update(time.Now().Add(time.Duration(i) * time.Millisecond))
		}
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "bytes/answer")
	b.ReportMetric(float64(len(encode(question{Kind: kindAsk, Host: "front-1234", ID: 1 << 60, Team: "team-12345", Rate: 1e6, Burst: 1e6, Tokens: 7000}))), "bytes/question")
}

// BenchmarkUpdate measures the update of the book, four times a second, by the number of
// hosts.
func BenchmarkUpdate(b *testing.B) {
	for _, hosts := range []int{6, 62, 300, 1500} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) {
			now := time.Now()
			book := quota.NewBook(quota.Options{Host: "host-0", Bounds: quota.DefaultBounds(), StartedAt: now.Add(-time.Minute)})
			var peers []quota.Peer
			for i := range hosts - 1 {
				peers = append(peers, quota.Peer{Host: fmt.Sprintf("host-%d", i+1), Live: true})
			}
			b.ReportAllocs()
			for i := range b.N {
				now = now.Add(250 * time.Millisecond)
				for j := range peers {
					peers[j].HeardAt, peers[j].HeardSince = now, now.Add(-time.Minute)
				}
				book.Update(now, peers)
				if i%1000 == 0 {
					book.Owner(fmt.Sprint(i))
				}
			}
		})
	}
}
