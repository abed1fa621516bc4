package usage

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/logging"
	"github.com/clementineshed/clementineshed/pkg/logservice"
)

// recordingPeers records the flushes that are handed over.
type recordingPeers struct {
	mu       sync.Mutex
	received []Flush
	refuses  bool
}

func (p *recordingPeers) HandOver(_ context.Context, flushes []Flush) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.refuses {
		return errors.New("no peer reachable")
	}
	p.received = append(p.received, flushes...)
	return nil
}

// TestCounterHandsToPeers guards against counts that are lost with one datagram,
// against hosts that all append to the log, and against counts that are lost
// because no peer accepts them.
func TestCounterHandsToPeers(t *testing.T) {
	memory := logservice.NewMemory(clockwork.NewRealClock())
	peers := &recordingPeers{}
	c := NewCounter(CounterOptions{Client: memory, Clock: clockwork.NewRealClock(), Incarnation: "a", LiveHosts: func() int { return 1 },
		Peers: peers, Window: time.Hour, FlushInterval: time.Hour, Log: logging.Discard()})
	c.Add("acme", Counts{Requests: 2})
	for range 2 * handoverRounds {
		if err := c.Flush(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	if n := len(peers.received); n != handoverRounds {
		t.Errorf("handed %d times, want %d", n, handoverRounds)
	}
	page, err := memory.Read(t.Context(), logservice.StreamUsage, 0, 10, 0)
	if err != nil || len(page.Records) > 0 {
		t.Errorf("%d records in the log, %v", len(page.Records), err)
	}
	peers.refuses = true
	c.Add("acme", Counts{Requests: 1})
	if err := c.Close(t.Context()); err != nil {
		t.Fatal(err)
	}
	page, err = memory.Read(t.Context(), logservice.StreamUsage, 0, 10, 0)
	if err != nil || len(page.Records) != 1 {
		t.Errorf("%d records in the log after the close, %v", len(page.Records), err)
	}
}
