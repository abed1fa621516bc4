package relayhost

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/fleet"
	"github.com/clementineshed/clementineshed/pkg/keyedlog"
	"github.com/clementineshed/clementineshed/pkg/loadshare"
	"github.com/clementineshed/clementineshed/pkg/logging"
	"github.com/clementineshed/clementineshed/pkg/logservice"
	"github.com/clementineshed/clementineshed/pkg/placement"
	"github.com/clementineshed/clementineshed/pkg/quarantine"
	"github.com/clementineshed/clementineshed/pkg/routes"
	"github.com/clementineshed/clementineshed/pkg/usage"
)

// pageStore is a store whose reads return the pages that the test sends.
type pageStore struct {
	keyedlog.Client
	pages chan []keyedlog.Record
}

func (s *pageStore) Newest(context.Context, string) (keyedlog.Page, error) {
	return keyedlog.Page{}, nil
}

func (s *pageStore) Read(ctx context.Context, _ string, from int64, _ time.Duration) (keyedlog.Page, error) {
	select {
	case records := <-s.pages:
		for i := range records {
			records[i].Offset = from + int64(i)
		}
		next := from + int64(len(records))
		return keyedlog.Page{Records: records, Next: next, End: next}, nil
	case <-ctx.Done():
		return keyedlog.Page{}, logservice.ErrUnavailable
	}
}

// decodeWords decodes an announcement of the form "state sequence".
func decodeWords(id string, data []byte) (fleet.Member, error) {
	state, sequence, ok := strings.Cut(string(data), " ")
	if !ok {
		return fleet.Member{}, errors.New("no sequence")
	}
	return fleet.Member{Endpoint: endpoint.Endpoint{ID: id, Service: "s", State: endpoint.State(state)}, StartedMillis: 1, Sequence: int64(sequence[0])}, nil
}

// startLeader starts a host that reads the announcements for another one. The channel
// gets the records that the other one receives.
func startLeader(t *testing.T) (*Host, *pageStore, <-chan keyedlog.Record) {
	t.Helper()
	store := &pageStore{pages: make(chan []keyedlog.Record)}
	h := New(Settings{Host: "leader", UsageWindow: time.Second}, Adapter{KeyedLog: store, EndpointsTopic: "endpoints", DecodeEndpoint: decodeWords}, logging.Discard())
	h.duties = newDuties(h, logservice.NewMemory(clockwork.NewRealClock()), nil)
	t.Cleanup(func() { _ = h.duties.counter.Close(context.Background()) })
	received := make(chan keyedlog.Record, 100)
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	exchanges := map[string]*loadshare.Exchange{}
	conns := map[string]net.PacketConn{}
	for _, name := range []string{"leader", "other"} {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		conns[name] = conn
		exchanges[name] = loadshare.New(loadshare.Options{Host: name, Conn: conn, Log: logging.Discard(), Leads: func() bool { return false },
			ReadProgress: h.readProgress, OnProgress: func(map[string]loadshare.Progress) {},
			OnPage: func(_ string, _ int64, page keyedlog.Page) {
				for _, r := range page.Records {
					received <- r
				}
			},
			OnSend: func(string, placement.SendReport) {}, OnLeaving: func(string, string, int64) {}, OnCrash: func(quarantine.Evidence) {}, OnUsage: func([]usage.Flush) {},
		})
	}
	for name, x := range exchanges {
		for other, conn := range conns {
			if err := x.SetPeer(loadshare.Member{Host: other}, conn.LocalAddr().String()); err != nil {
				t.Fatal(err)
			}
		}
		wg.Go(func() { x.Run(ctx) })
		t.Cleanup(func() { _ = conns[name].Close() })
	}
	h.exchange = exchanges["leader"]
	wg.Go(func() { h.followers["endpoints"].Run(ctx) })
	t.Cleanup(func() { stop(); wg.Wait() })
	return h, store, received
}

// announced returns a record in which endpoint e1 announces a state.
func announced(value string) keyedlog.Record {
	return keyedlog.Record{Key: "e1", Value: []byte(value), Dropped: value == ""}
}

// wantReceived checks the next record that the other host receives.
func wantReceived(t *testing.T, received <-chan keyedlog.Record, want string) {
	t.Helper()
	select {
	case r := <-received:
		if string(r.Value) != want {
			t.Errorf("the other host gets %q, want %q", r.Value, want)
		}
	case <-time.After(3 * time.Second):
		t.Errorf("the other host does not get %q", want)
	}
}

