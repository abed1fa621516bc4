package dev

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/burn"
	"github.com/clementineshed/clementineshed/pkg/entryhost"
	"github.com/clementineshed/clementineshed/pkg/jsonhttp"
	"github.com/clementineshed/clementineshed/pkg/refusal"
	"github.com/clementineshed/clementineshed/pkg/standin/engined"
	"github.com/clementineshed/clementineshed/pkg/standin/orderd"
)

const (
	// maxOutputTokens keeps the answers short.
	maxOutputTokens = 40
	// Shares of the mixed load, 0 to 1. The remaining requests are stock reads.
	chatShare  = 0.7
	orderShare = 0.2
	// repeatShare is the share of orders that are sent again with the same
	// idempotency key.
	repeatShare = 0.3
	// longPromptShare is the share of chats with a long prompt.
	longPromptShare  = 0.2
	longPromptWords  = 800
	shortPromptWords = 60
	requestTimeout   = 30 * time.Second
)

// LoadResult counts the requests of a load by outcome.
type LoadResult struct {
	Sent int `json:"sent"`
	// Complete counts complete and correct answers.
	Complete int `json:"whole"`
	// NotRun counts requests that were refused and did not run.
	NotRun int `json:"not_run"`
	// Unknown counts failed requests that may have run.
	Unknown int `json:"unknown"`
	// Wrong counts answers that are incomplete or belong to another request.
	Wrong int `json:"wrong"`
	// FirstTokenMillis are percentiles of the time to the first token.
	FirstTokenMillis struct {
		P50 int64 `json:"p50"`
		P95 int64 `json:"p95"`
		P99 int64 `json:"p99"`
	} `json:"first_token_ms"`
	// Errors holds the first five failures.
	Errors []string `json:"errors,omitempty"`
}

// Goodput returns the share of complete and correct answers, 0 to 1.
func (r LoadResult) Goodput() float64 {
	if r.Sent == 0 {
		return 0
	}
	return float64(r.Complete) / float64(r.Sent)
}

// loadGenerator sends the requests of one load and counts their outcomes.
type loadGenerator struct {
	cluster *Cluster
	client  *http.Client

	mu sync.Mutex
	// The fields below are guarded by mu.
	rng        *rand.Rand
	result     LoadResult
	firstToken *hdrhistogram.Histogram
}

// Load sends a mix of chats, orders and stock reads for duration, at rate
// requests a second, and waits for the last answer. It stops sending when ctx
// ends. seed seeds the random choices.
func (c *Cluster) Load(ctx context.Context, rate float64, duration time.Duration, seed uint64) LoadResult {
	l := &loadGenerator{
		cluster:    c,
		client:     &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}, Timeout: requestTimeout},
		rng:        rand.New(rand.NewPCG(seed, 0)),
		firstToken: hdrhistogram.New(1, int64(requestTimeout/time.Microsecond), 3),
	}
	defer l.client.CloseIdleConnections()
	var running sync.WaitGroup
	ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer ticker.Stop()
	for n := range int(rate * duration.Seconds()) {
		select {
		case <-ctx.Done():
			running.Wait()
			return l.finish()
		case <-ticker.C:
		}
		running.Add(1)
		go func() {
			defer running.Done()
			l.recordOutcome(l.send(ctx, n))
		}()
	}
	running.Wait()
	return l.finish()
}

func (l *loadGenerator) finish() LoadResult {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.FirstTokenMillis.P50 = l.firstToken.ValueAtPercentile(50) / 1000
	l.result.FirstTokenMillis.P95 = l.firstToken.ValueAtPercentile(95) / 1000
	l.result.FirstTokenMillis.P99 = l.firstToken.ValueAtPercentile(99) / 1000
	return l.result
}

var errWrong = errors.New("answer is wrong or incomplete")

func (l *loadGenerator) recordOutcome(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.result.Sent++
	var refused *refusal.Refusal
	switch {
	case err == nil:
		l.result.Complete++
		return
	case errors.Is(err, errWrong):
		l.result.Wrong++
	case errors.As(err, &refused) && refused.Ran == refusal.RanNo:
		l.result.NotRun++
	default:
		l.result.Unknown++
	}
	if len(l.result.Errors) < 5 {
		l.result.Errors = append(l.result.Errors, err.Error())
	}
}

func (l *loadGenerator) random() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rng.Float64()
}

// send sends the n-th request and checks its answer.
func (l *loadGenerator) send(ctx context.Context, n int) error {
	addresses := l.cluster.CallersAddresses()
	address := addresses[n%len(addresses)]
	other := addresses[(n+1)%len(addresses)]
	switch draw := l.random(); {
	case draw < chatShare:
		words := shortPromptWords
		if l.random() < longPromptShare {
			words = longPromptWords
		}
		return l.chat(ctx, address, n, words)
	case draw < chatShare+orderShare:
		return l.order(ctx, address, other, n)
	default:
		return l.call(ctx, address, http.MethodGet, orderd.DefaultPrefix+"stock/gourd", "", "", nil)
	}
}

