package configstore

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/clementineshed/clementineshed/pkg/declaration"
	"github.com/clementineshed/clementineshed/pkg/logservice"
)

// changesPerDay is the number of configuration changes of an ordinary day at the
// target size.
const changesPerDay = 9600

func eachSize(b *testing.B, run func(b *testing.B, teams int)) {
	for _, teams := range []int{8, 160, 1600, 13000} {
		b.Run(fmt.Sprint("teams=", teams), func(b *testing.B) { run(b, teams) })
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkState measures the time to encode and decode a state and to build a
// view of it, and the memory that the fold and the view take.
func BenchmarkState(b *testing.B) {
	eachSize(b, func(b *testing.B, teams int) {
		original := newFoldOf(b, deployment(teams))
		data, _ := original.encode()
		before := heapBytes()
		f, err := decodeFold(data)
		if err != nil {
			b.Fatal(err)
		}
		withFold := heapBytes()
		v := f.view()
		withView := heapBytes()
		millis := func(run func()) float64 {
			began := time.Now()
			run()
			return float64(time.Since(began).Microseconds()) / 1000
		}
		for b.Loop() {
			b.ReportMetric(millis(func() { _, _ = original.encode() }), "ms-encode")
			b.ReportMetric(millis(func() { _, _ = decodeFold(data) }), "ms-decode")
			b.ReportMetric(millis(func() { _ = original.rebuildView() }), "ms-view")
			_ = original.view()
			original.changedKeys[KeyHash{}] = struct{}{}
			b.ReportMetric(millis(func() { _ = original.view() }), "ms-view-one-key")
		}
		b.ReportMetric(float64(len(data)), "snapshot-bytes")
		b.ReportMetric(float64(withFold-before), "heap-fold-bytes")
		b.ReportMetric(float64(withView-withFold), "heap-view-bytes")
		runtime.KeepAlive(v)
		runtime.KeepAlive(f)
		runtime.KeepAlive(original)
	})
}

// BenchmarkFoldChange measures one change that upserts a key.
func BenchmarkFoldChange(b *testing.B) {
	eachSize(b, func(b *testing.B, teams int) {
		f := newFoldOf(b, deployment(teams))
		i := 0
		for b.Loop() {
			i++
			key := declaration.Key{Name: "new", Team: "team-1", SHA256: HashKey([]byte(fmt.Sprint(i))).String()}
			if v := propose(f, f.version, declaration.Document{Keys: []declaration.Key{key}}); !v.Accepted {
				b.Fatal(v.Text())
			}
		}
	})
}

// BenchmarkCatchUp measures a start from a snapshot in the log that is followed
// by the changes of one day.
func BenchmarkCatchUp(b *testing.B) {
	eachSize(b, func(b *testing.B, teams int) {
		memory := logservice.NewMemory(clockwork.NewRealClock())
		f := newFoldOf(b, deployment(teams))
		data, _ := f.encode()
		records, _ := encodeChunks(f.next, data, ChunkBytes)
		// The first record represents the truncated changes.
		_, _ = memory.Append(context.Background(), logservice.StreamConfig, append([][]byte{{}}, records...))
		memory.Truncate(logservice.StreamConfig, 1)
		for i := range changesPerDay {
			key := declaration.Key{Name: "new", Team: "team-1", SHA256: HashKey([]byte(fmt.Sprint(i))).String()}
			upserts := declaration.Document{Keys: []declaration.Key{key}}.Objects()
			c := Change{ID: fmt.Sprint(i), Base: int64(len(records) + i), Upserts: upserts}
			record, _ := record{Change: &c}.encode()
			_, _ = memory.Append(context.Background(), logservice.StreamConfig, [][]byte{record})
		}
		for b.Loop() {
			follow := newFollower(memory)
			for {
				r, err := follow.step(context.Background(), 0)
				if err != nil {
					b.Fatal(err)
				}
				if r.atEnd {
					break
				}
			}
			if follow.fold.version != int64(len(records)+changesPerDay) {
				b.Fatalf("catch-up ended at version %d", follow.fold.version)
			}
		}
	})
}
