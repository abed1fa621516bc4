package callerconn

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/membudget"
)

const (
	testReadBuffer = 64 << 10
	testBodyLimit  = 4 << 20
)

// budgetServer is a server whose connections are charged to a budget.
type budgetServer struct {
	t       *testing.T
	address string
	budget  *membudget.Budget
	tracker *Tracker
	served  atomic.Int64
	// answer is the body of each answer.
	answer []byte
	// mismatched counts the heads that were taken for those of other connections.
	heads, mismatched atomic.Int64
}

func startBudgetServer(t *testing.T, limit int64) *budgetServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &budgetServer{t: t, address: l.Addr().String(), budget: membudget.New(limit), tracker: NewTracker(longTimeouts), answer: []byte("ok")}
	s.tracker.UseBudget(s.budget, testReadBuffer)
	server := &fasthttp.Server{
		ReadBufferSize: testReadBuffer, ReduceMemoryUsage: true, ConnState: s.tracker.OnStateChange, Logger: discard{},
		HeaderReceived: func(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
			s.heads.Add(1)
			if c := connOf(h); c.RemoteAddr().String() != string(h.Peek("Sender")) {
				s.mismatched.Add(1)
			}
			return fasthttp.RequestConfig{MaxRequestBodySize: s.tracker.AdmitBody(h, testBodyLimit, 1)}
		},
		Handler: func(ctx *fasthttp.RequestCtx) {
			if r := s.tracker.BeginServe(ctx); r != nil {
				ctx.SetStatusCode(r.Status)
				return
			}
			defer s.tracker.EndServe(ctx)
			s.served.Add(1)
			ctx.Response.SetBodyRaw(s.answer)
		},
		ErrorHandler: func(ctx *fasthttp.RequestCtx, err error) {
			r := s.tracker.ReadRefusal(ctx, err)
			ctx.SetStatusCode(r.Status)
			if r.RetryAfter > 0 {
				ctx.Response.Header.Set("Retry-After", fmt.Sprint(r.RetryAfter.Seconds()))
			}
		},
	}
	done := make(chan error, 1)
	go func() { done <- server.Serve(s.tracker.Listener(l)) }()
	t.Cleanup(func() {
		s.tracker.Close(l)
		<-done
	})
	return s
}

type discard struct{}

// Printf implements fasthttp.Logger.
func (discard) Printf(string, ...any) {}

// dial returns a connection and the field that names it.
func (s *budgetServer) dial() (net.Conn, string) {
	s.t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(answerTimeout))
	return c, "Sender: " + c.LocalAddr().String() + "\r\n"
}

// post sends a request with a body of the size and returns the answer.
func (s *budgetServer) post(size int) *http.Response {
	s.t.Helper()
	c, sender := s.dial()
	if _, err := io.WriteString(c, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n", sender, size)); err != nil {
		s.t.Fatal(err)
	}
	if _, err := c.Write(make([]byte, size)); err != nil {
		s.t.Fatalf("the body is not taken from the connection: %v", err)
	}
	return s.read(c)
}

func (s *budgetServer) read(c net.Conn) *http.Response {
	s.t.Helper()
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		s.t.Fatal(err)
	}
	return answer
}

// awaitHeld waits until the connections are charged between low and high bytes.
func (s *budgetServer) awaitHeld(low, high int64) {
	s.t.Helper()
	var held int64
	for until := time.Now().Add(answerTimeout); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if held = s.budget.Stats().Held; held >= low && held <= high {
			return
		}
	}
	s.t.Errorf("%d bytes are charged, want %d to %d", held, low, high)
}

// TestHeadOfConnection guards against a version of the server that passes heads to
// HeaderReceived which are not part of the context of their connection: connOf would
// read foreign memory, and requests would be charged to other connections.
func TestHeadOfConnection(t *testing.T) {
	s := startBudgetServer(t, 64<<20)
	for range 4 {
		t.Run("connection", func(t *testing.T) {
			t.Parallel()
			c, sender := s.dial()
			r := bufio.NewReader(c)
			for range 50 {
				if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\n"+sender+"Content-Length: 2\r\n\r\nab"); err != nil {
					t.Fatal(err)
				}
				answer, err := http.ReadResponse(r, nil)
				if err != nil {
					t.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, answer.Body)
			}
		})
	}
	t.Cleanup(func() {
		if s.heads.Load() != 200 || s.mismatched.Load() > 0 {
			t.Errorf("%d of %d heads are of other connections", s.mismatched.Load(), s.heads.Load())
		}
	})
}

