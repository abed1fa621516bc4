package engined

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/enginewire"
	"github.com/clementineshed/clementineshed/pkg/prefix"
)

// fastOptions configures an engine that answers within milliseconds.
var fastOptions = Options{
	ID: "e1", Model: "m", PrefillRate: 1e6, DecodeRate: 1e6, StreamRate: 1e5,
	LoadLag: -1, CacheEventDelay: -1, RoleChangeTime: 50 * time.Millisecond,
	DownTime: 50 * time.Millisecond, Step: time.Millisecond,
}

func startServer(t *testing.T, opts Options) *Server {
	t.Helper()
	s := New(opts)
	if err := s.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func post(t *testing.T, s *Server, path string, body any) (*http.Response, error) {
	t.Helper()
	data, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return client.Post("http://"+s.Address()+path, "application/json", bytes.NewReader(data))
}

// readStream reads a stream to its end.
func readStream(t *testing.T, s *Server, request enginewire.GenerateRequest) (text string, last enginewire.Event, comments int, err error) {
	t.Helper()
	response, err := post(t, s, enginewire.PathGenerate, request)
	if err != nil {
		return "", last, 0, err
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), ":") {
			comments++
		}
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		last = enginewire.Event{}
		if err := json.Unmarshal([]byte(data), &last); err != nil {
			t.Fatal(err)
		}
		text += last.Token
	}
	return text, last, comments, lines.Err()
}

func sendOrder(t *testing.T, s *Server, o enginewire.Order) enginewire.Refusal {
	t.Helper()
	response, err := post(t, s, enginewire.PathOrders, o)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	var refusal enginewire.Refusal
	if err := json.NewDecoder(response.Body).Decode(&refusal); err != nil {
		t.Fatal(err)
	}
	return refusal
}

// Guards against a resumed stream that differs from the original one.
func TestAnswerIsDeterministicAndResumable(t *testing.T) {
	s := startServer(t, fastOptions)
	prompt := "shelf life of a clementine cream"
	text, last, _, err := readStream(t, s, enginewire.GenerateRequest{RequestID: "r", Model: "m", Prompt: prompt})
	if err != nil || text != Answer(prompt, 0) || !last.Done || last.OutputTokens != AnswerTokens(prompt, 0) {
		t.Fatalf("got %q, %+v, %v", text, last, err)
	}
	rest, _, _, _ := readStream(t, s, enginewire.GenerateRequest{RequestID: "r", Model: "m", Prompt: prompt, SkipTokens: 2})
	if Token(prompt, 0)+Token(prompt, 1)+rest != text {
		t.Fatalf("resumed stream has %q of %q", rest, text)
	}
}

