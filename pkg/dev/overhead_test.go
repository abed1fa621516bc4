package dev

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"

	"github.com/clementineshed/clementineshed/pkg/logging"
	"github.com/clementineshed/clementineshed/pkg/standin/engined"
	"github.com/clementineshed/clementineshed/pkg/standin/orderd"
)

const (
	// overheadTokens is the length of the streamed answers.
	overheadTokens = 20
	// overheadPairs is the number of sequential requests on each path.
	overheadPairs = 500
	// Under load, each path gets overheadSlices time slices of overheadSlice, in
	// alternation.
	overheadSlices  = 12
	overheadSlice   = 500 * time.Millisecond
	overheadCallers = 16
)

// sendFunc sends request n on one path, to the stand-in directly or through an
// entry host. It returns the time to the first token of the answer and to its
// end.
type sendFunc func(n int64) (first, whole time.Duration, err error)

// timings are the latencies of one path in microseconds.
type timings struct{ first, whole *hdrhistogram.Histogram }

func newTimings() timings {
	return timings{hdrhistogram.New(1, 60_000_000, 3), hdrhistogram.New(1, 60_000_000, 3)}
}

// newSendFunc returns a function with its own client that posts body(n) to
// url(n), or gets url(n) if the body is empty. marker identifies the line that
// holds the first token.
func newSendFunc(key, marker string, url, body func(n int64) string) sendFunc {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}, Timeout: 30 * time.Second}
	return func(n int64) (first, whole time.Duration, err error) {
		method, text := http.MethodGet, body(n)
		if text != "" {
			method = http.MethodPost
		}
		request, err := http.NewRequest(method, url(n), strings.NewReader(text))
		if err != nil {
			return 0, 0, err
		}
		request.Header.Set("Authorization", "Bearer "+key)
		sent := time.Now()
		answer, err := client.Do(request)
		if err != nil {
			return 0, 0, err
		}
		defer func() { _ = answer.Body.Close() }()
		reader := bufio.NewReader(answer.Body)
		for line := ""; !strings.Contains(line, marker); {
			if line, err = reader.ReadString('\n'); err != nil && !strings.Contains(line, marker) {
				return 0, 0, err
			}
		}
		first = time.Since(sent)
		_, err = io.Copy(io.Discard, reader)
		if err == nil && answer.StatusCode != http.StatusOK {
			err = fmt.Errorf("status %d", answer.StatusCode)
		}
		return first, time.Since(sent), err
	}
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measureUnloaded alternates single requests between the two paths.
func measureUnloaded(b *testing.B, senders [2]sendFunc) (result [2]timings) {
	result = [2]timings{newTimings(), newTimings()}
	for n := range int64(overheadPairs) {
		for i, send := range senders {
			first, whole, err := send(n)
			if err != nil {
				b.Fatal(err)
			}
			_ = result[i].first.RecordValue(first.Microseconds())
			_ = result[i].whole.RecordValue(whole.Microseconds())
		}
	}
	return result
}

// measureLoaded alternates slices of load between the two paths. It returns the
// process's CPU time per request and the requests a second on each path.
func measureLoaded(b *testing.B, senders [2]sendFunc) (perRequest [2]time.Duration, rate [2]float64) {
	var cpuTotal, elapsed [2]time.Duration
	var count [2]int64
	for slice := range 2 * overheadSlices {
		i := slice % 2
		cpu, began := cpuTime(b), time.Now()
		count[i] += loadSlice(b, senders[i])
		cpuTotal[i] += cpuTime(b) - cpu
		elapsed[i] += time.Since(began)
	}
	for i := range senders {
		perRequest[i] = cpuTotal[i] / time.Duration(count[i])
		rate[i] = float64(count[i]) / elapsed[i].Seconds()
	}
	return perRequest, rate
}

func loadSlice(b *testing.B, send sendFunc) int64 {
	ctx, cancel := context.WithTimeout(b.Context(), overheadSlice)
	defer cancel()
	var count atomic.Int64
	var callers sync.WaitGroup
	for range overheadCallers {
		callers.Go(func() {
			for ctx.Err() == nil {
				if _, _, err := send(count.Add(1)); err != nil {
					b.Error(err)
					return
				}
			}
		})
	}
	callers.Wait()
	return count.Load()
}

