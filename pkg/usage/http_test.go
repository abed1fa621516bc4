package usage

import (
	"math/rand"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/lease"
	"github.com/clementineshed/clementineshed/pkg/logservice"
	"github.com/clementineshed/clementineshed/pkg/orders"
	"github.com/clementineshed/clementineshed/pkg/standin/httpd"
	"github.com/clementineshed/clementineshed/pkg/standin/platformd"
)

// TestLostReportAnswerOverHTTP guards against a report that is not repeated, or
// is repeated with another ID, after the response of the usage interface was
// lost, and against a lease that can't be released then.
func TestLostReportAnswerOverHTTP(t *testing.T) {
	s := platformd.New(platformd.Options{})
	if err := s.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	clock := clockwork.NewRealClock()
	key := lease.Key{Domain: "nashua", Duty: lease.UsageReports}
	leases := lease.New(lease.Options{Client: logservice.NewMemory(clock), Clock: clock, Rand: rand.New(rand.NewSource(1)),
		Incarnation: "a", Host: "a", Address: "a", Keys: []lease.Key{key}})
	defer leases.Close()
	sender := orders.NewSender(orders.Options{Clock: clock, Leases: leases, Incarnation: "a"})
	report := reportReceiver{usage: HTTPInterface{Address: s.Address()}, report: newReport(windowLength(DefaultWindow), 7, "acme", Counts{OutputTokens: 5})}
	s.SetFaults(httpd.Faults{LoseAnswers: 2})
	lost := 0
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		err := sender.Send(t.Context(), key, report)
		if errors.Is(err, orders.ErrUnanswered) {
			lost++
		}
		if err == nil {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal(err)
		}
	}
	got := s.Usage()
	if lost != 2 || len(got) != 3 || got[0].Repeated || !got[2].Repeated || got[0].ID != got[2].ID || got[0].Figures != got[2].Figures {
		t.Errorf("%d answers lost, reports %+v", lost, got)
	}
	holders, err := HTTPInterface{Address: s.Address()}.ConnectedHolders(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	t.Log("holders after the last report:", holders)
	if err := leases.Release(t.Context(), key); err != nil {
		t.Error(err)
	}
}
