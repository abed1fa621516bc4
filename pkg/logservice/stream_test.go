package logservice_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/logservice"
	"github.com/clementineshed/clementineshed/pkg/logservice/faultlog"
)

// host is one process whose connection to the log injects faults.
type host struct {
	log           *faultlog.Client
	tail          *logservice.Tail
	batcher       *logservice.Batcher
	mu            sync.Mutex
	foldedOffsets []int64
	truncation    [2]int64
}

func newHost(mem logservice.Client, seed int64, rates faultlog.Rates, hosts int) *host {
	clock := clockwork.NewRealClock()
	h := &host{log: faultlog.New(mem, clock, rand.New(rand.NewSource(seed)), rates)}
	h.tail = logservice.NewTail(logservice.TailOptions{
		Client: h.log, Stream: "s", Clock: clock, Rand: rand.New(rand.NewSource(seed + 1)),
		Fold: func(r logservice.Record, _ logservice.Entry) {
			h.mu.Lock()
			h.foldedOffsets = append(h.foldedOffsets, r.Offset)
			h.mu.Unlock()
		},
		Truncated: func(missing, oldest int64) { h.truncation = [2]int64{missing, oldest} },
	})
	h.batcher = logservice.NewBatcher(logservice.BatcherOptions{
		Client: h.log, Stream: "s", Clock: clock, Tail: h.tail, LiveHosts: func() int { return hosts },
	})
	return h
}

func (h *host) close() {
	h.batcher.Close()
	h.tail.Close()
	h.log.Close()
}

func entry(id string) logservice.Entry {
	return logservice.Entry{ID: id, Kind: "k", Body: json.RawMessage("1")}
}

// TestAppendOutcomesAreTrue guards against an append that returns a wrong offset,
// or ErrNotAppended although its record is in the stream. It also guards against
// a tail that skips or repeats a record.
func TestAppendOutcomesAreTrue(t *testing.T) {
	for _, seed := range faultlog.Seeds("LOG_SEED", 100) {
		synctest.Test(t, func(t *testing.T) { checkAppends(t, seed) })
	}
}

func checkAppends(t *testing.T, seed int64) {
	mem := logservice.NewMemory(clockwork.NewRealClock())
	h := newHost(mem, seed, faultlog.Rates{Lost: .2, Late: .2, Never: .1, Slow: .2, MaxDelay: 3 * time.Second}, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	offsets, errs := make([]int64, 60), make([]error, 60)
	for i := range offsets {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 7 * time.Millisecond)
			offsets[i], errs[i] = h.batcher.Append(ctx, entry(fmt.Sprint(i)))
		})
	}
	time.Sleep(200 * time.Millisecond)
	h.log.SetDown(true)
	time.Sleep(100 * time.Millisecond)
	h.log.SetDown(false)
	wg.Wait()
	time.Sleep(10 * time.Second)
	h.close()
	page, _ := mem.Read(context.Background(), "s", 0, 1000, 0)
	at := map[string]int64{}
	for i, r := range page.Records {
		e, _ := logservice.DecodeEntry(r.Data)
		at[e.ID] = r.Offset
		if h.foldedOffsets[i] != r.Offset {
			t.Fatalf("LOG_SEED=%d: record %d folded as %d", seed, r.Offset, h.foldedOffsets[i])
		}
	}
	if len(h.foldedOffsets) != len(page.Records) {
		t.Fatalf("LOG_SEED=%d: folded %d of %d records", seed, len(h.foldedOffsets), len(page.Records))
	}
	for i, err := range errs {
		offset, present := at[fmt.Sprint(i)]
		if (err == nil && (!present || offset != offsets[i])) || (errors.Is(err, logservice.ErrNotAppended) && present) {
			t.Errorf("LOG_SEED=%d: append %d: offset %d error %v, in the stream: %v at %d", seed, i, offsets[i], err, present, offset)
		}
	}
}

// TestTailReportsTruncation guards against a tail that skips truncated records
// without a report.
func TestTailReportsTruncation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := logservice.NewMemory(clockwork.NewRealClock())
		_, _ = mem.Append(context.Background(), "s", [][]byte{{1}, {2}, {3}})
		mem.Truncate("s", 2)
		h := newHost(mem, 1, faultlog.Rates{}, 1)
		defer h.close()
		if err := h.tail.WaitFor(context.Background(), 2); err != nil {
			t.Fatal(err)
		}
		if h.truncation != [2]int64{0, 2} || h.tail.Status().Truncations != 1 {
			t.Errorf("reported %v, status %+v", h.truncation, h.tail.Status())
		}
	})
}

// TestAppendRateStaysInBudget guards against hosts that together exceed the
// append budget. It prints the appends a second for growing numbers of hosts.
func TestAppendRateStaysInBudget(t *testing.T) {
	for _, hosts := range []int{2, 4, 8, 16, 64} {
		synctest.Test(t, func(t *testing.T) {
			mem := logservice.NewMemory(clockwork.NewRealClock())
			all := make([]*host, hosts)
			var wg sync.WaitGroup
			for i := range all {
				all[i] = newHost(mem, int64(i), faultlog.Rates{}, hosts)
				wg.Go(func() {
					for n := range 1000 { // one record every 2 ms for 2 s
						wg.Go(func() { _, _ = all[i].batcher.Append(context.Background(), entry(fmt.Sprint(i, "-", n))) })
						time.Sleep(2 * time.Millisecond)
					}
				})
			}
			wg.Wait()
			var stats faultlog.Stats
			for _, h := range all {
				stats.Appends += h.log.Stats().Appends
				stats.Records += h.log.Stats().Records
				h.close()
			}
			perSecond := float64(stats.Appends) / 2
			t.Logf("hosts=%d records_per_s=%d appends_per_s=%.0f", hosts, stats.Records/2, perSecond)
			if perSecond > 1.2*logservice.AppendBudget { // the first append of a host does not wait
				t.Errorf("%d hosts append %.0f times a second", hosts, perSecond)
			}
		})
	}
}