// TestBodyOverTheBudgetIsRefused guards against a body that is read although there is no
// memory for it, and against a caller that loses the refusal, because its connection is
// reset while it sends.
func TestBodyOverTheBudgetIsRefused(t *testing.T) {
	s := startBudgetServer(t, 8<<20)
	s.budget.Force(8<<20, time.Now())
	answer := s.post(4 << 20)
	if answer.StatusCode != 503 || answer.Header.Get("Retry-After") == "" || !answer.Close || s.served.Load() != 0 {
		t.Errorf("got %d %v, served %d", answer.StatusCode, answer.Header, s.served.Load())
	}
	if answer := s.post(100); answer.StatusCode != 200 {
		t.Errorf("a small request beside it: %d", answer.StatusCode)
	}
	s.awaitHeld(8<<20, 8<<20)
	if got := s.budget.Stats().Refused; got != 1 {
		t.Errorf("%d refusals counted", got)
	}
}

// TestChunksOverTheBudgetAreRefused guards against chunked bodies whose buffers are
// allocated without memory for them, against 413 for a body within the limit, and against
// the refusal of small ones.
func TestChunksOverTheBudgetAreRefused(t *testing.T) {
	s := startBudgetServer(t, 8<<20)
	s.budget.Force(8<<20, time.Now())
	for size, want := range map[int]int{17 << 10: 200, 1 << 20: 503, testBodyLimit + 1: 503} {
		c, sender := s.dial()
		request := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", sender, size, strings.Repeat("x", size))
		if _, err := io.WriteString(c, request); err != nil {
			t.Fatal(err)
		}
		if answer := s.read(c); answer.StatusCode != want || (want == 503) != (answer.Header.Get("Retry-After") != "") {
			t.Errorf("%d bytes: got %d %v, want %d", size, answer.StatusCode, answer.Header, want)
		}
	}
	s.awaitHeld(8<<20, 8<<20)
	if stats := s.budget.Stats(); stats.Peak > stats.Limit*5/4 {
		t.Errorf("%d bytes were charged", stats.Peak)
	}
}

// TestBodyWaitsForMemory guards against the refusal of a request for which there is
// memory a moment later.
func TestBodyWaitsForMemory(t *testing.T) {
	s := startBudgetServer(t, 8<<20)
	s.budget.Force(8<<20, time.Now())
	time.AfterFunc(admitWait/3, func() { s.budget.Release(8<<20, time.Now()) })
	if answer := s.post(4 << 20); answer.StatusCode != 200 {
		t.Errorf("got %d", answer.StatusCode)
	}
	s.awaitHeld(0, 0)
}

// TestBodyOverTheLimit guards against a body over the limit that is read into memory or
// answered with another status than 413, and against a caller that loses the answer.
func TestBodyOverTheLimit(t *testing.T) {
	s := startBudgetServer(t, 32<<20)
	if answer := s.post(testBodyLimit + 1); answer.StatusCode != 413 || !answer.Close {
		t.Errorf("declared: got %d", answer.StatusCode)
	}
	c, sender := s.dial()
	_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\n"+sender+"Transfer-Encoding: chunked\r\n\r\n")
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 64<<10, strings.Repeat("x", 64<<10))
	for range testBodyLimit>>16 + 4 {
		if _, err := io.WriteString(c, chunk); err != nil {
			t.Fatal(err)
		}
	}
	if answer := s.read(c); answer.StatusCode != 413 || !answer.Close {
		t.Errorf("chunked: got %d", answer.StatusCode)
	}
	s.awaitHeld(0, 0)
	// The server's buffer is up to twice the limit, and has grown from one of its half.
	if peak := s.budget.Stats().Peak; peak > 3*testBodyLimit+2*testReadBuffer {
		t.Errorf("%d bytes were charged", peak)
	}
}

