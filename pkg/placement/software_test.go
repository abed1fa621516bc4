package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/fleet"
)

func versioned(id string, role endpoint.Role, software string) fleet.Member {
	m := pausable(id, role, endpoint.StateLive)
	m.SoftwareVersion = software
	return m
}

// TestCacheStaysAtItsSoftwareVersion guards against a prefill, a decode or a copy whose KV
// cache another software version has computed, and against bound work at another version.
func TestCacheStaysAtItsSoftwareVersion(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	const p, g = endpoint.RolePrefill, endpoint.RoleDecode
	leaving := versioned("g-a", g, "a")
	leaving.State = endpoint.StateLeaving
	tests := []struct {
		name    string
		members []fleet.Member
		bound   string
		blocked string
		// prefill, decode and both are the engines chosen for a prefill, for the decode
		// after a prefill at version a, and for a decode with its prefill; empty if none.
		prefill, decode, both string
	}{
		{"one version", []fleet.Member{versioned("g-a", g, "a"), versioned("p-a", p, "a")}, "", "", "p-a", "g-a", "g-a"},
		{"one version, no decode engine", []fleet.Member{versioned("p-a", p, "a")}, "", "", "p-a", "", ""},
		{"prefill engine without a decode engine", []fleet.Member{versioned("g-b", g, "b"), versioned("p-a", p, "a")}, "", "", "", "", "g-b"},
		{"decode engine leaves", []fleet.Member{leaving, versioned("g-b", g, "b"), versioned("p-a", p, "a"), versioned("p-b", p, "b")}, "", "", "p-b", "", "g-b"},
		{"decode engine blocked", []fleet.Member{versioned("g-a", g, "a"), versioned("g-b", g, "b"), versioned("p-a", p, "a"), versioned("p-b", p, "b")}, "", "g-a", "p-b", "", "g-b"},
		{"all decode engines blocked", []fleet.Member{versioned("g-a", g, "a"), versioned("p-a", p, "a"), versioned("p-b", p, "b")}, "", "g-a", "p-a", "", ""},
		{"bound", []fleet.Member{versioned("g-a", g, "a"), versioned("g-b", g, "b"), versioned("p-a", p, "a"), versioned("p-b", p, "b")}, "b", "", "p-b", "", "g-b"},
		{"bound, no prefill engine", []fleet.Member{versioned("g-a", g, "a"), versioned("g-b", g, "b"), versioned("p-b", p, "b")}, "a", "", "", "g-a", "g-a"},
		{"bound, version gone", []fleet.Member{versioned("g-b", g, "b"), versioned("p-b", p, "b")}, "a", "", "", "", ""},
	}
	for _, tt := range tests {
		model := NewModel()
		model.SetFleet(tt.members)
		model.Block(tt.blocked, now.Add(time.Second))
		job := Job{PromptTokens: 100, Software: tt.bound}
		prefill, _ := model.ChoosePrefill(job, noneEjected{}, now)
		decode, _ := model.ChooseDecode(job, versioned("p-a", p, "a"), noneEjected{}, now)
		both, _ := model.ChooseDecodeWithPrefill(job, noneEjected{}, now)
		if got, want := fmt.Sprint(prefill.Engine.ID, "/", decode.Engine.ID, "/", both.Engine.ID), tt.prefill+"/"+tt.decode+"/"+tt.both; got != want {
			t.Errorf("%s: %s, want %s", tt.name, got, want)
		}
	}
}

// TestCopyComesFromTheSameSoftwareVersion guards against a copy of KV cache between versions,
// also after the engine that held it has restarted with another one.
func TestCopyComesFromTheSameSoftwareVersion(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	const p, g = endpoint.RolePrefill, endpoint.RoleDecode
	members := []fleet.Member{versioned("g-a", g, "a"), versioned("g-b", g, "b"), versioned("p-a", p, "a"), versioned("p-b", p, "b"), versioned("q-b", p, "b")}
	parts := []Part{{ID: 1, Tokens: 5000}, {ID: 2, Tokens: 100}}
	model := NewModel()
	model.SetEngineProperties(EngineProperties{TokenBytes: 1, LinkBytesPerSecond: 1e9})
	model.SetFleet(members)
	model.ApplyCached("p-a", parts[:1], now)
	job := Job{Parts: parts, PromptTokens: 5100, Software: "b"}
	if c, ok := model.ChoosePrefill(job, noneEjected{}, now); !ok || c.Source.ID != "" {
		t.Errorf("version b copies from %q", c.Source.ID)
	}
	model.ApplyCached("p-b", parts[:1], now)
	job.Exclude = []string{"p-b"}
	if c, _ := model.ChoosePrefill(job, noneEjected{}, now); c.Source.ID != "p-b" {
		t.Errorf("version b copies from %q, want p-b", c.Source.ID)
	}
	// It does not state another start.
	members[3] = versioned("p-b", p, "a")
	model.SetFleet(members)
	if c, ok := model.ChoosePrefill(job, noneEjected{}, now); !ok || c.Source.ID != "" {
		t.Errorf("version b copies from %q, which has changed its version", c.Source.ID)
	}
	job.Exclude, job.Software = []string{"p-a", "q-b"}, "a"
	if c, ok := model.ChoosePrefill(job, noneEjected{}, now); !ok || c.Uncached != 5100-5000 || c.Source.ID != "p-a" {
		t.Errorf("got %+v, want a copy from p-a and nothing of the cache before the change", c)
	}
}
