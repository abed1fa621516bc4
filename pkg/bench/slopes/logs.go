package slopes

import (
	"context"
	"fmt"
	"math/rand"
	"runtime"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"gonum.org/v1/gonum/stat"

	"github.com/clementineshed/clementineshed/pkg/lease"
	"github.com/clementineshed/clementineshed/pkg/logservice"
	"github.com/clementineshed/clementineshed/pkg/once"
	"github.com/clementineshed/clementineshed/pkg/usage"
)

const (
	// maxConcurrentOrders bounds the orders in flight of once-attempts.
	maxConcurrentOrders = 200
	// orderInterval is the time between two orders of a host in once-hosts.
	orderInterval = 50 * time.Millisecond
	// orderAnswerBytes is the size of the answer to an order in bytes.
	orderAnswerBytes = 200
	// leaseDuration replaces lease.DefaultDuration, so that a short run includes
	// renewals; rates are scaled to the default.
	leaseDuration = 900 * time.Millisecond
	leaseMargin   = 100 * time.Millisecond
	// leasesPerDomain is the number of leases of a failure domain.
	leasesPerDomain = 2
	// measuredUsageWindows is the number of windows that the fold of usage-hosts
	// holds.
	measuredUsageWindows = 10
)

func logSlopes(w windows) []slope {
	return []slope{
		newSlope(sweep{"once-attempts", "orders that may not be repeated and were run within the deduplication period", 1000, once.DefaultMaxAttempts},
			[]int{500, 1000, 2000, 4000}, []int{50, 100, 200}, measureAttempts),
		newSlope(sweep{"once-hosts", "hosts that each take 20 orders a second that may not be repeated", TodayHosts, TargetHosts},
			[]int{2, 4, 8, 16, 32}, []int{1, 2, 4},
			func(ctx context.Context, hosts int) ([]figure, error) { return measureOrders(ctx, hosts, w.orders) }),
		newSlope(sweep{"once-interval", "live hosts by which a host chooses its batch interval, 5 orders a second on this host", TodayHosts, TargetHosts},
			[]int{8, 75, 150, 300}, []int{4, 8, 16},
			func(ctx context.Context, hosts int) ([]figure, error) { return measureOrderTime(ctx, hosts, w.orders) }),
		newSlope(sweep{"leases", "leases of engine and endpoint orders in all domains, held by one process", TodayDomains * leasesPerDomain, TargetDomains * leasesPerDomain},
			[]int{2, 8, 24, 50}, []int{1, 2, 4},
			func(ctx context.Context, leases int) ([]figure, error) { return measureLeases(ctx, leases, w.leases) }),
		newSlope(sweep{"usage-teams", "teams whose delivered tokens one host counts and flushes every 2 s", TodayTeams, TargetTeams},
			[]int{8, 160, 1600, 13000}, []int{8, 80, 160}, measureUsageTeams),
		newSlope(sweep{"usage-hosts", "hosts whose counts of 8 teams in 10 windows every host folds", TodayHosts, TargetHosts},
			[]int{8, 32, 128, 512}, []int{2, 4, 8}, measureUsageHosts),
	}
}

func newExecutor(client logservice.Client, number, liveHosts int) (*once.Executor, error) {
	return once.New(once.Options{
		Client: client, Clock: clockwork.NewRealClock(), Rand: rand.New(rand.NewSource(int64(number))),
		Incarnation: hostName(number) + "/1", Period: time.Hour, LiveHosts: func() int { return liveHosts },
	})
}

func answerOrder(context.Context) (once.Outcome, error) {
	return once.Outcome{Status: 200, Body: make([]byte, orderAnswerBytes)}, nil
}

func newOrderRequest(number int) once.Request {
	return once.Request{Team: teamName(number % TodayTeams), Key: fmt.Sprintf("order-%08d", number)}
}

// runOrders executes orders concurrently and returns the first error.
func runOrders(ctx context.Context, x *once.Executor, count int) error {
	var wg sync.WaitGroup
	failures := make(chan error, count)
	slots := make(chan struct{}, maxConcurrentOrders)
	for i := range count {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			if _, err := x.Execute(ctx, newOrderRequest(i), answerOrder); err != nil {
				failures <- err
			}
		})
	}
	wg.Wait()
	close(failures)
	return <-failures
}

