package placement

import (
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/fleet"
)

// condition is a Health with ejected and paused endpoints by ID.
type condition struct {
	ejected map[string]bool
	paused  map[string]time.Time
}

func (c condition) Ejected(m fleet.Member, _ time.Time) bool { return c.ejected[m.ID] }

func (c condition) PausedUntil(m fleet.Member) time.Time { return c.paused[m.ID] }

func pausable(id string, role endpoint.Role, state endpoint.State) fleet.Member {
	return fleet.Member{Endpoint: endpoint.Endpoint{ID: id, Service: "s", State: state}, Role: role, StartedMillis: 1}
}

// TestFirstPauseEnd guards against a Retry-After that tells the end of a pause although
// another endpoint takes the request, or that of an endpoint that takes no work at all.
func TestFirstPauseEnd(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	after := func(seconds int) time.Time { return now.Add(time.Duration(seconds) * time.Second) }
	prefill, decode := pausable("p", endpoint.RolePrefill, endpoint.StateLive), pausable("g", endpoint.RoleDecode, endpoint.StateLive)
	second, leaving := pausable("g2", endpoint.RoleDecode, endpoint.StateLive), pausable("l", endpoint.RoleDecode, endpoint.StateLeaving)
	tests := []struct {
		name    string
		members []fleet.Member
		role    endpoint.Role
		paused  map[string]time.Time
		want    time.Time
	}{
		{"no endpoint", nil, "", nil, time.Time{}},
		{"none paused", []fleet.Member{prefill, decode}, "", nil, time.Time{}},
		{"one of two", []fleet.Member{decode, second}, endpoint.RoleDecode, map[string]time.Time{"g": after(2)}, time.Time{}},
		{"both", []fleet.Member{decode, second}, endpoint.RoleDecode, map[string]time.Time{"g": after(5), "g2": after(3)}, after(3)},
		{"all of the role", []fleet.Member{prefill, decode}, endpoint.RoleDecode, map[string]time.Time{"g": after(2)}, after(2)},
		{"any role", []fleet.Member{prefill, decode}, "", map[string]time.Time{"g": after(2)}, time.Time{}},
		{"beside one that leaves", []fleet.Member{leaving, decode}, endpoint.RoleDecode, map[string]time.Time{"g": after(2), "l": after(1)}, after(2)},
		{"only one that leaves", []fleet.Member{leaving}, endpoint.RoleDecode, map[string]time.Time{"l": after(1)}, time.Time{}},
		{"a pause that has ended", []fleet.Member{decode}, endpoint.RoleDecode, map[string]time.Time{"g": after(0)}, time.Time{}},
	}
	for _, tt := range tests {
		got, paused := FirstPauseEnd(tt.members, tt.role, condition{paused: tt.paused}, now)
		if !got.Equal(tt.want) || paused == tt.want.IsZero() {
			t.Errorf("%s: %v, %t, want %v", tt.name, got, paused, tt.want)
		}
	}
}

// TestPausedEndpointIsNoLastResort guards against requests to a paused endpoint when
// all others are ejected or excluded, and against a pause that ends with a block: this
// host's after a refusal, one that another host has reported, or one that a change of
// the role has completed.
func TestPausedEndpointIsNoLastResort(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	members := []fleet.Member{pausable("g", endpoint.RoleDecode, endpoint.StateLive), pausable("p", endpoint.RolePrefill, endpoint.StateLive)}
	health := condition{ejected: map[string]bool{"g": true, "p": true}, paused: map[string]time.Time{"g": now.Add(3 * time.Second), "p": now.Add(3 * time.Second)}}
	model := NewModel()
	model.SetFleet(members)
	job := Job{PromptTokens: 100}
	taken := func(at time.Time) bool {
		_, prefill := model.ChoosePrefill(job, health, at)
		_, decode := model.ChooseDecode(job, fleet.Member{}, health, at)
		_, both := model.ChooseDecodeWithPrefill(job, health, at)
		balancer := NewBalancer("d")
		_, plain := balancer.Pick(members, nil, health, at)
		return prefill || decode || both || plain
	}
	blocks := []func(){
		func() {},
		func() { model.Block("g", now.Add(250*time.Millisecond)) },
		func() { model.Block("p", now.Add(time.Second)) },
		func() {
			changed := []fleet.Member{pausable("g", endpoint.RolePrefill, endpoint.StateLive), pausable("p", endpoint.RoleDecode, endpoint.StateLive)}
			model.SetFleet(changed)
			model.SetFleet(members)
		},
	}
	for i, block := range blocks {
		block()
		for _, wait := range []time.Duration{0, time.Second, 3*time.Second - 1} {
			if taken(now.Add(wait)) {
				t.Errorf("after block %d: a paused endpoint was chosen %v after the answer", i, wait)
			}
		}
	}
	if !taken(now.Add(3 * time.Second)) {
		t.Error("no endpoint was chosen at the end of the pause")
	}
}
