package poll

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/enginewire"
	"github.com/clementineshed/clementineshed/pkg/jsonhttp"
	"github.com/clementineshed/clementineshed/pkg/prefix"
	"github.com/clementineshed/clementineshed/pkg/standin/engined"
	"github.com/clementineshed/clementineshed/pkg/standin/httpd"
)

type fixedList []endpoint.Endpoint

func (l fixedList) List(context.Context) ([]endpoint.Endpoint, error) { return l, nil }

// Guards against an unresponsive engine that delays the load reports of the
// others, and against cache events that are not passed on.
func TestSilentEngineDelaysNoOther(t *testing.T) {
	var list fixedList
	engines := map[string]*engined.Server{}
	for _, id := range []string{"silent", "well"} {
		e := engined.New(engined.Options{ID: id, Model: "m", LoadLag: -1, CacheEventDelay: -1, PrefillRate: 1e7})
		if err := e.Listen("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		defer e.Close()
		engines[id] = e
		list = append(list, e.Endpoint("nashua", "steady"))
	}
	engines["silent"].SetFaults(engined.Faults{Faults: httpd.Faults{Outage: httpd.OutageSilent}})
	request := enginewire.GenerateRequest{RequestID: "r", Model: "m", MaxTokens: 1, Prompt: strings.Repeat("p", prefix.ChunkBytes)}
	client := jsonhttp.New(engines["well"].Address(), jsonhttp.Options{})
	// The error is ignored: the answer is a stream, which this client cannot decode.
	_ = client.Do(context.Background(), "POST", enginewire.PathGenerate, request, nil)
	var events atomic.Int64
	table := endpoint.NewTable(clockwork.NewRealClock())
	p := Start(Options{
		Table: table, List: list, EngineInterval: 10 * time.Millisecond, Timeout: 100 * time.Millisecond,
		OnCacheEvents: func(_ string, answer enginewire.CacheEventsAnswer) { events.Add(int64(len(answer.Events))) },
	})
	defer p.Close()
	for deadline := time.Now().Add(time.Second); ; time.Sleep(5 * time.Millisecond) {
		well, _ := table.Snapshot().Get("well")
		if well.HasLoad && events.Load() == 1 {
			break
		}
		if time.Now().After(deadline) {
			t.Fatalf("HasLoad %v, %d cache events", well.HasLoad, events.Load())
		}
	}
	if silent, _ := table.Snapshot().Get("silent"); silent.HasLoad {
		t.Fatal("a load report of the unresponsive engine was recorded")
	}
}
