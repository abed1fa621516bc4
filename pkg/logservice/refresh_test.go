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

// silentLog is a log on which a read that starts while it is silent is never
// answered, like a read on a connection that has gone silent.
type silentLog struct {
	*logservice.Memory
	silent atomic.Bool
}

func (m *silentLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (logservice.Page, error) {
	if m.silent.Load() {
		<-ctx.Done()
		return logservice.Page{}, ctx.Err()
	}
	return m.Memory.Read(ctx, stream, from, limit, wait)
}

// TestSilentReadIsRefreshed guards against a WaitFor that lasts until a silent
// read times out. That delays work which is due after an outage.
func TestSilentReadIsRefreshed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		log := &silentLog{Memory: logservice.NewMemory(clock)}
		tail := logservice.NewTail(logservice.TailOptions{Client: log, Stream: "s", Clock: clock, Rand: rand.New(rand.NewSource(1)),
			Fold: func(logservice.Record, logservice.Entry) {}, ReadOptions: logservice.ReadOptions{MinInterval: time.Second}})
		defer tail.Close()
		// The read after the first one gets no answer.
		time.Sleep(100 * time.Millisecond)
		log.silent.Store(true)
		time.Sleep(3 * time.Second)
		log.silent.Store(false)
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
			t.Errorf("record folded %v after the append", took)
		}
	})
}

// TestAppendedRecordIsReadAtOnce guards against a WaitFor that is delayed by
// MinInterval.
func TestAppendedRecordIsReadAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock := clockwork.NewRealClock()
		mem := logservice.NewMemory(clock)
		tail := logservice.NewTail(logservice.TailOptions{Client: mem, Stream: "s", Clock: clock, Rand: rand.New(rand.NewSource(1)),
			Fold: func(logservice.Record, logservice.Entry) {}, ReadOptions: logservice.ReadOptions{MinInterval: time.Minute}})
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
			t.Errorf("record folded %v after the append", took)
		}
	})
}