// TestAnnouncementIsForwardedWhateverIsKnown guards against hosts that send requests to
// an endpoint after the store has acknowledged that it leaves: the leaders knew it from
// the endpoint's answer and did not publish its announcement. One that repeats the last
// announcement is not published.
func TestAnnouncementIsForwardedWhateverIsKnown(t *testing.T) {
	h, store, received := startLeader(t)
	store.pages <- []keyedlog.Record{announced(string(endpoint.StateLive) + " 1")}
	wantReceived(t, received, string(endpoint.StateLive)+" 1")
	h.fleet.MarkLeaving("e1", 1)
	store.pages <- []keyedlog.Record{announced(string(endpoint.StateLive) + " 2")}
	store.pages <- []keyedlog.Record{announced(string(endpoint.StateLeaving) + " 3")}
	wantReceived(t, received, string(endpoint.StateLeaving)+" 3")
}

// TestRenewalAfterLapseIsForwarded guards against a live endpoint that hosts leave
// unused for seconds: a leader read the lapse of its announcement and the renewal
// together and published neither, and another one had published the lapse.
func TestRenewalAfterLapseIsForwarded(t *testing.T) {
	_, store, received := startLeader(t)
	live := string(endpoint.StateLive)
	store.pages <- []keyedlog.Record{announced(live + " 1")}
	wantReceived(t, received, live+" 1")
	store.pages <- []keyedlog.Record{announced(""), announced(live + " 2")}
	wantReceived(t, received, live+" 2")
	store.pages <- []keyedlog.Record{announced(string(endpoint.StateLeaving) + " 3"), announced(live + " 4")}
	wantReceived(t, received, live+" 4")
}

// TestAnnouncementAfterAnotherWriterIsForwarded guards against an endpoint that other hosts
// do not know, or do not know to be removed, because a record of another writer stands
// between its announcements.
func TestAnnouncementAfterAnotherWriterIsForwarded(t *testing.T) {
	_, store, received := startLeader(t)
	live := string(endpoint.StateLive)
	store.pages <- []keyedlog.Record{announced(live + " 1")}
	wantReceived(t, received, live+" 1")
	store.pages <- []keyedlog.Record{announced("unreadable")}
	store.pages <- []keyedlog.Record{announced(live + " 2")}
	wantReceived(t, received, live+" 2")
	store.pages <- []keyedlog.Record{announced(""), announced("unreadable")}
	wantReceived(t, received, "")
}

// TestEndpointWaitsForItsService guards against an announcement in a service that no
// configuration names, which takes the place of the endpoint's own one, and against an
// endpoint that is never used because it was announced before its service was configured.
func TestEndpointWaitsForItsService(t *testing.T) {
	h := New(Settings{Host: "h"}, Adapter{DecodeEndpoint: func(id string, data []byte) (fleet.Member, error) {
		service, words, _ := strings.Cut(string(data), ":")
		m, err := decodeWords(id, []byte(words))
		m.Service = service
		return m, err
	}}, logging.Discard())
	configure := func(services ...string) {
		document := routes.Document{Version: int64(len(services))}
		for _, name := range services {
			document.Services = append(document.Services, routes.Service{Name: name})
		}
		h.routes.Update(routes.NewTable(document))
		h.announceNamed()
	}
	live := string(endpoint.StateLive)
	h.applyEndpoint(announced("desk:" + live + " 1"))
	if h.fleet.Len() != 0 {
		t.Error("known before any configuration")
	}
	configure("desk")
	if len(h.fleet.Members("desk")) != 1 {
		t.Error("not known after its service was configured")
	}
	h.applyEndpoint(announced("elsewhere:" + live + " 9"))
	h.applyEndpoint(announced("desk:" + string(endpoint.StateLeaving) + " 2"))
	if m, found := h.fleet.Find("e1"); !found || m.Service != "desk" || m.State != endpoint.StateLeaving {
		t.Errorf("got %+v", m)
	}
	h.applyEndpoint(announced(""))
	configure("desk", "elsewhere")
	if h.fleet.Len() != 0 {
		t.Error("a removed endpoint is back")
	}
}
