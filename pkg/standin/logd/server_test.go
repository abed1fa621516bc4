package logd

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/jsonhttp"
	"github.com/clementineshed/clementineshed/pkg/logservice"
	"github.com/clementineshed/clementineshed/pkg/standin/httpd"
)

func startServer(t *testing.T, opts Options) (*Server, logservice.Client) {
	t.Helper()
	s := New(opts)
	if err := s.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s, logservice.NewHTTPClient(jsonhttp.New(s.Address(), jsonhttp.Options{Timeout: time.Second}))
}

func appendOne(c logservice.Client, data string) (int64, error) {
	return c.Append(context.Background(), "lease", [][]byte{[]byte(data)})
}

// Guards against a client and a service that disagree about the protocol, and
// against a long poll that returns before a record is appended.
func TestAppendAndLongPoll(t *testing.T) {
	_, c := startServer(t, Options{})
	done := make(chan logservice.Page, 1)
	go func() {
		page, _ := c.Read(context.Background(), "lease", 0, 10, time.Second)
		done <- page
	}()
	time.Sleep(20 * time.Millisecond)
	first, err := c.Append(context.Background(), "lease", [][]byte{[]byte("a"), []byte("b")})
	if err != nil || first != 0 {
		t.Fatal(first, err)
	}
	page := <-done
	if len(page.Records) != 2 || string(page.Records[1].Data) != "b" || page.End != 2 {
		t.Fatalf("page after the append: %+v", page)
	}
}

// Guards against an answer that is lost before the append took effect, and a
// client that reports the lost answer as a certain failure.
func TestLostAnswerHasEffect(t *testing.T) {
	s, c := startServer(t, Options{})
	s.SetFaults(Faults{Faults: httpd.Faults{LoseAnswers: 1}})
	if _, err := appendOne(c, "a"); !errors.Is(err, logservice.ErrOutcomeUnknown) {
		t.Fatal(err)
	}
	if first, err := appendOne(c, "b"); err != nil || first != 1 {
		t.Fatal(first, err)
	}
}

// Guards against a delayed append that takes effect at once or never.
func TestDelayedAppendTakesEffectLater(t *testing.T) {
	s, c := startServer(t, Options{})
	s.SetFaults(Faults{DelayAppends: 1, DelayMillis: 50})
	if _, err := appendOne(c, "late"); !errors.Is(err, logservice.ErrOutcomeUnknown) {
		t.Fatal(err)
	}
	if first, err := appendOne(c, "b"); err != nil || first != 0 {
		t.Fatal(first, err)
	}
	page, err := c.Read(context.Background(), "lease", 1, 10, time.Second)
	if err != nil || len(page.Records) != 1 || string(page.Records[0].Data) != "late" {
		t.Fatal(page, err)
	}
}

// Guards against a lagging read that returns records younger than the lag, or an
// end offset beyond them.
func TestLaggingRead(t *testing.T) {
	s, c := startServer(t, Options{})
	s.SetFaults(Faults{ReadLagMillis: 80})
	if _, err := appendOne(c, "a"); err != nil {
		t.Fatal(err)
	}
	page, err := c.Read(context.Background(), "lease", 0, 10, 0)
	if err != nil || len(page.Records) != 0 || page.End != 0 {
		t.Fatal(page, err)
	}
	page, err = c.Read(context.Background(), "lease", 0, 10, time.Second)
	if err != nil || len(page.Records) != 1 || page.End != 1 {
		t.Fatal(page, err)
	}
}

// Guards against records that are kept past the retention, and a reader that does
// not get the oldest retained offset.
func TestRetention(t *testing.T) {
	_, c := startServer(t, Options{Retention: 50 * time.Millisecond})
	if _, err := appendOne(c, "a"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(150 * time.Millisecond)
	_, err := c.Read(context.Background(), "lease", 0, 10, 0)
	var truncated *logservice.TruncatedError
	if !errors.As(err, &truncated) || truncated.Oldest != 1 {
		t.Fatal(err)
	}
}

// Guards against an append limit that is not enforced, or a refused append that
// takes effect.
func TestAppendLimit(t *testing.T) {
	s, c := startServer(t, Options{AppendsPerSecond: 4})
	refused, accepted := 0, 0
	for range 6 {
		_, err := appendOne(c, "a")
		switch {
		case err == nil:
			accepted++
		case errors.Is(err, logservice.ErrNotAppended):
			refused++
		}
	}
	page, err := s.Store().Read(context.Background(), "lease", 0, 10, 0)
	if err != nil || refused == 0 || len(page.Records) != accepted {
		t.Fatalf("%d refused, %d accepted, %d stored, %v", refused, accepted, len(page.Records), err)
	}
}

// Guards against an outage in which an append takes effect or never returns.
func TestOutages(t *testing.T) {
	s, c := startServer(t, Options{})
	for _, outage := range []httpd.Outage{httpd.OutageUnavailable, httpd.OutageReset} {
		s.SetFaults(Faults{Faults: httpd.Faults{Outage: outage}})
		if _, err := appendOne(c, "a"); !errors.Is(err, logservice.ErrOutcomeUnknown) {
			t.Errorf("%s: %v", outage, err)
		}
		if _, err := c.Read(context.Background(), "lease", 0, 1, 0); !errors.Is(err, logservice.ErrUnavailable) {
			t.Errorf("%s: %v", outage, err)
		}
	}
	s.SetFaults(Faults{})
	if first, err := appendOne(c, "a"); err != nil || first != 0 {
		t.Fatal(first, err)
	}
}

// Guards against a client that reports a refused connection as an unknown
// outcome.
func TestClosedServiceIsCertainlyNotAppended(t *testing.T) {
	s, c := startServer(t, Options{})
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := appendOne(c, "a"); !errors.Is(err, logservice.ErrNotAppended) {
		t.Fatal(err)
	}
}

// Guards against a stand-in that keeps records younger than the copy it is restored from,
// skips their offsets, or doesn't state the new era in pages and in refused reads.
func TestRestoreLosesRecordsAndRaisesTheEra(t *testing.T) {
	s, c := startServer(t, Options{})
	ctx := context.Background()
	for _, data := range []string{"kept", "lost", "lost too"} {
		if _, err := appendOne(c, data); err != nil {
			t.Fatal(err)
		}
		if data == "kept" {
			time.Sleep(300 * time.Millisecond)
		}
	}
	poll := make(chan logservice.Page, 1)
	go func() {
		page, _ := c.Read(ctx, "other", 0, 10, 5*time.Second)
		poll <- page
	}()
	s.SetFaults(Faults{RestoreMillis: 200})
	var truncated *logservice.TruncatedError
	if _, err := c.Read(ctx, "lease", 3, 10, 0); !errors.As(err, &truncated) || *truncated != (logservice.TruncatedError{Oldest: 0, Era: 2}) {
		t.Errorf("read beyond the end: %v", err)
	}
	if first, err := appendOne(c, "new"); err != nil || first != 1 {
		t.Errorf("first append after the restore at offset %d, %v; want 1", first, err)
	}
	page, err := c.Read(ctx, "lease", 0, 10, 0)
	if err != nil || len(page.Records) != 2 || string(page.Records[1].Data) != "new" || page.Era != 2 {
		t.Errorf("page %+v, %v; want two records, the second new, in era 2", page, err)
	}
	if s.Faults().RestoreMillis != 0 {
		t.Error("the restore is still in force")
	}
	if page := <-poll; page.Era != 2 {
		t.Errorf("page of a waiting read in era %d", page.Era)
	}
}