func (l *loadGenerator) chat(ctx context.Context, address string, n, words int) error {
	content := strings.Repeat(fmt.Sprintf("specification-%d ", n%50), words) + fmt.Sprint(n)
	body, err := json.Marshal(map[string]any{
		"model": "tasting-notes", "stream": true, "max_tokens": maxOutputTokens,
		"messages": []map[string]string{{"role": "user", "content": content}},
	})
	if err != nil {
		return err
	}
	sent := time.Now()
	resp, err := l.do(ctx, address, http.MethodPost, "/v1/chat/completions", "", body)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, whole, err := l.readStream(resp, sent)
	if err != nil {
		return err
	}
	if want := engined.Answer("user: "+content+"\n", maxOutputTokens); !whole || answer != want {
		return errors.Wrapf(errWrong, "chat %d: got %d of %d bytes, [DONE] received: %v", n, len(answer), len(want), whole)
	}
	return nil
}

// readStream joins the tokens of a streamed answer. whole reports that the
// stream ended with [DONE].
func (l *loadGenerator) readStream(resp *http.Response, sent time.Time) (answer string, whole bool, err error) {
	var text strings.Builder
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), true, nil
		}
		var chunk struct {
			Choices []struct {
				Delta struct{ Content string }
			}
			Error *refusal.BodyError
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return "", false, errors.Wrap(errWrong, err.Error())
		}
		if chunk.Error != nil {
			return "", false, refusalOf(resp.StatusCode, *chunk.Error)
		}
		if text.Len() == 0 {
			l.recordFirstToken(time.Since(sent))
		}
		for _, choice := range chunk.Choices {
			text.WriteString(choice.Delta.Content)
		}
	}
	return text.String(), false, lines.Err()
}

func (l *loadGenerator) recordFirstToken(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.firstToken.RecordValue(d.Microseconds())
}

// order sends a shipment and checks that it ran once. A share of shipments is
// repeated through another host with the same idempotency key.
func (l *loadGenerator) order(ctx context.Context, address, other string, n int) error {
	key := fmt.Sprintf("load-%d-%d", n, time.Now().UnixNano())
	body := []byte(fmt.Sprintf(`{"boxes":%d}`, n))
	check := func(answer []byte) error {
		var a orderd.Answer
		if err := json.Unmarshal(answer, &a); err != nil || a.Key != key || a.KeyExecutions != 1 {
			return errors.Wrapf(errWrong, "order %s: %s", key, answer)
		}
		return nil
	}
	path := orderd.DefaultPrefix + "shipments"
	if err := l.call(ctx, address, http.MethodPost, path, key, string(body), check); err != nil {
		return err
	}
	if l.random() < repeatShare {
		return l.call(ctx, other, http.MethodPost, path, key, string(body), check)
	}
	return nil
}

func (l *loadGenerator) call(ctx context.Context, address, method, path, key, body string, check func([]byte) error) error {
	resp, err := l.do(ctx, address, method, path, key, []byte(body))
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer bytes.Buffer
	if _, err := answer.ReadFrom(resp.Body); err != nil {
		return err
	}
	if check != nil {
		return check(answer.Bytes())
	}
	return nil
}

// do sends one request. It returns any status but 200 as an error.
func (l *loadGenerator) do(ctx context.Context, address, method, path, key string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+l.cluster.Key)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer func() { _ = resp.Body.Close() }()
	var refused refusal.Body
	if err := json.NewDecoder(resp.Body).Decode(&refused); err != nil {
		return nil, errors.Errorf("decode refusal: status %d without a refusal body", resp.StatusCode)
	}
	return nil, refusalOf(resp.StatusCode, refused.Error)
}

func refusalOf(status int, e refusal.BodyError) error {
	return &refusal.Refusal{Status: status, Code: e.Code, Message: e.Message, Ran: e.Ran}
}

// Burn reads the burn snapshot of every host and returns the report of the
// merged snapshots.
func (c *Cluster) Burn(ctx context.Context) (burn.Report, error) {
	var snapshots []burn.Snapshot
	for _, address := range c.OperatorsAddresses() {
		var s burn.Snapshot
		if err := jsonhttp.New(address, jsonhttp.Options{}).Do(ctx, http.MethodGet, entryhost.PathBurn, nil, &s); err != nil {
			return burn.Report{}, err
		}
		snapshots = append(snapshots, s)
	}
	return burn.Build(burn.Merge(snapshots...), exampleDeclarations(c.Team, "").Classes), nil
}
