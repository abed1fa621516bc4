package routing

import (
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
)

// Guards against work that is sent to engines in a partitioned failure domain,
// and against a request without candidates when every report is old.
func TestReachablePrefersYoungReports(t *testing.T) {
	tests := []struct {
		name string
		ages []time.Duration
		want int
	}{
		{"one cut off", []time.Duration{100 * time.Millisecond, time.Second, 10 * time.Second}, 2},
		{"all old alike", []time.Duration{30 * time.Second, 31 * time.Second}, 2},
		{"none", nil, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			snap := &Snapshot{}
			var candidates []Candidate
			for i, age := range test.ages {
				snap.Endpoints = append(snap.Endpoints, endpoint.Status{LoadAge: age})
				candidates = append(candidates, Candidate{Index: i})
			}
			if kept := (Reachable{}).Filter(Request{}, snap, candidates); len(kept) != test.want {
				t.Fatalf("kept %d, want %d", len(kept), test.want)
			}
		})
	}
}
