package keyedlog

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/logging"
)

// TestRestoredStoreHidesNoChange guards against a change that is missed because the store
// came back from an older copy and gave out the offset of the change again before this
// host, which had passed that offset, read on.
func TestRestoredStoreHidesNoChange(t *testing.T) {
	l := newFakeLog()
	for _, value := range []string{"1", "2", "3"} {
		l.put("config", value)
	}
	_, s := follow(t, l, 100*time.Millisecond)
	eventually(t, "the value before the restore", func() bool { return s.get("config") == "3" })
	l.setDown(true)
	time.Sleep(200 * time.Millisecond)
	l.restore(1)
	l.put("config", "3")
	l.put("config", "4")
	l.setDown(false)
	eventually(t, "the value after the restore", func() bool { return s.get("config") == "4" })
}

// TestRestoredStoreHidesNoChangeFromHostsThatDoNotRead is the same for hosts that get all
// changes from the one that reads for them.
func TestRestoredStoreHidesNoChangeFromHostsThatDoNotRead(t *testing.T) {
	l := newFakeLog()
	for _, value := range []string{"1", "2", "3"} {
		l.put("config", value)
	}
	g := startGroup(t, l, 5, 1)
	eventually(t, "the value before the restore", func() bool { return g.have("config", "3") })
	l.setDown(true)
	time.Sleep(200 * time.Millisecond)
	l.restore(1)
	l.put("config", "3")
	l.put("config", "4")
	l.setDown(false)
	eventually(t, "the value after the restore", func() bool { return g.have("config", "4") })
	l.put("config", "5")
	eventually(t, "the next value", func() bool { return g.have("config", "5") })
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.publishedEra != 1 {
		t.Errorf("the last page was published for era %d, want 1", g.publishedEra)
	}
}

// TestEraOfAnotherHostIsEnough guards against a host that goes on to wait for an answer of
// an earlier era although another host has told it the newest.
func TestEraOfAnotherHostIsEnough(t *testing.T) {
	for name, tell := range map[string]func(*Follower){
		"progress": func(f *Follower) { f.ObserveProgress(Progress{Era: 1}) },
		"page":     func(f *Follower) { f.Offer(9, Page{Era: 1, Next: 10}) },
	} {
		l := newFakeLog()
		l.put("a", "1")
		f, s := follow(t, l, time.Hour)
		eventually(t, "the first value", func() bool { return s.get("a") == "1" })
		eventually(t, "a read in progress", func() bool { return l.readCount() > 0 })
		l.mu.Lock()
		// The read in progress gets no answer.
		l.records = []Record{{Key: "a", Value: []byte("2")}}
		l.era = 1
		l.mu.Unlock()
		tell(f)
		eventually(t, "the value of the new era after a "+name, func() bool { return s.get("a") == "2" })
	}
}

// TestWrongEraEndsNothing guards against a host that waits for ever for an answer of the
// newest era because the store states a lower one, or none, from some time on.
func TestWrongEraEndsNothing(t *testing.T) {
	l := newFakeLog()
	l.era = 5
	l.put("config", "1")
	f, s := follow(t, l, 50*time.Millisecond)
	eventually(t, "the first value", func() bool { return s.get("config") == "1" })
	for _, era := range []int64{4, 0, 6, 1} {
		l.mu.Lock()
		l.era = era
		l.mu.Unlock()
		value := string(rune('a' + era))
		l.put("config", value)
		eventually(t, "the next value", func() bool { return s.get("config") == value })
	}
	if got := f.Progress().Era; got != 6 {
		t.Errorf("era %d, want the highest, 6", got)
	}
}

// lateLog is a topic of which a read returns the answer that the test sends, also after
// the read was cancelled.
type lateLog struct {
	*fakeLog
	answers chan Page
}

func (l lateLog) Read(ctx context.Context, topic string, from int64, wait time.Duration) (Page, error) {
	if page, ok := <-l.answers; ok {
		return page, nil
	}
	return l.fakeLog.Read(ctx, topic, from, wait)
}

// TestAnswerOfAnEarlierEraIsDiscarded guards against records of before a restore that are
// taken for those at the same offsets after it, because their answer arrives late.
func TestAnswerOfAnEarlierEraIsDiscarded(t *testing.T) {
	l := lateLog{newFakeLog(), make(chan Page)}
	l.put("a", "1")
	s := &state{values: map[string]string{}}
	f := NewFollower(Options{Client: l, Topic: "t", PollWait: func() time.Duration { return 50 * time.Millisecond }, Reset: s.reset, Log: logging.Discard(),
		Apply: func(r Record) {
			if string(r.Value) == "lost" {
				t.Error("the record of the earlier era was applied")
			}
			s.apply(r)
		}})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	t.Cleanup(func() {
		stop()
		<-done
	})
	eventually(t, "the first value", func() bool { return s.get("a") == "1" })
	l.restore(1)
	l.put("a", "2")
	f.ObserveEra(1)
	l.answers <- Page{Records: []Record{{Key: "a", Value: []byte("lost"), Offset: 1}}, Next: 2, End: 2}
	close(l.answers)
	eventually(t, "the value of the new era", func() bool { return s.get("a") == "2" })
	if p := f.Progress(); p.Era != 1 || p.Next != 2 {
		t.Errorf("progress %+v", p)
	}
}

// TestReloadsAfterARestoreAreSpread guards against hosts that all load the whole state at
// the same moment when they learn of a new era, which exceeds the store's rate of reads.
func TestReloadsAfterARestoreAreSpread(t *testing.T) {
	const hosts, spread = 40, time.Second
	l := newFakeLog()
	l.put("a", "1")
	var followers []*Follower
	var states []*state
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() { stop(); wg.Wait() })
	for range hosts {
		s := &state{values: map[string]string{}}
		f := NewFollower(Options{Client: l, Topic: "t", PollWait: func() time.Duration { return 5 * time.Second }, Apply: s.apply, Reset: s.reset, Log: logging.Discard(),
			ReloadSpread: func() time.Duration { return spread }})
		followers, states = append(followers, f), append(states, s)
		wg.Go(func() { f.Run(ctx) })
	}
	has := func(value string) func() bool {
		return func() bool {
			return !slices.ContainsFunc(states, func(s *state) bool { return s.get("a") != value })
		}
	}
	eventually(t, "the first value", has("1"))
	l.restore(0)
	l.put("a", "2")
	l.mu.Lock()
	before := len(l.reloadedAt)
	l.mu.Unlock()
	for _, f := range followers {
		f.ObserveEra(1)
	}
	eventually(t, "the value after the restore", has("2"))
	l.mu.Lock()
	defer l.mu.Unlock()
	reloads := l.reloadedAt[before:]
	if len(reloads) != hosts {
		t.Errorf("%d reloads of %d hosts", len(reloads), hosts)
	}
	for i, at := range reloads {
		n := 0
		for _, other := range reloads[i:] {
			if other.Sub(at) < spread/10 {
				n++
			}
		}
		// A tenth of the time sees a tenth of the hosts on average.
		if n > hosts/3 {
			t.Errorf("%d of %d reloads within %v", n, hosts, spread/10)
		}
	}
}
