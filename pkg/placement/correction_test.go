package placement

import (
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
)

// TestLatenessOfPrefillsIsNotAddedUp guards against an idle engine that counts as busy for
// minutes after many prefills that were in flight together ended late: the lateness of
// each was added to the queue, 65 s after 128 prefills that ended together after 2 s.
func TestLatenessOfPrefillsIsNotAddedUp(t *testing.T) {
	m := replayModel(replayFleet(1, 0))
	var sends []*InFlightSend
	for i := range 128 {
		job := prompt(Part{uint64(i + 1), 900})
		c, ok := m.ChoosePrefill(job, noneEjected{}, replayStart)
		if !ok {
			t.Fatal("no engine was chosen")
		}
		s, _ := m.BeginSend(endpoint.RolePrefill, job, c, replayStart)
		sends = append(sends, s)
	}
	// The engine had 2 s of work more than was known.
	end := sends[len(sends)-1].expectedAt.Add(2 * time.Second)
	for _, s := range sends {
		m.EndSend(s, Completed, end)
	}
	c, _ := m.ChoosePrefill(prompt(Part{1000, 900}), noneEjected{}, end)
	if c.Wait > 500*time.Millisecond {
		t.Errorf("the idle engine counts as busy for %s", c.Wait)
	}
}
