package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/endpoint/poll"
	"github.com/clementineshed/clementineshed/pkg/enginewire"
	"github.com/clementineshed/clementineshed/pkg/prefix"
	"github.com/clementineshed/clementineshed/pkg/routing"
)

const (
	// snapshotsPerSecond is the rate at which an entry host rebuilds the snapshot
	// for its routing decisions.
	snapshotsPerSecond = 10
	// eventsPerPoll is the number of cache events of an engine between polls: 15
	// requests a second (150,000 on 10,000 runners), each of which stores and
	// evicts one chunk, in a quarter of a second.
	eventsPerPoll = 8
	// promptChunks is the length of a prompt in chunks.
	promptChunks = 8
	modelName    = "m"
)

func routingSlopes(w windows) []slope {
	runners := func(name, text string) sweep { return sweep{name, text, TodayRunners, TargetRunners} }
	return []slope{
		newSlope(runners("routing-table", "runners in one host's endpoint table and snapshot"),
			[]int{16, 160, 1600, 10000}, []int{16, 80, 160}, measureRouting),
		newSlope(runners("routing-poll", "runners that one host polls for load every 500 ms and for cache events every 2 s, over loopback; the processor time includes the engines' side"),
			[]int{16, 100, 200, 400}, []int{4, 8, 16},
			func(ctx context.Context, runners int) ([]figure, error) { return measurePoll(ctx, runners, w.poll) }),
		newSlope(sweep{"prefix-index", "chunks in one host's prefix index, four holders each", prefix.DefaultMaxChunks / 10, prefix.DefaultMaxChunks},
			[]int{2000, 20000, 100000, 200000}, []int{800, 1600, 3200}, measurePrefix),
	}
}

// fleet returns n runners distributed over the target's failure domains.
func fleet(n int) []endpoint.Endpoint {
	list := make([]endpoint.Endpoint, n)
	for i := range list {
		id := fmt.Sprintf("runner-%05d", i)
		list[i] = endpoint.Endpoint{
			ID: id, Instance: id + "-1", Address: "127.0.0.1:8080", Kind: "steady",
			Domain: fmt.Sprintf("domain-%02d", i%TargetDomains), State: endpoint.StateLive,
		}
	}
	return list
}

func loadOf(e endpoint.Endpoint) endpoint.Load {
	return endpoint.Load{
		Instance: e.Instance, Role: endpoint.RoleMixed, Model: modelName, Version: "1", Running: 12, Waiting: 1,
		PrefillTokensWaiting: 2100, DecodeStreams: 11, KVTokensUsed: 180_000, KVTokensTotal: 400_000,
		PrefillRate: 20_000, DecodeRate: 2_500, ReportedAtMillis: time.Now().UnixMilli(),
	}
}

func measureRouting(_ context.Context, runners int) ([]figure, error) {
	before := liveHeap()
	list := fleet(runners)
	table := endpoint.NewTable(clockwork.NewRealClock())
	trends, sends := routing.NewTrends(), routing.NewSendLog()
	table.SetList(list)
	report := func(i int) {
		e := list[i%runners]
		now := time.Now()
		table.ReportLoad(e.ID, loadOf(e), now)
		trends.Observe(e.ID, loadOf(e), now)
	}
	for i := range runners {
		report(i)
	}
	build := func(int) *routing.Snapshot {
		return routing.NewSnapshot(routing.View{
			Domain: list[0].Domain, Hosts: TodayHosts, Endpoints: table.Snapshot().All(),
			Sends: sends, Trends: trends, Delays: routing.UniformDelay(time.Millisecond),
		})
	}
	snapshot := build(0)
	heap := liveHeap() - before
	buildTime := secondsPerCall(max(3, 20_000/runners), func(i int) { build(i) })
	reportTime := secondsPerCall(2000, report)
	router, rng := routing.DefaultRouter(), rand.New(rand.NewPCG(seed, 1))
	request := routing.Request{Model: modelName, PromptTokens: 16000, OutputTokens: 270, Repeatable: true}
	failed := 0
	routeTime := secondsPerCall(5000, func(int) {
		if _, ok := router.Route(request, snapshot, nil, rng); !ok {
			failed++
		}
	})
	if failed > 0 {
		return nil, errors.Errorf("%d decisions found no endpoint", failed)
	}
	runtime.KeepAlive(snapshot)
	pollsPerSecond := float64(time.Second) / float64(poll.DefaultEngineInterval)
	return []figure{
		{measure: "heap of table and snapshot", unit: "B", value: heap, budget: BudgetHeapBytes},
		{measure: "processor time of ten snapshots a second", unit: "cores", value: buildTime * snapshotsPerSecond, budget: BudgetCoreShare, timed: true},
		{measure: "processor time of storing the load reports of each runner", unit: "cores", value: reportTime * pollsPerSecond * float64(runners), budget: BudgetCoreShare, timed: true},
		{measure: "time of one routing decision", unit: "µs", value: routeTime * 1e6, timed: true},
	}, nil
}

