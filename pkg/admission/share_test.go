package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/fairness"
	"github.com/clementineshed/clementineshed/pkg/prefix"
	"github.com/clementineshed/clementineshed/pkg/routing"
)

// busyRouter predicts a first token that leaves none of the reserve.
type busyRouter struct{}

func (busyRouter) Route(routing.Request, *routing.Snapshot, []prefix.Match, *rand.Rand) (routing.Plan, bool) {
	return routing.Plan{Estimate: routing.Estimate{Queue: time.Second, FirstToken: 1100 * time.Millisecond}}, true
}

// Guards against a team that loses the reserve of admission, under load and without a
// burst of its own, because many small teams make an equal share small.
func TestReserveIsKeptFromBurstsOnly(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	ledger := fairness.NewLedger(0, now)
	for i := range 70 {
		ledger.Add(fmt.Sprint("small", i), 100, now)
	}
	ledger.Add("large", 1000, now)
	ledger.Add("burst", 9000, now)
	c := NewController(Config{Router: busyRouter{}, Policy: DefaultPredictive(), Index: prefix.NewIndex(10), Sends: routing.NewSendLog(),
		Ledger: ledger, Lengths: NewLengths(), Rand: rand.New(rand.NewPCG(1, 1)), Fair: true}, now)
	c.SetSnapshot(routing.NewSnapshot(routing.View{Hosts: 1, Endpoints: []endpoint.Status{{}}, Sends: routing.NewSendLog(), Trends: routing.NewTrends()}))
	for team, want := range map[string]bool{"large": true, "small1": true, "unknown": true, "burst": false} {
		if got := c.WouldAccept(&Request{Team: team, Class: chat, Arrived: now}, now); got != want {
			t.Errorf("%s is accepted: %t, want %t", team, got, want)
		}
	}
}
