package bench

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/admission"
	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/fairness"
	"github.com/clementineshed/clementineshed/pkg/prefix"
	"github.com/clementineshed/clementineshed/pkg/roles"
	"github.com/clementineshed/clementineshed/pkg/routing"
)

// costFleet returns engines in 4 domains with one model, or in 25 domains with
// 21 models if there are more than 160 engines.
func costFleet(runners int) []endpoint.Status {
	domains, models := 4, 1
	if runners > 160 {
		domains, models = 25, 21
	}
	statuses := make([]endpoint.Status, runners)
	for i := range statuses {
		statuses[i] = endpoint.Status{HasLoad: true, LoadAge: time.Second,
			Endpoint: endpoint.Endpoint{ID: fmt.Sprintf("engine-%05d", i), Instance: "1", State: endpoint.StateLive,
				Domain: fmt.Sprintf("domain-%02d", i%domains)},
			Load: endpoint.Load{Instance: "1", Role: endpoint.RoleMixed, Model: fmt.Sprintf("model-%02d", i%models),
				PrefillRate: prefillRate, DecodeRate: 5000, DecodeStreams: i % 60, PrefillTokensWaiting: i % 7 * 1000, KVTokensTotal: kvTokens}}
	}
	return statuses
}

func costChain() []uint64 { return []uint64{1, 2, 3, 4, 5} }

func costController(runners, teams int) (*admission.Controller, time.Time) {
	now := epoch
	rng := rand.New(rand.NewPCG(1, 1))
	config := newConfig(Current(), rng, now)
	snap := routing.NewSnapshot(routing.View{Domain: "domain-00", Hosts: 8, Endpoints: costFleet(runners),
		Sends: config.Sends, Trends: routing.NewTrends(), Delays: routing.UniformDelay(time.Millisecond)})
	for team := range teams {
		config.Ledger.Add(fmt.Sprintf("team-%05d", team), float64(1000+team), now)
	}
	config.Index.RecordSend("engine-00000", "1", costChain(), now)
	c := admission.NewController(config, now)
	c.SetSnapshot(snap)
	return c, now
}

// BenchmarkDecision measures a whole decision: prefix lookup, routing, admission
// and accounting.
func BenchmarkDecision(b *testing.B) {
	for _, size := range []struct{ runners, teams int }{{16, 8}, {160, 100}, {1600, 1300}, {10000, 13000}} {
		b.Run(fmt.Sprintf("runners=%d/teams=%d", size.runners, size.teams), func(b *testing.B) {
			c, now := costController(size.runners, size.teams)
			class := classes()[classStrict]
			chain := costChain()
			requests := make([]admission.Request, 1024)
			for i := range requests {
				requests[i] = admission.Request{Team: fmt.Sprintf("team-%05d", i%size.teams), Class: class, Request: routing.Request{
					Model: "model-00", PromptTokens: 10500, Repeatable: true, FirstToken: class.FirstToken.Std(),
					BetweenTokens: class.BetweenTokens.Std(), Chain: chain}}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				// By the next decision, the host's own earlier sends no longer count.
				now = now.Add(time.Minute)
				req := &requests[i%len(requests)]
				req.Arrived = now
				if outcome := c.Offer(req, now); outcome.Verdict.Action != admission.Accept {
					b.Fatalf("not accepted: %+v", outcome.Verdict)
				}
			}
		})
	}
}

// BenchmarkSnapshot measures a new snapshot, paid per round of reports.
func BenchmarkSnapshot(b *testing.B) {
	for _, runners := range []int{16, 160, 1600, 10000} {
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) {
			view := routing.View{Domain: "domain-00", Hosts: 8, Endpoints: costFleet(runners),
				Trends: routing.NewTrends(), Delays: routing.UniformDelay(time.Millisecond)}
			b.ReportAllocs()
			for b.Loop() {
				routing.NewSnapshot(view)
			}
		})
	}
}

// BenchmarkQueue measures queueing and releasing one request.
func BenchmarkQueue(b *testing.B) {
	for _, teams := range []int{8, 100, 1300, 13000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			ledger := fairness.NewLedger(0, epoch)
			queue := fairness.NewQueue[int](ledger)
			names := make([]string, teams)
			for i := range names {
				names[i] = fmt.Sprintf("team-%05d", i)
				queue.Push(names[i], 0, i)
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				item, _ := queue.Pop()
				ledger.Add(item.Team, 1000, epoch)
				queue.Push(names[i%teams], 0, i)
			}
		})
	}
}

// BenchmarkMerge measures merging another host's counts of all teams.
func BenchmarkMerge(b *testing.B) {
	for _, teams := range []int{8, 100, 1300, 13000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			ledger := fairness.NewLedger(0, epoch)
			counts := make([]fairness.Served, teams)
			for i := range counts {
				counts[i] = fairness.Served{Host: "host-1", Incarnation: "1", Team: fmt.Sprintf("team-%05d", i)}
			}
			b.ReportAllocs()
			for b.Loop() {
				for i := range counts {
					counts[i].Tokens += 100
				}
				ledger.Merge(counts, epoch)
			}
		})
	}
}

// BenchmarkRoles measures a role decision, made once a second by the lease
// holder.
func BenchmarkRoles(b *testing.B) {
	for _, runners := range []int{16, 160, 1600, 10000} {
		b.Run(fmt.Sprintf("runners=%d", runners), func(b *testing.B) {
			in := roles.Input{Now: epoch, Work: roles.Work{Prefill: float64(runners) * 0.8, Decode: float64(runners) * 0.2}}
			for _, st := range costFleet(runners) {
				in.Engines = append(in.Engines, roles.Engine{ID: st.ID, Domain: st.Domain, Role: st.Load.Role, Usable: true})
			}
			b.ReportAllocs()
			for b.Loop() {
				roles.DefaultMixedRolePolicy().Decide(in)
			}
		})
	}
}

// BenchmarkLookup measures a prefix lookup in a full index.
func BenchmarkLookup(b *testing.B) {
	index := prefix.NewIndex(0)
	for i := range uint64(prefix.DefaultMaxChunks) {
		index.RecordSend(fmt.Sprintf("engine-%05d", i%10000), "1", []uint64{i}, epoch)
	}
	var matches []prefix.Match
	chain := []uint64{1, 2, 3, 4, 5, 6, 7}
	b.ReportAllocs()
	for b.Loop() {
		matches = index.Lookup(matches[:0], chain, 4)
	}
}
