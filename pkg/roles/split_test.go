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
	prefillPeak, decodePeak := PeakHold{Window: p.PeakWindow}, PeakHold{Window: p.PeakWindow}
	for step := range 120 { // one minute, a decision every 500 ms
		now := splitStart.Add(time.Duration(step) * 500 * time.Millisecond)
		work := Work{Prefill: 4, Decode: 1}
		if step/6%2 == 0 { // the load swings every three seconds
			work.Decode = 1.9
		}
		for _, c := range p.Decide(Input{Now: now, Engines: engines, Work: work,
			Peak: Work{prefillPeak.Observe(work.Prefill, now), decodePeak.Observe(work.Decode, now)}}) {
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

// TestSplitBalancesPhases guards against a division in which one phase is
// overloaded while the other has engines to spare.
func TestSplitBalancesPhases(t *testing.T) {
	p := DefaultSplitRolePolicy()
	for _, n := range []int{6, 12, 36, 240} {
		for _, decodeShare := range []float64{0.05, 0.2, 0.3, 0.45} {
			work := Work{Prefill: (1 - decodeShare) * float64(n) * 0.6, Decode: decodeShare * float64(n) * 0.6}
			got := p.DecodeEngines(work, n, 64)
			for d := max(p.MinDecode, (n+5)/6); d <= n/2; d++ {
				if busierPhase(work, d, n) < busierPhase(work, got, n)-1e-6 {
					t.Errorf("%d engines, %+v: %d decode, %d would be better", n, work, got, d)
				}
			}
		}
	}
}

// TestSplitKeepsMoreDecodeEnginesWithFewSlots replays the start of a day on engines
// with 32 slots. It guards against streams that wait for slots from the first burst
// on: a base that suits engines with 64 slots was half of what they needed.
func TestSplitKeepsMoreDecodeEnginesWithFewSlots(t *testing.T) {
	for slots, want := range map[int]int{64: 6, 32: 12, 16: 18} {
		changes := DefaultSplitRolePolicy().Decide(Input{Now: splitStart, Engines: splitFleet(36, 24), Slots: slots})
		if got := 24 - len(changes); got != want {
			t.Errorf("%d slots: %d of 36 engines decode, want %d", slots, got, want)
		}
	}
}

// TestSplitAfterLossFollowsPresentWork replays the loss of two failure domains
// during a burst of long prompts, after one of short ones. It guards against
// engines that are kept for a peak that the fleet could not carry now anyway.
func TestSplitAfterLossFollowsPresentWork(t *testing.T) {
	in := Input{Now: splitStart, Engines: splitFleet(14, 7), Work: Work{Prefill: 10, Decode: 0.9}, Peak: Work{Prefill: 10, Decode: 9}}
	changes := DefaultSplitRolePolicy().Decide(in)
	if len(changes) == 0 || changes[0].To != endpoint.RolePrefill {
		t.Errorf("changes %+v, want decode engines to prefill", changes)
	}
}

// TestSplitUsesJoinedEngines replays the arrival of engines that were ordered
// after a loss and start as decode engines. It guards against new engines that
// stay idle for the cooldown while prompts queue.
func TestSplitUsesJoinedEngines(t *testing.T) {
	engines := splitFleet(25, 16)
	for i := range 3 { // role changes shortly before
		engines[20+i].ChangedAt = splitStart.Add(-2 * time.Second)
	}
	in := Input{Now: splitStart, Engines: engines, Work: Work{Prefill: 10, Decode: 1.2}, Peak: Work{Prefill: 11, Decode: 2}}
	if changes := DefaultSplitRolePolicy().Decide(in); len(changes) != 4 || changes[0].To != endpoint.RolePrefill {
		t.Errorf("changes %+v, want four decode engines to prefill", changes)
	}
}

// TestPeakHold guards against a peak that is forgotten early or never.
func TestPeakHold(t *testing.T) {
	p := PeakHold{Window: 10 * time.Second}
	for i, c := range []struct{ value, want float64 }{{1, 1}, {5, 5}, {2, 5}, {3, 5}, {1, 5}, {1, 5}, {1, 3}, {1, 3}, {1, 1}} {
		if got := p.Observe(c.value, splitStart.Add(time.Duration(i)*2100*time.Millisecond)); got != c.want {
			t.Errorf("step %d: peak %v, want %v", i, got, c.want)
		}
	}
}

// versionedFleet returns engines of two software versions with the given numbers of prefill
// and decode engines.
func versionedFleet(prefillA, decodeA, prefillB, decodeB int) []Engine {
	var engines []Engine
	add := func(version string, role endpoint.Role, n int) {
		for i := range n {
			engines = append(engines, Engine{ID: fmt.Sprintf("%s-%s-%02d", version, role, i), Domain: fmt.Sprint("d", i%4), SoftwareVersion: version, Role: role, Usable: true})
		}
	}
	add("a", endpoint.RolePrefill, prefillA)
	add("a", endpoint.RoleDecode, decodeA)
	add("b", endpoint.RolePrefill, prefillB)
	add("b", endpoint.RoleDecode, decodeB)
	return engines
}

// TestSplitServesEachSoftwareVersion guards against engines that idle because no engine of
// their software version runs the other phase, and against needless changes.
func TestSplitServesEachSoftwareVersion(t *testing.T) {
	tests := []struct {
		name                              string
		prefillA, decodeA, prefillB, decB int
		work                              Work
		wantA, wantB                      int // decode engines after the decision
		wantChanges                       int
	}{
		{name: "idle, the second version only prefills", prefillA: 8, decodeA: 3, prefillB: 4, wantA: 3, wantB: 2, wantChanges: 2},
		{name: "loaded, the second version only prefills", prefillA: 8, decodeA: 3, prefillB: 4, work: Work{6, 1}, wantA: 3, wantB: 1, wantChanges: 1},
		{name: "loaded, the second version only decodes", prefillA: 8, decodeA: 3, decB: 3, work: Work{6, 1}, wantA: 3, wantB: 2, wantChanges: 1},
		{name: "single prefill engine", prefillA: 8, decodeA: 3, prefillB: 1, work: Work{6, 1}, wantA: 3, wantB: 1, wantChanges: 1},
		{name: "single decode engine", prefillA: 8, decodeA: 3, decB: 1, work: Work{6, 1}, wantA: 3, wantB: 1},
		{name: "both versions serve", prefillA: 5, decodeA: 2, prefillB: 4, decB: 2, work: Work{4, 1}, wantA: 2, wantB: 2},
	}
	for _, tt := range tests {
		engines := versionedFleet(tt.prefillA, tt.decodeA, tt.prefillB, tt.decB)
		changes := DefaultSplitRolePolicy().Decide(Input{Now: splitStart, Engines: engines, Work: tt.work})
		decode := map[string]int{}
		for _, e := range engines {
			for _, c := range changes {
				if c.Engine == e.ID {
					e.Role = c.To
				}
			}
			if e.Role == endpoint.RoleDecode {
				decode[e.SoftwareVersion]++
			}
		}
		if decode["a"] != tt.wantA || decode["b"] != tt.wantB || len(changes) != tt.wantChanges {
			t.Errorf("%s: %d and %d decode engines after %d changes, want %d and %d after %d", tt.name, decode["a"], decode["b"], len(changes), tt.wantA, tt.wantB, tt.wantChanges)
		}
	}
}

// TestSplitOfRollingReleaseOrdersFewChanges replays a release that replaces 12 engines one
// after the other. It guards against an order for each step, and against a version that has
// two engines and cannot serve.
func TestSplitOfRollingReleaseOrdersFewChanges(t *testing.T) {
	p := DefaultSplitRolePolicy()
	engines := versionedFleet(9, 3, 0, 0)
	ordered := 0
	for step := range 12 {
		// The new engine starts in the role of the one that it replaces.
		for i := range engines {
			if e := &engines[(i*5+step)%12]; e.SoftwareVersion == "a" {
				*e = Engine{ID: fmt.Sprint("b-", step), Domain: e.Domain, SoftwareVersion: "b", Role: e.Role, Usable: true}
				break
			}
		}
		now := splitStart.Add(time.Duration(step) * 5 * time.Second)
		for _, c := range p.Decide(Input{Now: now, Engines: engines, Work: Work{4, 0.8}, Peak: Work{4.5, 1}}) {
			ordered++
			for i := range engines {
				if engines[i].ID == c.Engine {
					engines[i].Role, engines[i].ChangedAt = c.To, now
				}
			}
		}
		count := map[string]map[endpoint.Role]int{"a": {}, "b": {}}
		for _, e := range engines {
			count[e.SoftwareVersion][e.Role]++
		}
		for version, n := range count {
			if n[endpoint.RolePrefill]+n[endpoint.RoleDecode] >= 2 && (n[endpoint.RolePrefill] == 0 || n[endpoint.RoleDecode] == 0) {
				t.Errorf("step %d: version %s has the engines %v", step, version, n)
			}
		}
	}
	if ordered > 12 {
		t.Errorf("%d role changes for a release of 12 engines", ordered)
	}
	t.Logf("%d role changes", ordered)
}