func measureAttempts(ctx context.Context, attempts int) ([]figure, error) {
	memory := logservice.NewMemory(clockwork.NewRealClock())
	counted := &countingLog{Client: memory}
	x, err := newExecutor(counted, 1, 1)
	if err != nil {
		return nil, err
	}
	defer x.Close()
	if err := errors.Wrap(runOrders(ctx, x, attempts), "execute orders"); err != nil {
		return nil, err
	}
	if err := x.Flush(ctx); err != nil {
		return nil, err
	}
	// A second host folds the stream, so that the heap difference is the fold alone.
	before := liveHeap()
	follower, err := newExecutor(memory, 2, 1)
	if err != nil {
		return nil, err
	}
	defer follower.Close()
	if err := waitUntil(ctx, func() bool { return follower.Status().Next >= counted.records.Load() }); err != nil {
		return nil, err
	}
	heap := liveHeap() - before
	runtime.KeepAlive(memory)
	return []figure{
		{measure: "heap of a host's fold, with answers of 200 bytes", unit: "B", value: heap, budget: BudgetHeapBytes},
		{measure: "bytes appended", unit: "B", value: float64(counted.bytes.Load())},
		{measure: "records appended", unit: "records", value: float64(counted.records.Load())},
		{measure: "attempts held; the bound is of one deduplication period", unit: "attempts", value: float64(attempts), budget: once.DefaultMaxAttempts},
	}, nil
}

