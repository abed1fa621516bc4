package relayhost

import (
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/logging"
	"github.com/clementineshed/clementineshed/pkg/logservice"
)

// TestFirstStartIsInTheFirstEraOnly guards against a host of the first start that takes an era
// after a restore for the first one: one that is cut off from the store at its start has not
// seen the first.
func TestFirstStartIsInTheFirstEraOnly(t *testing.T) {
	for _, c := range []struct {
		name       string
		first      bool
		seen       []string
		startedAgo time.Duration
		era        int64
		want       bool
	}{
		{"first start", true, []string{"4"}, 0, 4, true},
		{"no first start", false, []string{"4"}, 0, 4, false},
		{"nothing read", true, nil, 0, 0, false},
		{"restored since", true, []string{"4", "5"}, 0, 5, false},
		{"read late", true, []string{"5"}, 2 * time.Second, 5, false},
	} {
		eras := &logservice.Eras{}
		h := New(Settings{FirstStart: c.first, MemoryBytes: 1 << 28}, Adapter{StoreEras: eras}, logging.Discard())
		h.startedAt = h.startedAt.Add(-c.startedAgo)
		for _, era := range c.seen {
			eras.Observe(era)
		}
		if got := h.firstStartIn(c.era); got != c.want {
			t.Errorf("%s: %v", c.name, got)
		}
	}
}
