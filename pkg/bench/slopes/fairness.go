package slopes

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/clementineshed/clementineshed/pkg/burn"
	"github.com/clementineshed/clementineshed/pkg/fairness"
	"github.com/clementineshed/clementineshed/pkg/membership"
)

// fairnessTeams is the fixed number of teams of fairness-hosts.
const fairnessTeams = 64

func fairnessSlopes() []slope {
	return []slope{
		newSlope(sweep{"fairness-teams", "teams served by each of 8 hosts that gossip every second", TodayTeams, TargetTeams},
			[]int{8, 160, 1600, 13000}, []int{8, 80, 160},
			func(_ context.Context, teams int) ([]figure, error) { return measureFairness(TodayHosts, teams) }),
		newSlope(sweep{"fairness-hosts", "hosts that gossip the served tokens of 64 teams every second", TodayHosts, TargetHosts},
			[]int{8, 32, 128, 512}, []int{4, 8, 16},
			func(_ context.Context, hosts int) ([]figure, error) { return measureFairness(hosts, fairnessTeams) }),
		newSlope(sweep{"burn-pairs", "pairs of class and team with requests, on one host", TodayTeams, TargetTeams * 3 / 2},
			[]int{160, 1600, 8000, 20000}, []int{8, 80, 160}, measureBurn),
	}
}

func teamName(i int) string { return fmt.Sprintf("team-%05d", i) }

func hostName(i int) string { return fmt.Sprintf("host-%04d", i) }

// servedCounts returns the counts that a host gossips in a round.
func servedCounts(host, teams, round int) []fairness.Served {
	counts := make([]fairness.Served, teams)
	for i := range counts {
		counts[i] = fairness.Served{
			Host: hostName(host), Incarnation: hostName(host) + "/6f1e6d0a-2a52-4c0c-9f0e-6a2a3e1f3b11",
			Team: teamName(i), Tokens: float64(1000*round + 17*i + 1),
		}
	}
	return counts
}

func measureFairness(hosts, teams int) ([]figure, error) {
	before := liveHeap()
	now := time.Now()
	ledger := fairness.NewLedger(0, now)
	for i := range teams {
		ledger.Add(teamName(i), float64(100+i), now)
	}
	for h := 1; h < hosts; h++ {
		ledger.Merge(servedCounts(h, teams, 0), now)
	}
	heap := liveHeap() - before
	entry, err := fairness.Encode(ledger.AppendLocal(nil, hostName(0), servedCounts(0, 1, 0)[0].Incarnation))
	if err != nil {
		return nil, err
	}
	round := servedCounts(1, teams, 1)
	mergeTime := secondsPerCall(max(1, 2000/teams), func(i int) {
		for k := range round {
			round[k].Tokens++
		}
		ledger.Merge(round, now)
	})
	queue := fairness.NewQueue[int](ledger)
	for i := range teams {
		queue.Push(teamName(i), 0, i)
	}
	decision := secondsPerCall(1000, func(int) {
		item, _ := queue.Pop()
		ledger.Add(item.Team, 500, now)
		queue.Push(item.Team, 0, item.Value)
	})
	runtime.KeepAlive(ledger)
	received := float64(hosts-1) * float64(len(entry))
	return []figure{
		{measure: "heap of the ledger", unit: "B", value: heap, budget: BudgetHeapBytes},
		{measure: "size of one host's gossip entry; larger ones are refused", unit: "B", value: float64(len(entry)), budget: membership.MaxValueBytes},
		{measure: "bytes per second received, each entry once", unit: "B/s", value: received, budget: BudgetBytesPerSecond},
		{measure: "processor time of merging the entries of a second", unit: "cores", value: mergeTime * float64(hosts-1), budget: BudgetCoreShare, timed: true},
		{measure: "time of one fair decision with every team waiting", unit: "µs", value: decision * 1e6, timed: true},
	}, nil
}

func measureBurn(_ context.Context, pairs int) ([]figure, error) {
	before := liveHeap()
	recorder := burn.NewRecorder(clockwork.NewRealClock())
	record := func(i int) {
		recorder.Record("chat", teamName(i%pairs), burn.InTime, time.Second, 30*time.Millisecond, 0)
	}
	for i := range pairs {
		record(i)
	}
	heap := liveHeap() - before
	recordTime := secondsPerCall(5000, record)
	return []figure{
		{measure: "heap of the counters", unit: "B", value: heap, budget: BudgetHeapBytes},
		{measure: "time of recording one request", unit: "µs", value: recordTime * 1e6, timed: true},
	}, nil
}