// Guards against tokens that are held back until the end of the stream, and
// against a stream that sends nothing while no token is due.
func TestTokensArriveOneByOneWithComments(t *testing.T) {
	opts := fastOptions
	opts.StreamRate = 2
	s := startServer(t, opts)
	request := enginewire.GenerateRequest{RequestID: "r", Model: "m", Prompt: "p", MaxTokens: 3}
	response, err := post(t, s, enginewire.PathGenerate, request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	begin := time.Now()
	if _, err := bufio.NewReader(response.Body).ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	if waited := time.Since(begin); waited > 300*time.Millisecond {
		t.Fatalf("first token took %v", waited)
	}
	opts.PrefillRate = 0.8
	slow := startServer(t, opts)
	_, _, comments, _ := readStream(t, slow, enginewire.GenerateRequest{RequestID: "r", Model: "m", Prompt: "p", MaxTokens: 1})
	if comments != 1 {
		t.Fatalf("%d comment lines in 1.25 s without a token", comments)
	}
}

// Guards against a crash that leaves streams open or the instance unchanged.
func TestMarkerCrashesEngine(t *testing.T) {
	opts := fastOptions
	opts.CrashMarker = "poison"
	s := startServer(t, opts)
	before := s.Instance()
	_, last, _, err := readStream(t, s, enginewire.GenerateRequest{RequestID: "r", Model: "m", Prompt: "some poison"})
	if err == nil || last.Done {
		t.Fatalf("stream ended with %+v, %v", last, err)
	}
	if s.Instance() == before {
		t.Fatal("instance did not change")
	}
	time.Sleep(opts.DownTime)
	text, _, _, _ := readStream(t, s, enginewire.GenerateRequest{RequestID: "r", Model: "m", Prompt: "fine"})
	if text != Answer("fine", 0) {
		t.Fatalf("after the crash: %q", text)
	}
}

// Guards against an engine that applies orders of a former lease holder although
// ChecksFencing is set, or that accepts requests during a change.
func TestOrdersAndFencing(t *testing.T) {
	opts := fastOptions
	opts.ChecksFencing = true
	s := startServer(t, opts)
	if r := sendOrder(t, s, enginewire.Order{ID: "1", Fence: 7, Kind: enginewire.OrderRole, Role: endpoint.RolePrefill}); r.Code != "" {
		t.Fatalf("refused: %+v", r)
	}
	_, _, _, err := readStream(t, s, enginewire.GenerateRequest{RequestID: "r", Model: "m", Prompt: "p"})
	if err != nil || s.Journal()[1].Refused != enginewire.CodeChanging {
		t.Fatalf("journal %+v, %v", s.Journal(), err)
	}
	if r := sendOrder(t, s, enginewire.Order{ID: "2", Fence: 6, Kind: enginewire.OrderDrain}); r.Code != enginewire.CodeStaleFence || r.Fence != 7 {
		t.Fatalf("stale order: %+v", r)
	}
	time.Sleep(opts.RoleChangeTime)
	if role := s.Load().Role; role != endpoint.RolePrefill {
		t.Fatalf("role %s", role)
	}
}

// Guards against a prefix cache that never hits, never evicts or publishes
// no events.
func TestPrefixCache(t *testing.T) {
	opts := fastOptions
	opts.KVTokens = 3 * prefix.ChunkTokens
	opts.DropCacheEventEvery = 2
	s := startServer(t, opts)
	generate := func(first string) enginewire.Event {
		prompt := strings.Repeat(first, prefix.ChunkBytes) + "end"
		_, last, _, err := readStream(t, s, enginewire.GenerateRequest{RequestID: "r", Model: "m", Prompt: prompt, MaxTokens: 1})
		if err != nil {
			t.Fatal(err)
		}
		return last
	}
	if cold, warm := generate("a").CachedTokens, generate("a").CachedTokens; cold != 0 || warm != prefix.ChunkTokens {
		t.Fatalf("cached tokens %d cold, %d warm", cold, warm)
	}
	for _, other := range []string{"b", "c", "d"} {
		generate(other)
	}
	if again := generate("a").CachedTokens; again != 0 {
		t.Fatalf("%d cached tokens after eviction", again)
	}
	events, next := s.cache.eventsSince(0, time.Now())
	if len(events) == 0 || int64(len(events)) >= next {
		t.Fatalf("%d events published up to %d, want gaps", len(events), next)
	}
}

// Guards against a cancelled request that keeps its place in the batch.
func TestCancelFreesTheBatch(t *testing.T) {
	opts := fastOptions
	opts.StreamRate = 1
	s := startServer(t, opts)
	response, err := post(t, s, enginewire.PathGenerate, enginewire.GenerateRequest{RequestID: "r", Model: "m", Prompt: "p"})
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if _, err := post(t, s, enginewire.PathCancel, enginewire.CancelRequest{RequestID: "r"}); err != nil {
		t.Fatal(err)
	}
	if load := s.Load(); load.Running+load.Waiting != 0 {
		t.Fatalf("load after cancel: %+v", load)
	}
}

// Guards against a lower priority that is admitted before a higher one.
func TestPriorityRunsFirst(t *testing.T) {
	opts := fastOptions
	opts.MaxBatch = 1
	s := New(opts)
	for i, priority := range []int{0, 5} {
		j := newJob(enginewire.GenerateRequest{Model: "m", Prompt: "p", Priority: priority, MaxTokens: i + 1})
		if code := s.accept(j, Entry{}); code != "" {
			t.Fatal(code)
		}
		s.workers.Done()
	}
	s.admit()
	if s.running[0].request.Priority != 5 {
		t.Fatal("the lower priority was admitted first")
	}
}