func printRow(w io.Writer, name string, latencies [2]timings, perRequest [2]time.Duration, rate [2]float64) {
	added := func(h func(timings) *hdrhistogram.Histogram, q float64) int64 {
		return h(latencies[1]).ValueAtPercentile(q) - h(latencies[0]).ValueAtPercentile(q)
	}
	first := func(t timings) *hdrhistogram.Histogram { return t.first }
	whole := func(t timings) *hdrhistogram.Histogram { return t.whole }
	host := perRequest[1] - perRequest[0]
	_, _ = fmt.Fprintf(w, "| %s | %d / %d | %+d / %+d | %d / %d | %+d / %+d | %.0f / %.0f | %d | %.0f |\n", name,
		latencies[0].first.ValueAtPercentile(50), latencies[0].first.ValueAtPercentile(99), added(first, 50), added(first, 99),
		latencies[0].whole.ValueAtPercentile(50), latencies[0].whole.ValueAtPercentile(99), added(whole, 50), added(whole, 99),
		rate[0], rate[1], host.Microseconds(), 1/host.Seconds())
}

// BenchmarkEntryHost prints the latency and CPU time that an entry host adds to
// a call of the stand-ins.
func BenchmarkEntryHost(b *testing.B) {
	cluster, err := Start(b.Context(), Options{
		Log: logging.Discard(), Clock: clockwork.NewRealClock(), Seed: 1,
		// Engines answer almost at once, so that the host's share is visible.
		Engine: engined.Options{PrefillRate: 1e9, DecodeRate: 1e9, StreamRate: 1e6, Step: 200 * time.Microsecond},
	})
	if err != nil {
		b.Fatal(err)
	}
	defer cluster.Close()
	fmt.Fprintf(os.Stdout, "%d cores; times in µs, median / 99th percentile\n\n", runtime.GOMAXPROCS(0))
	fmt.Fprintln(os.Stdout, "| request | first token, direct | added | whole answer, direct | added | requests/s, direct / host | host CPU µs a request | requests/s a core |")
	fmt.Fprintln(os.Stdout, "|---|---|---|---|---|---|---|---|")
	for _, c := range overheadCases(cluster) {
		senders := c.senders
		alone := measureUnloaded(b, senders)
		perRequest, rate := measureLoaded(b, senders)
		printRow(os.Stdout, c.name, alone, perRequest, rate)
	}
}

type overheadCase struct {
	name    string
	senders [2]sendFunc
}

func overheadCases(c *Cluster) []overheadCase {
	hosts := c.CallersAddresses()
	chat := func(words int) [2]sendFunc {
		prompt := func(n int64) string { return strings.Repeat(fmt.Sprintf("note-%d ", n%50), words) }
		return [2]sendFunc{
			newSendFunc("", `"token"`, func(n int64) string { return "http://" + c.engines[n%int64(len(c.engines))].Address() + "/v1/generate" },
				func(n int64) string {
					return fmt.Sprintf(`{"request_id":"d-%d-%d","model":%q,"prompt":%q,"max_tokens":%d}`, words, n, model, prompt(n), overheadTokens)
				}),
			newSendFunc(c.Key, `"content"`, func(n int64) string { return "http://" + hosts[n%int64(len(hosts))] + "/v1/chat/completions" },
				func(n int64) string {
					return fmt.Sprintf(`{"model":"tasting-notes","stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, overheadTokens, prompt(n))
				}),
		}
	}
	none := func(int64) string { return "" }
	path := orderd.DefaultPrefix + "stock/gourd"
	return []overheadCase{
		{"chat, 60 words, 20 tokens", chat(60)},
		{"chat, 8,000 words, 20 tokens", chat(8000)},
		{"stock read", [2]sendFunc{
			newSendFunc("", "boxes", func(n int64) string { return "http://" + c.orders[n%int64(len(c.orders))].Address() + path }, none),
			newSendFunc(c.Key, "boxes", func(n int64) string { return "http://" + hosts[n%int64(len(hosts))] + path }, none),
		}},
	}
}
