package logservice_test

import (
	"context"
	"math/rand"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/clementineshed/clementineshed/pkg/logservice"
)

// mutedLog is a log whose reads get no answer while it is muted, also when it is
// no more muted at their end, as those on a connection that has gone silent.
type mutedLog struct {
	*logservice.Memory
	muted atomic.Bool
}

func (m *mutedLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (logservice.Page, error) {
	if m.muted.Load() {
		<-ctx.Done()
		return logservice.Page{}, ctx.Err()
	}
	return m.Memory.Read(ctx, stream, from, limit, wait)
}

// TestSilentReadIsRefreshed guards against an append whose record is waited for
// until a silent read runs out of time, which delays what is due after an outage.
func TestSilentReadIsRefreshed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		log := &mutedLog{Memory: logservice.NewMemory(clock)}
		tail := logservice.NewTail(logservice.TailOptions{Client: log, Stream: "s", Clock: clock, Rand: rand.New(rand.NewSource(1)),
			Fold: func(logservice.Record, logservice.Entry) {}, Reading: logservice.Reading{Pace: time.Second}})
		defer tail.Close()
		// The read after the first one gets no answer.
		time.Sleep(100 * time.Millisecond)
		log.muted.Store(true)
		time.Sleep(3 * time.Second)
		log.muted.Store(false)
		offset, err := log.Append(context.Background(), "s", [][]byte{{1}})
		if err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		if err := tail.WaitFor(ctx, offset); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(began); took > 500*time.Millisecond {
			t.Errorf("folded after %v", took)
		}
	})
}

// TestAppendedRecordIsReadAtOnce guards against an own record that waits for the
// pace of reads.
func TestAppendedRecordIsReadAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		mem := logservice.NewMemory(clock)
		tail := logservice.NewTail(logservice.TailOptions{Client: mem, Stream: "s", Clock: clock, Rand: rand.New(rand.NewSource(1)),
			Fold: func(logservice.Record, logservice.Entry) {}, Reading: logservice.Reading{Pace: time.Minute}})
		defer tail.Close()
		time.Sleep(time.Second)
		offset, err := mem.Append(context.Background(), "s", [][]byte{{1}})
		if err != nil {
			t.Fatal(err)
		}
		began := time.Now()
		if err := tail.WaitFor(context.Background(), offset); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(began); took > 100*time.Millisecond {
			t.Errorf("folded after %v", took)
		}
	})
}
