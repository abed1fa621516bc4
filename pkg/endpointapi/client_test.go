package endpointapi_test

import (
	"context"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/endpointapi"
	"github.com/clementineshed/clementineshed/pkg/jsonhttp"
	"github.com/clementineshed/clementineshed/pkg/standin/engined"
	"github.com/clementineshed/clementineshed/pkg/standin/httpd"
	"github.com/clementineshed/clementineshed/pkg/standin/platformd"
)

var background = context.Background()

func start(t *testing.T, opts platformd.Options) (*platformd.Server, *jsonhttp.Client) {
	t.Helper()
	s := platformd.New(opts)
	if err := s.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s, jsonhttp.New(s.Address(), jsonhttp.Options{Timeout: time.Second})
}

func eventually(t *testing.T, what string, check func() bool) {
	t.Helper()
	for deadline := time.Now().Add(time.Second); !check(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s did not happen within a second", what)
		}
	}
}

// TestHostListLagsAndOutlivesAnOutage guards against a host list that does not
// lag, and against a client that loses the list during an outage.
func TestHostListLagsAndOutlivesAnOutage(t *testing.T) {
	s, c := start(t, platformd.Options{HostListLag: 60 * time.Millisecond})
	hosts := endpointapi.NewHostList(c, clockwork.NewRealClock())
	s.SetHost(endpointapi.Host{Name: "h1", Domain: "nashua", State: endpointapi.HostLive})
	if answer, err := hosts.Read(background); err != nil || len(answer.Value.Hosts) != 0 {
		t.Fatal(answer, err)
	}
	eventually(t, "listing", func() bool {
		answer, _ := hosts.Read(background)
		return len(answer.Value.Hosts) == 1
	})
	s.SetFaults(httpd.Faults{Outage: httpd.OutageReset})
	time.Sleep(20 * time.Millisecond)
	answer, err := hosts.Read(background)
	if err == nil || !answer.Known || len(answer.Value.Hosts) != 1 || answer.Age < 20*time.Millisecond {
		t.Fatal(answer, err)
	}
}

// TestProvisionAndReleaseAnEngine guards against a provisioned engine that does
// not run, a retry after a lost answer that provisions a second endpoint, and an
// order that is missing from the platform's journal.
func TestProvisionAndReleaseAnEngine(t *testing.T) {
	opts := platformd.Options{ProvisionDelay: 20 * time.Millisecond, ReleaseDelay: 20 * time.Millisecond}
	opts.Start = func(e endpoint.Endpoint, order endpointapi.ProvisionOrder) (endpoint.Endpoint, func(), error) {
		engine := engined.New(engined.Options{ID: e.ID, Model: order.Model})
		if err := engine.Listen("127.0.0.1:0"); err != nil {
			return e, nil, err
		}
		e.Address, e.Instance = engine.Address(), engine.Instance()
		return e, func() { _ = engine.Close() }, nil
	}
	s, c := start(t, opts)
	client := endpointapi.NewEndpointInterface(c, clockwork.NewRealClock())
	order := endpointapi.ProvisionOrder{ID: "o1", Holder: "h1", Fence: 3, Domain: "nashua", Kind: platformd.KindSpot, Model: "m"}
	s.SetFaults(httpd.Faults{LoseAnswers: 1})
	if _, err := client.Provision(background, order); !errors.Is(err, endpointapi.ErrOutcomeUnknown) {
		t.Fatal(err)
	}
	order.Fence = 2
	answer, err := client.Provision(background, order)
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "provisioning", func() bool {
		list, _ := client.List(background)
		return len(list) == 1 && list[0].State == endpoint.StateLive && list[0].Reclaimable
	})
	release := endpointapi.ReleaseOrder{ID: "o2", Holder: "h1", EndpointID: answer.EndpointID}
	if _, err := client.Release(background, release); err != nil {
		t.Fatal(err)
	}
	if list, _ := client.List(background); len(list) != 1 || list[0].State != endpoint.StateLeaving {
		t.Fatal(list)
	}
	eventually(t, "release", func() bool { return len(s.Endpoints()) == 0 })
	if journal := s.Orders(); len(journal) != 3 || journal[1].Fence != 2 || !journal[1].Repeated {
		t.Fatalf("%+v", journal)
	}
}

// TestReclaimAndUnavailability guards against a reclaim without notice or of the
// wrong kind, and against a refusal classified as an unknown outcome.
func TestReclaimAndUnavailability(t *testing.T) {
	s, c := start(t, platformd.Options{ReclaimNotice: 30 * time.Millisecond})
	for _, kind := range []string{platformd.KindSpot, platformd.KindSteady} {
		s.AddEndpoint(endpoint.Endpoint{ID: kind, Domain: "nashua", Kind: kind}, nil)
	}
	s.Reclaim("nashua", platformd.KindSpot, 0)
	if list := s.Endpoints(); len(list) != 2 || list[0].State != endpoint.StateLeaving || list[0].LeaveAtMillis == 0 {
		t.Fatal(list)
	}
	eventually(t, "reclaim", func() bool { return len(s.Endpoints()) == 1 })
	s.SetAvailable("nashua", platformd.KindSpot, false)
	client := endpointapi.NewEndpointInterface(c, clockwork.NewRealClock())
	_, err := client.Provision(background, endpointapi.ProvisionOrder{ID: "o", Domain: "nashua", Kind: platformd.KindSpot})
	var refused *endpointapi.RefusedError
	if !errors.As(err, &refused) || refused.Code != endpointapi.CodeKindUnavailable || !errors.Is(err, endpointapi.ErrNoEffect) {
		t.Fatal(err)
	}
}

// TestUsageReportsAreJournaled guards against a report that is missing from the
// platform's journal, also if it contradicts an earlier report with its ID.
func TestUsageReportsAreJournaled(t *testing.T) {
	s, c := start(t, platformd.Options{})
	usage := endpointapi.NewUsageInterface(c, clockwork.NewRealClock())
	for i := range 2 {
		report := endpointapi.UsageReport{ID: "r", Team: "t", Window: 60_000, Figures: endpointapi.Figures{Requests: int64(i)}}
		if answer, err := usage.Report(background, report); err != nil || answer.Duplicate != (i == 1) {
			t.Fatal(answer, err)
		}
	}
	if journal := s.Usage(); len(journal) != 2 || journal[1].Figures.Requests != 1 {
		t.Fatalf("%+v", journal)
	}
}

// TestWeightStoreLimit guards against a weight store without a rate limit.
func TestWeightStoreLimit(t *testing.T) {
	_, c := start(t, platformd.Options{WeightsPerSecond: 1})
	store := endpointapi.NewWeightStore(c, clockwork.NewRealClock())
	if answer, err := store.Weights(background, "m", "1"); err != nil || answer.Value.FetchMillis == 0 {
		t.Fatal(answer, err)
	}
	answer, err := store.Weights(background, "m", "1")
	var refused *endpointapi.RefusedError
	if !errors.As(err, &refused) || refused.Code != endpointapi.CodeRateLimited || !answer.Known {
		t.Fatal(answer, err)
	}
}
