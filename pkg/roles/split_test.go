package roles

import (
	"fmt"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
)

var splitStart = time.Unix(1_700_000_000, 0)

func splitFleet(n, decode int) []Engine {
	var engines []Engine
	for i := range n {
		e := Engine{ID: fmt.Sprintf("e%02d", i), Domain: fmt.Sprint("d", i%4), Role: endpoint.RolePrefill, Usable: true}
		if i < decode {
			e.Role = endpoint.RoleDecode
		}
		engines = append(engines, e)
	}
	return engines
}

// TestSplitBeforeTraffic guards against a fleet most of whose engines decode
// although prompts are many times longer than outputs.
func TestSplitBeforeTraffic(t *testing.T) {
	for _, c := range []struct{ n, decode, want int }{{12, 7, 3}, {24, 14, 4}, {60, 39, 10}, {4, 4, 2}, {2, 2, 1}} {
		changes := DefaultSplitRolePolicy().Decide(Input{Now: splitStart, Engines: splitFleet(c.n, c.decode)})
		if got := c.decode - len(changes); got != c.want {
			t.Errorf("%d engines: %d decode, want %d", c.n, got, c.want)
		}
	}
	if changes := DefaultSplitRolePolicy().Decide(Input{Now: splitStart, Engines: splitFleet(1, 1)}); len(changes) > 0 {
		t.Errorf("the only engine changes: %v", changes)
	}
}

// TestSplitSpreadsDecode guards against decode engines that are all in one
// failure domain, which may be cut off.
func TestSplitSpreadsDecode(t *testing.T) {
	engines := splitFleet(12, 7)
	left := map[string]string{}
	for _, e := range engines[:7] {
		left[e.ID] = e.Domain
	}
	for _, c := range DefaultSplitRolePolicy().Decide(Input{Now: splitStart, Engines: engines}) {
		delete(left, c.Engine)
	}
	domains := map[string]bool{}
	for _, d := range left {
		domains[d] = true
	}
	if len(domains) != 3 {
		t.Errorf("decode engines left in %v", left)
	}
}

// TestSplitDoesNotFlap guards against engines that change back and forth during
// a burst of outputs: each change takes an engine out of service for seconds.
func TestSplitDoesNotFlap(t *testing.T) {
	p := DefaultSplitRolePolicy()
	engines := splitFleet(12, 3)
	changes := 0
	for step := range 120 { // one minute, a decision every 500 ms
		now := splitStart.Add(time.Duration(step) * 500 * time.Millisecond)
		work := Work{Prefill: 4, Decode: 1}
		if step/6%2 == 0 { // the load swings every three seconds
			work.Decode = 1.9
		}
		for _, c := range p.Decide(Input{Now: now, Engines: engines, Work: work}) {
			changes++
			for i := range engines {
				if engines[i].ID == c.Engine {
					engines[i].Role, engines[i].ChangedAt = c.To, now
				}
			}
		}
	}
	if changes == 0 || changes > 7 {
		t.Errorf("%d changes in a minute of load swings", changes)
	}
}

// TestSplitFollowsDecodeWork guards against decode engines that stay
// overloaded.
func TestSplitFollowsDecodeWork(t *testing.T) {
	if got := DefaultSplitRolePolicy().DecodeEngines(Work{Prefill: 6, Decode: 2.4}, 12); got != 5 {
		t.Errorf("%d decode engines, want 5", got)
	}
}
