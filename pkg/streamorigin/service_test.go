package streamorigin

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/clementineshed/clementineshed/pkg/logging"
	"github.com/clementineshed/clementineshed/pkg/logservice"
)

// slowLog holds reads and appends before they reach the log.
type slowLog struct {
	logservice.Client
	reads, appends atomic.Pointer[chan struct{}]
	began          chan struct{}
}

func newSlowLog(client logservice.Client) *slowLog {
	return &slowLog{Client: client, began: make(chan struct{}, 1000)}
}

func hold(gate *atomic.Pointer[chan struct{}]) (release func()) {
	c := make(chan struct{})
	gate.Store(&c)
	return func() {
		gate.Store(nil)
		close(c)
	}
}

func pass(ctx context.Context, gate *atomic.Pointer[chan struct{}]) error {
	if c := gate.Load(); c != nil {
		select {
		case <-*c:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// Read holds the answer, not the call: what it returns is as of its beginning.
func (l *slowLog) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (logservice.Page, error) {
	page, err := l.Client.Read(ctx, stream, from, limit, wait)
	l.began <- struct{}{}
	if held := pass(ctx, &l.reads); held != nil {
		return logservice.Page{}, held
	}
	return page, err
}

func (l *slowLog) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	if err := pass(ctx, &l.appends); err != nil {
		return 0, err
	}
	return l.Client.Append(ctx, stream, records)
}

// runHost runs the service of a host with announced endpoints of some versions.
func runHost(t *testing.T, client logservice.Client, serving *atomic.Pointer[[]string]) *Service {
	s := New(Options{Client: client, Services: func() []string { return []string{"llm"} }, Serving: func(string) []string { return *serving.Load() },
		LiveHosts: func() int { return 2 }, Leads: func() bool { return true }, Log: logging.Discard()})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return s
}

func versions(v ...string) *atomic.Pointer[[]string] {
	p := &atomic.Pointer[[]string]{}
	p.Store(&v)
	return p
}

func wantOrigin(t *testing.T, s *Service, attempt, want string) {
	t.Helper()
	got, err := s.Origin(context.Background(), "llm", attempt)
	if got != want || (err == nil) != (want != "") || err != nil && !errors.Is(err, ErrUnknown) {
		t.Errorf("origin of %s: %q, %v, want %q", attempt, got, err, want)
	}
}

// TestHostsLearnWhatOthersHaveBegun guards against a stream that ends although another host, or
// an earlier process, has recorded the version that began it.
func TestHostsLearnWhatOthersHaveBegun(t *testing.T) {
	log := logservice.NewMemory(clockwork.NewRealClock())
	first := runHost(t, log, versions("v1", "v2"))
	for i := range 20 {
		first.Began(context.Background(), "llm", fmt.Sprint("v", 1+i%2), fmt.Sprint("id-", i))
	}
	second := runHost(t, log, versions("v1"))
	for i := range 20 {
		wantOrigin(t, second, fmt.Sprint("id-", i), fmt.Sprint("v", 1+i%2))
	}
	wantOrigin(t, second, "another", "")
}

// TestAttemptsBeforeASecondVersionAreRecorded guards against streams that end because their
// version went without saying when they began.
func TestAttemptsBeforeASecondVersionAreRecorded(t *testing.T) {
	log := logservice.NewMemory(clockwork.NewRealClock())
	serving := versions("v1")
	first := runHost(t, log, serving)
	first.Began(context.Background(), "llm", "v1", "id-1")
	second := runHost(t, log, versions("v1", "v2"))
	wantOrigin(t, second, "id-1", "")
	serving.Store(versions("v1", "v2").Load())
	time.Sleep(2 * checkInterval)
	wantOrigin(t, second, "id-1", "v1")
}

// TestOriginWaitsForAReadThatBeginsLater guards against a decision on what the log held before a
// new version began streams: a host that stood still gets such an answer when it goes on.
func TestOriginWaitsForAReadThatBeginsLater(t *testing.T) {
	log := logservice.NewMemory(clockwork.NewRealClock())
	first := runHost(t, log, versions("v1"))
	first.Began(context.Background(), "llm", "v1", "id-1")
	slow := newSlowLog(log)
	second := New(Options{Client: slow, Serving: func(string) []string { return []string{"v1"} }, LiveHosts: func() int { return 1 }, Log: logging.Discard()})
	release := hold(&slow.reads)
	ask := func(attempt string) <-chan string {
		answer := make(chan string, 1)
		go func() {
			software, _ := second.Origin(context.Background(), "llm", attempt)
			answer <- software
		}()
		return answer
	}
	before := ask("id-0")
	<-slow.began
	first.Began(context.Background(), "llm", "v2", "id-2")
	later := ask("id-2")
	time.Sleep(50 * time.Millisecond)
	release()
	if software := <-before; software == "v2" {
		t.Errorf("origin %q of an attempt before v2 was in service", software)
	}
	if software := <-later; software != "v2" {
		t.Errorf("origin %q of an attempt at v2", software)
	}
}

// TestUnreadableLogGivesNoOrigin guards against a host that is cut off from the log and takes the
// only version that it knows for the origin. It still goes on with what it has begun itself.
func TestUnreadableLogGivesNoOrigin(t *testing.T) {
	slow := newSlowLog(logservice.NewMemory(clockwork.NewRealClock()))
	s := runHost(t, slow, versions("v1"))
	s.Began(context.Background(), "llm", "v1", "id-1")
	wantOrigin(t, s, "id-2", "v1")
	release := hold(&slow.reads)
	defer release()
	wantOrigin(t, s, "id-2", "")
	wantOrigin(t, s, "id-1", "v1")
}

// TestFirstEventWaitsForTheRecordOfItsVersion guards against a stream that another host takes for
// one of another version because the log does not name this one yet, and against streams that
// each wait for a log that takes no records.
func TestFirstEventWaitsForTheRecordOfItsVersion(t *testing.T) {
	slow := newSlowLog(logservice.NewMemory(clockwork.NewRealClock()))
	s := runHost(t, slow, versions("v1"))
	s.Began(context.Background(), "llm", "v1", "id-1")
	release := hold(&slow.appends)
	time.AfterFunc(200*time.Millisecond, release)
	began := time.Now()
	s.Began(context.Background(), "llm", "v2", "id-2")
	if waited := time.Since(began); waited < 150*time.Millisecond {
		t.Errorf("the first event waited %v, want 200ms", waited)
	}
	release = hold(&slow.appends)
	defer release()
	began = time.Now()
	for i := range 5 {
		s.Began(context.Background(), "llm", "v3", fmt.Sprint("id-", 3+i))
	}
	if waited := time.Since(began); waited < establishTimeout/2 || waited > establishTimeout+500*time.Millisecond {
		t.Errorf("five streams waited %v in all for a log that takes no records, want at most %v", waited, establishTimeout)
	}
}

// TestOriginsSurviveARestore guards against versions and attempts that are lost with the latest
// records of a log that has come back from an older copy.
func TestOriginsSurviveARestore(t *testing.T) {
	log := logservice.NewMemory(clockwork.NewRealClock())
	log.SetEra(1)
	between := time.Now()
	time.Sleep(20 * time.Millisecond)
	first := runHost(t, log, versions("v1", "v2"))
	first.Began(context.Background(), "llm", "v2", "id-1")
	wantOrigin(t, runHost(t, log, versions("v1")), "id-1", "v2")
	log.Restore(time.Since(between))
	wantOrigin(t, first, "another", "")
	time.Sleep(500 * time.Millisecond)
	second := runHost(t, log, versions("v1"))
	wantOrigin(t, second, "id-1", "v2")
	wantOrigin(t, second, "another", "")
}

// TestVersionsSurviveARestore is the same for versions that have begun no attempt of this log.
func TestVersionsSurviveARestore(t *testing.T) {
	log := logservice.NewMemory(clockwork.NewRealClock())
	log.SetEra(1)
	between := time.Now()
	time.Sleep(20 * time.Millisecond)
	first := runHost(t, log, versions("v1", "v2"))
	time.Sleep(2 * checkInterval)
	log.Restore(time.Since(between))
	wantOrigin(t, first, "another", "")
	time.Sleep(2 * checkInterval)
	wantOrigin(t, New(Options{Client: log, Serving: func(string) []string { return []string{"v1"} }, LiveHosts: func() int { return 1 }, Log: logging.Discard()}), "another", "")
}

// TestLongOutageDelaysFewStreams guards against first events that wait again and again, in an outage
// of the log, for the renewal of a version that the log has named long ago.
func TestLongOutageDelaysFewStreams(t *testing.T) {
	slow := newSlowLog(logservice.NewMemory(clockwork.NewRealClock()))
	s := runHost(t, slow, versions("v1"))
	s.Began(context.Background(), "llm", "v1", "id-1")
	defer hold(&slow.appends)()
	defer hold(&slow.reads)()
	s.mu.Lock()
	s.recorded[version{"llm", "v1"}] = time.Now().Add(-Retention / 2)
	s.mu.Unlock()
	waited := time.Duration(0)
	for start, i := time.Now(), 0; time.Since(start) < 4*time.Second; i++ {
		began := time.Now()
		s.Began(context.Background(), "llm", "v1", fmt.Sprint("id-", i))
		waited += time.Since(began)
		time.Sleep(20 * time.Millisecond)
	}
	if waited > establishTimeout+100*time.Millisecond {
		t.Errorf("first events waited %v of 4s", waited)
	}
}