// countingListener counts the bytes of all connections in both directions.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, &l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// newEngineHandler serves the load report and the cache events of a busy
// engine.
func newEngineHandler() (fasthttp.RequestHandler, error) {
	load, err := json.Marshal(loadOf(fleet(1)[0]))
	if err != nil {
		return nil, err
	}
	answer := enginewire.CacheEventsAnswer{Instance: "runner-00000-1", Next: 1_000_000}
	for i := range eventsPerPoll {
		answer.Events = append(answer.Events, enginewire.CacheEvent{Sequence: int64(999_990 + i), Hash: rand.Uint64(), Stored: i%2 == 0})
	}
	events, err := json.Marshal(answer)
	if err != nil {
		return nil, err
	}
	return func(ctx *fasthttp.RequestCtx) {
		ctx.SetContentType("application/json")
		if string(ctx.Path()) == enginewire.PathLoad {
			ctx.SetBody(load)
			return
		}
		ctx.SetBody(events)
	}, nil
}

type staticEndpoints []endpoint.Endpoint

func (l staticEndpoints) List(context.Context) ([]endpoint.Endpoint, error) { return l, nil }

// measurePoll runs the poller against one listener that answers for all
// engines; each engine has a connection of its own.
func measurePoll(ctx context.Context, runners int, window time.Duration) ([]figure, error) {
	handler, err := newEngineHandler()
	if err != nil {
		return nil, err
	}
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for polls")
	}
	listener := &countingListener{Listener: inner}
	server := &fasthttp.Server{Handler: handler, CloseOnShutdown: true}
	served := make(chan struct{})
	go func() { defer close(served); _ = server.Serve(listener) }()
	defer func() { _ = server.Shutdown(); <-served }()
	list := staticEndpoints(fleet(runners))
	for i := range list {
		list[i].Address = inner.Addr().String()
	}
	before := liveHeap()
	poller := poll.Start(poll.Options{
		Table: endpoint.NewTable(clockwork.NewRealClock()), List: list,
		OnCacheEvents: func(string, enginewire.CacheEventsAnswer) {},
	})
	defer poller.Close()
	if err := sleep(ctx, window/3); err != nil {
		return nil, err
	}
	bytes, cpu, start := listener.bytes.Load(), processorTime(), time.Now()
	if err := sleep(ctx, window); err != nil {
		return nil, err
	}
	elapsed := time.Since(start).Seconds()
	cpu, bytes = processorTime()-cpu, listener.bytes.Load()-bytes
	return []figure{
		{measure: "bytes per second read and written, without TCP headers", unit: "B/s", value: float64(bytes) / elapsed, budget: BudgetBytesPerSecond},
		{measure: MeasureCPU, unit: "cores", value: cpu.Seconds() / elapsed, budget: BudgetCoreShare, timed: true},
		{measure: "heap of connections and loops, both sides", unit: "B", value: liveHeap() - before, budget: BudgetHeapBytes},
	}, nil
}

func measurePrefix(_ context.Context, chunks int) ([]figure, error) {
	const holders = 4
	before := liveHeap()
	index := prefix.NewIndex(chunks)
	rng := rand.New(rand.NewPCG(seed, 2))
	chains := make([][]uint64, chunks/promptChunks)
	now := time.Now()
	for i := range chains {
		chains[i] = make([]uint64, promptChunks)
		for k := range chains[i] {
			chains[i][k] = rng.Uint64()
		}
		for range holders {
			id := fmt.Sprintf("runner-%05d", rng.IntN(TargetRunners))
			index.RecordSend(id, id+"-1", chains[i], now)
		}
	}
	// The chains are allocated here and do not count for the index.
	heap := liveHeap() - before - float64(chunks*8)
	var matches []prefix.Match
	lookup := secondsPerCall(5000, func(i int) { matches = index.Lookup(matches[:0], chains[i*7919%len(chains)], holders) })
	runtime.KeepAlive(index)
	return []figure{
		{measure: "heap of the index", unit: "B", value: heap, budget: BudgetHeapBytes},
		{measure: "time of one lookup of a prompt of 8 chunks", unit: "µs", value: lookup * 1e6, timed: true},
	}, nil
}