func waitUntil(ctx context.Context, done func() bool) error {
	for !done() {
		if err := sleep(ctx, time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

func measureOrders(ctx context.Context, hosts int, window time.Duration) ([]figure, error) {
	counted := &countingLog{Client: logservice.NewMemory(clockwork.NewRealClock())}
	var executors []*once.Executor
	defer func() {
		for _, x := range executors {
			x.Close()
		}
	}()
	for i := range hosts {
		x, err := newExecutor(counted, i, hosts)
		if err != nil {
			return nil, err
		}
		executors = append(executors, x)
	}
	cpu, start := processorTime(), time.Now()
	var wg sync.WaitGroup
	failures := make(chan error, hosts)
	perHost := int(window / orderInterval)
	means := make([]float64, hosts)
	for h, x := range executors {
		wg.Go(func() {
			if err := sleep(ctx, time.Duration(h)*orderInterval/time.Duration(hosts)); err != nil {
				failures <- err
				return
			}
			mean, err := runPacedOrders(ctx, x, h*perHost, perHost, orderInterval)
			if err != nil {
				failures <- err
			}
			means[h] = mean
		})
	}
	wg.Wait()
	elapsed := time.Since(start).Seconds()
	cpu = processorTime() - cpu
	close(failures)
	orderTime := stat.Mean(means, nil)
	perSecond := func(n int64) float64 { return float64(n) / elapsed }
	return []figure{
		// The batch interval keeps the appends below the limit of 300 at every
		// size, so the figure has no budget to extrapolate to.
		{measure: "appends per second of all hosts, held below 300 by the batch interval", unit: "1/s", value: perSecond(counted.appends.Load())},
		{measure: "bytes appended per second by all hosts", unit: "B/s", value: perSecond(counted.bytes.Load())},
		{measure: "bytes per second that each host reads", unit: "B/s", value: perSecond(counted.read.Load()) / float64(hosts), budget: BudgetBytesPerSecond},
		{measure: MeasureCPU, unit: "cores", value: cpu.Seconds() / elapsed / float64(hosts), budget: BudgetCoreShare, timed: true},
		{measure: "mean time of an order through the log, besides the log's own", unit: "s", value: orderTime, budget: once.DefaultRecordTimeout.Seconds(), timed: true},
	}, <-failures
}

// runPacedOrders starts one order per interval and returns the mean execution time
// in seconds.
func runPacedOrders(ctx context.Context, x *once.Executor, first, count int, interval time.Duration) (float64, error) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var total time.Duration
	var failure error
	for i := range count {
		wg.Go(func() {
			start := time.Now()
			_, err := x.Execute(ctx, newOrderRequest(first+i), answerOrder)
			mu.Lock()
			defer mu.Unlock()
			total += time.Since(start)
			if err != nil {
				failure = err
			}
		})
		if err := sleep(ctx, interval); err != nil {
			failure = err
			break
		}
	}
	wg.Wait()
	return total.Seconds() / float64(count), failure
}

func measureOrderTime(ctx context.Context, liveHosts int, window time.Duration) ([]figure, error) {
	const interval = 200 * time.Millisecond
	counted := &countingLog{Client: logservice.NewMemory(clockwork.NewRealClock())}
	x, err := newExecutor(counted, 1, liveHosts)
	if err != nil {
		return nil, err
	}
	defer x.Close()
	mean, err := runPacedOrders(ctx, x, 0, int(window/interval)+1, interval)
	return []figure{
		{measure: "mean time of an order through the log, besides the log's own", unit: "s", value: mean, budget: once.DefaultRecordTimeout.Seconds(), timed: true},
		{measure: "batch interval", unit: "s", value: logservice.BatchInterval(liveHosts).Seconds(), budget: once.DefaultRecordTimeout.Seconds()},
	}, err
}

func leaseKeys(count int) []lease.Key {
	var keys []lease.Key
	for i := range count {
		duty := lease.EngineOrders
		if i%leasesPerDomain == 1 {
			duty = lease.EndpointOrders
		}
		keys = append(keys, lease.Key{Domain: fmt.Sprintf("domain-%02d", i/leasesPerDomain), Duty: duty})
	}
	return keys
}

func newLeaseManager(client logservice.Client, keys []lease.Key) *lease.Manager {
	return lease.New(lease.Options{
		Client: client, Clock: clockwork.NewRealClock(), Rand: rand.New(rand.NewSource(seed)),
		Incarnation: "host-0001/1", Host: "host-0001", Address: "127.0.0.1:1", Keys: keys,
		LiveHosts: func() int { return 1 }, HostAbsentFor: func(string) time.Duration { return 0 },
		Duration: leaseDuration, Margin: leaseMargin,
	})
}

func measureLeases(ctx context.Context, count int, window time.Duration) ([]figure, error) {
	counted := &countingLog{Client: logservice.NewMemory(clockwork.NewRealClock())}
	// The first read of an empty stream would wait, so the stream gets a record.
	if _, err := counted.Append(ctx, logservice.StreamLease, [][]byte{{}}); err != nil {
		return nil, err
	}
	keys := leaseKeys(count)
	before := liveHeap()
	manager := newLeaseManager(counted, keys)
	defer manager.Close()
	waitCtx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for _, k := range keys {
		if err := waitUntil(waitCtx, func() bool { _, err := manager.Check(k); return err == nil }); err != nil {
			return nil, errors.Wrapf(err, "wait for lease %s", k)
		}
	}
	appends, records, bytes := counted.appends.Load(), counted.records.Load(), counted.bytes.Load()
	if err := sleep(ctx, window); err != nil {
		return nil, err
	}
	scale := func(n int64) float64 {
		return float64(n) / window.Seconds() * leaseDuration.Seconds() / lease.DefaultDuration.Seconds()
	}
	return []figure{
		{measure: "appends per second at the default lease time", unit: "1/s", value: scale(counted.appends.Load() - appends), budget: logservice.AppendBudget},
		{measure: "records per second at the default lease time", unit: "1/s", value: scale(counted.records.Load() - records)},
		{measure: "bytes per second that each host reads", unit: "B/s", value: scale(counted.bytes.Load() - bytes), budget: BudgetBytesPerSecond},
		{measure: "heap with the log's records", unit: "B", value: liveHeap() - before, budget: BudgetHeapBytes},
	}, nil
}

// newReporter returns a reporter that holds no lease: it counts, flushes and
// folds, as on every host except the lease holder.
func newReporter(client logservice.Client, number int, leases *lease.Manager) *usage.Reporter {
	return usage.New(usage.Options{
		Client: client, Clock: clockwork.NewRealClock(), Rand: rand.New(rand.NewSource(int64(number))),
		Incarnation: hostName(number) + "/1", LiveHosts: func() int { return 1 },
		Key: lease.Key{Domain: "domain-00", Duty: lease.UsageReports}, Leases: leases,
	})
}

func usageCounts(teams int) map[string]usage.Counts {
	counts := make(map[string]usage.Counts, teams)
	for i := range teams {
		counts[teamName(i)] = usage.Counts{InputTokens: 1_234_567, CachedTokens: 765_432, OutputTokens: 345_678, Requests: 1234}
	}
	return counts
}

func measureUsageTeams(ctx context.Context, teams int) ([]figure, error) {
	leases := newLeaseManager(logservice.NewMemory(clockwork.NewRealClock()), nil)
	defer leases.Close()
	counted := &countingLog{Client: logservice.NewMemory(clockwork.NewRealClock())}
	counts := usageCounts(teams)
	before := liveHeap()
	reporter := newReporter(counted, 1, leases)
	defer reporter.Close()
	for team, c := range counts {
		reporter.Add(team, c)
	}
	if err := reporter.Flush(ctx); err != nil {
		return nil, err
	}
	heap := liveHeap() - before
	runtime.KeepAlive(counts)
	flushesPerSecond := 1 / usage.DefaultFlushInterval.Seconds()
	return []figure{
		{measure: "bytes of one host's flush", unit: "B", value: float64(counted.bytes.Load())},
		{measure: "bytes per second that one host appends", unit: "B/s", value: float64(counted.bytes.Load()) * flushesPerSecond, budget: BudgetBytesPerSecond},
		{measure: "heap of counter and fold for one host's counts of one window, with the log's record", unit: "B", value: heap, budget: BudgetHeapBytes},
	}, nil
}

// appendUsageFlushes appends the usage flushes of all hosts for every window.
func appendUsageFlushes(ctx context.Context, client logservice.Client, hosts int) error {
	counts := usageCounts(TodayTeams)
	current := time.Now().UnixNano() / int64(usage.DefaultWindow)
	for w := range int64(measuredUsageWindows) {
		for h := range hosts {
			flush := usage.Flush{Incarnation: hostName(h) + "/1", Window: current - measuredUsageWindows + w + 1, Sequence: 30, Teams: counts}
			e, err := logservice.NewEntry(fmt.Sprintf("%s/%d/30", flush.Incarnation, flush.Window), "counts", flush)
			if err != nil {
				return err
			}
			data, err := e.Encode()
			if err != nil {
				return err
			}
			if _, err := client.Append(ctx, logservice.StreamUsage, [][]byte{data}); err != nil {
				return err
			}
		}
	}
	return nil
}

func measureUsageHosts(ctx context.Context, hosts int) ([]figure, error) {
	leases := newLeaseManager(logservice.NewMemory(clockwork.NewRealClock()), nil)
	defer leases.Close()
	counted := &countingLog{Client: logservice.NewMemory(clockwork.NewRealClock())}
	if err := appendUsageFlushes(ctx, counted, hosts); err != nil {
		return nil, err
	}
	before, cpu := liveHeap(), processorTime()
	reporter := newReporter(counted, hosts+1, leases)
	defer reporter.Close()
	records := counted.records.Load()
	if err := waitUntil(ctx, func() bool { return reporter.Status().Next >= records }); err != nil {
		return nil, err
	}
	cpu = processorTime() - cpu
	heap := liveHeap() - before
	flushesPerSecond := float64(hosts) / usage.DefaultFlushInterval.Seconds()
	return []figure{
		{measure: "appends per second of all hosts", unit: "1/s", value: flushesPerSecond, budget: logservice.AppendBudget},
		{measure: "bytes per second that each host reads", unit: "B/s", value: float64(counted.bytes.Load()) / float64(records) * flushesPerSecond, budget: BudgetBytesPerSecond},
		{measure: MeasureCPU + " for folding", unit: "cores", value: cpu.Seconds() / float64(records) * flushesPerSecond, budget: BudgetCoreShare, timed: true},
		{measure: "heap of the fold for 10 windows", unit: "B", value: heap, budget: BudgetHeapBytes},
	}, nil
}