// stoppedBodies are requests whose bodies stop short of their end.
var stoppedBodies = map[string]string{
	"declared":        "Content-Length: 1048576\r\n\r\n" + strings.Repeat("x", 1<<19),
	"large chunks":    "Transfer-Encoding: chunked\r\n\r\n100000\r\n" + strings.Repeat("x", 1<<19),
	"only a size":     "Transfer-Encoding: chunked\r\n\r\n100000\r\n",
	"one-byte chunks": "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 1<<18),
}

// TestStoppedBodiesGiveWay guards against callers that stop short of the end of their
// bodies, hold the memory for as long as they like and keep others from being served.
func TestStoppedBodiesGiveWay(t *testing.T) {
	for name, request := range stoppedBodies {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startBudgetServer(t, 8<<20)
			var stopped []net.Conn
			for range 16 {
				c, sender := s.dial()
				go func() { _, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\n"+sender+request) }()
				stopped = append(stopped, c)
			}
			s.awaitHeld(5<<20, 10<<20)
			time.Sleep(membudget.EvictAge)
			status := 0
			for range 20 {
				if status = s.post(3 << 20).StatusCode; status == 200 {
					break
				}
				time.Sleep(100 * time.Millisecond)
			}
			stats := s.budget.Stats()
			if status != 200 || stats.EvictedReads == 0 || stats.Peak > stats.Limit*5/4 {
				t.Errorf("got %d beside stopped bodies; %+v", status, stats)
			}
			// Those that were given up learn that they have not run.
			refused := 0
			for _, c := range stopped {
				_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
				if answer, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil && answer.StatusCode == 503 {
					refused++
				}
				_ = c.Close()
			}
			if refused == 0 || s.served.Load() != 1 {
				t.Errorf("%d refused, %d served", refused, s.served.Load())
			}
			s.awaitHeld(0, 0)
		})
	}
}

// TestAnswerIsHeldUntilWritten guards against answers that are not counted while their
// callers read them slowly, and against charges that outlive the answer.
func TestAnswerIsHeldUntilWritten(t *testing.T) {
	s := startBudgetServer(t, 64<<20)
	s.answer = make([]byte, 16<<20)
	c, sender := s.dial()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n"+sender+"\r\n"); err != nil {
		t.Fatal(err)
	}
	s.awaitHeld(16<<20, 17<<20)
	answer := s.read(c)
	if n, err := io.Copy(io.Discard, answer.Body); n != 16<<20 || err != nil {
		t.Errorf("%d bytes, %v", n, err)
	}
	s.awaitHeld(0, 0)
}

// TestUnreadAnswerGivesWay guards against callers that do not read their answers and
// keep others from being served.
func TestUnreadAnswerGivesWay(t *testing.T) {
	s := startBudgetServer(t, 12<<20)
	s.answer = make([]byte, 12<<20)
	unread, sender := s.dial()
	if _, err := io.WriteString(unread, "GET / HTTP/1.1\r\nHost: h\r\n"+sender+"\r\n"); err != nil {
		t.Fatal(err)
	}
	s.awaitHeld(12<<20, 13<<20)
	if status := s.post(4 << 20).StatusCode; status != 503 {
		t.Errorf("got %d while the answer is fresh", status)
	}
	time.Sleep(membudget.StalledWriteAge)
	answer := s.post(4 << 20)
	if body, err := io.ReadAll(answer.Body); answer.StatusCode != 200 || err != nil || !bytes.Equal(body, s.answer) {
		t.Errorf("got %d, %v", answer.StatusCode, err)
	}
	if got := s.budget.Stats().EvictedWrites; got != 1 {
		t.Errorf("%d answers evicted", got)
	}
}

// TestClosedConnectionsHoldNothing guards against memory that is lost to the budget when
// callers disconnect in the middle of a request.
func TestClosedConnectionsHoldNothing(t *testing.T) {
	s := startBudgetServer(t, 64<<20)
	for name, request := range stoppedBodies {
		for _, part := range []string{"P", "POST / HTTP/1.1\r\nHost: h\r\n", "POST / HTTP/1.1\r\nHost: h\r\n" + request} {
			c, _ := s.dial()
			if _, err := io.WriteString(c, part); err != nil {
				t.Fatalf("%s: %v", name, err)
			}
			time.Sleep(20 * time.Millisecond)
			_ = c.Close()
		}
	}
	s.awaitHeld(0, 0)
}
