package loadshare

import (
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/quotashare"
)

// TestQuotaDatagrams guards against datagrams about quotas that are taken for load
// reports, against answers that do not reach the sender, and against hosts that count as
// heard because they were announced.
func TestQuotaDatagrams(t *testing.T) {
	answers := make(chan []byte, 1)
	a := startWith(t, "a", func(o *Options) {
		o.OnQuota = func(data []byte, _ func([]byte)) { answers <- append([]byte(nil), data...) }
	})
	b := start(t, "b")
	if err := a.exchange.SetPeer(Member{Host: "b"}, b.conn.LocalAddr().String()); err != nil {
		t.Fatal(err)
	}
	if p := a.exchange.QuotaPeers(); len(p) != 1 || !p[0].HeardAt.IsZero() || !p[0].Live {
		t.Errorf("an announced host: %+v", p)
	}
	if a.exchange.SendQuota("nobody", nil) || !a.exchange.SendQuota("b", []byte{quotashare.QuestionHeader, 7}) {
		t.Error("a question was not sent to a known host, or was to an unknown one")
	}
	select {
	case data := <-answers:
		if len(data) != 2 || data[0] != quotashare.AnswerHeader || data[1] != 7 {
			t.Errorf("got %x", data)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("no answer")
	}
	a.exchange.Heard("b")
	if p := a.exchange.QuotaPeers(); p[0].HeardAt.IsZero() || p[0].HeardSince.IsZero() {
		t.Errorf("a host that was heard: %+v", p)
	}
}
