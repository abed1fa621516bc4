package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/membudget"
)

// respondForever returns a serve function that answers a request with head and then
// repeats text until the connection is closed.
func respondForever(head, text string) func(net.Conn, *bufio.Reader) {
	return func(c net.Conn, r *bufio.Reader) {
		if !readRequest(r) {
			return
		}
		if _, err := io.WriteString(c, head); err != nil {
			return
		}
		block := strings.Repeat(text, 1+8192/len(text))
		for {
			if _, err := io.WriteString(c, block); err != nil {
				return
			}
		}
	}
}

// endlessAnswers are answers that never end, by the part that does not.
var endlessAnswers = map[string]func(net.Conn, *bufio.Reader){
	"status line":     respondForever("HTTP/1.1 200 ", "x"),
	"field":           respondForever("HTTP/1.1 200 OK\r\nX: ", "x"),
	"fields":          respondForever("HTTP/1.1 200 OK\r\n", "X: y\r\n"),
	"interim answers": respondForever("", "HTTP/1.1 103 Early Hints\r\n\r\n"),
	"no answer":       respondForever("", "nonsense "),
	"chunk size":      respondForever("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"),
	"chunk extension": respondForever("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", "x"),
	"chunks":          respondForever("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n"),
	"trailer line":    respondForever("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ", "x"),
	"trailer lines":   respondForever("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X: y\r\n"),
	"body to the end": respondForever("HTTP/1.1 200 OK\r\n\r\n", "x"),
}

// TestEndlessAnswersEnd guards against an answer that occupies a request until its
// deadline, and its bytes the memory: a peer in trouble may send without end.
func TestEndlessAnswersEnd(t *testing.T) {
	for name, serve := range endlessAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			_, _, err := newClient(t).Fetch(ctx, startPeer(t, serve), getRequest, 256<<10)
			if err == nil {
				t.Error("taken as an answer")
			}
			if ctx.Err() != nil {
				t.Error("not ended before the deadline")
			}
		})
	}
}

// TestEndlessAnswersShareABudget guards against a host that is killed for its memory
// while many peers send without end, and against other answers that fail with them.
func TestEndlessAnswersShareABudget(t *testing.T) {
	const budget, endless = 16 << 20, 200
	memory := membudget.New(budget)
	c := New(Options{DialTimeout: 5 * time.Second, IdleTimeout: time.Second, MaxIdle: 4, Memory: memory})
	defer c.Close()
	slow := startPeer(t, func(c net.Conn, r *bufio.Reader) {
		if !readRequest(r) {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n")
		for block := make([]byte, 64<<10); ; time.Sleep(10 * time.Millisecond) {
			if _, err := c.Write(block); err != nil {
				return
			}
		}
	})
	sound := startPeer(t, respondOnce("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	var before, during runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	// The endless answers wait for memory until they are cancelled. Until then their
	// peers fill the buffers of 200 sockets, which takes seconds on a busy machine.
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	var wg sync.WaitGroup
	var mu sync.Mutex
	over := 0
	for range endless {
		wg.Go(func() {
			_, _, err := c.Fetch(ctx, slow, getRequest, 8<<20)
			mu.Lock()
			defer mu.Unlock()
			if errors.Is(err, ErrOverBudget) {
				over++
			}
		})
	}
	peak := uint64(0)
	for range 40 {
		time.Sleep(25 * time.Millisecond)
		runtime.ReadMemStats(&during)
		peak = max(peak, during.HeapAlloc)
	}
	if _, body, err := c.Fetch(ctx, sound, getRequest, 100); err != nil || string(body) != "ok" {
		t.Errorf("a sound peer beside endless ones: %q, %v", body, err)
	}
	cancel()
	wg.Wait()
	// A body that grows is held twice for a moment, and garbage is collected once it
	// has doubled the heap.
	if limit := before.HeapAlloc + 4*budget; peak > limit || over == 0 {
		t.Errorf("heap of %d bytes, want at most %d; %d answers over the budget", peak, limit, over)
	}
	if held := memory.Stats().Held; held != 0 {
		t.Errorf("%d bytes are charged after all answers have ended", held)
	}
	t.Logf("peak heap %.1f MB, %d of %d answers over the budget", float64(peak)/1e6, over, endless)
}

// TestLargeAnswersOverTheBudget guards against the answer to a request that has run and
// is dropped, or never read, because others hold the memory.
func TestLargeAnswersOverTheBudget(t *testing.T) {
	memory := membudget.New(1 << 20)
	memory.Force(8<<20, time.Now())
	c := New(Options{DialTimeout: 5 * time.Second, IdleTimeout: time.Second, MaxIdle: 4, Memory: memory})
	defer c.Close()
	text := strings.Repeat("x", 1<<20)
	peer := startPeer(t, respondOnce("HTTP/1.1 200 OK\r\nContent-Length: 1048576\r\n\r\n"+text))
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			_, body, err := c.Fetch(context.Background(), peer, getRequest, 2<<20)
			if err != nil || string(body) != text {
				t.Errorf("%d bytes, %v", len(body), err)
			}
		})
	}
	wg.Wait()
	if held := memory.Stats().Held; held != 8<<20 {
		t.Errorf("%d bytes are charged after all answers have ended, want those of the others", held)
	}
}

// TestLargeBodyIsSent guards against a body that is lost, cut off or sent twice because
// it is not joined with its head.
func TestLargeBodyIsSent(t *testing.T) {
	for _, size := range []int{0, maxJoinedBody, maxJoinedBody + 1, 3 << 20} {
		bodies := make(chan []byte, 1)
		peer := startPeer(t, func(c net.Conn, r *bufio.Reader) {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			got, _ := io.ReadAll(req.Body)
			bodies <- got
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		})
		body := bytes.Repeat([]byte("0123456789abcdef"), size/16+1)[:size]
		_, _, err := newClient(t).Fetch(context.Background(), peer, &Request{Method: "POST", Target: "/", Host: "h", Body: body}, 100)
		if err != nil {
			t.Fatalf("%d bytes: %v", size, err)
		}
		if got := <-bodies; !bytes.Equal(got, body) {
			t.Errorf("%d bytes: %d arrived", size, len(got))
		}
	}
}

// TestLateCopyIsSkipped guards against a second copy of an answer that arrives on a
// connection in use again and is taken as the answer to the next request.
func TestLateCopyIsSkipped(t *testing.T) {
	address := startPeer(t, func(c net.Conn, r *bufio.Reader) {
		first := "HTTP/1.1 200 OK\r\nID: 1\r\nContent-Length: 5\r\n\r\nfirst"
		if !readRequest(r) {
			return
		}
		_, _ = io.WriteString(c, first)
		if !readRequest(r) {
			return
		}
		_, _ = io.WriteString(c, first+"HTTP/1.1 200 OK\r\nID: 2\r\nContent-Length: 6\r\n\r\nsecond")
		readRequest(r)
	})
	c := newClient(t)
	fetch := func(id string) (string, error) {
		request := &Request{Method: "GET", Target: "/", Host: "h", Belongs: func(a *Answer) bool { return a.Fields.Get("ID") == id }}
		_, body, err := c.Fetch(context.Background(), address, request, 100)
		return string(body), err
	}
	for id, want := range map[string]string{"1": "first"} {
		if body, err := fetch(id); err != nil || body != want {
			t.Fatalf("got %q, %v", body, err)
		}
	}
	if body, err := fetch("2"); err != nil || body != "second" {
		t.Errorf("after a late copy of the first answer: got %q, %v", body, err)
	}
	if c.Dials() != 1 {
		t.Errorf("%d connections; the copy did not come on a connection in use again", c.Dials())
	}
	if _, err := fetch("1"); err != nil || c.Dials() != 2 {
		t.Errorf("%d connections, want a new one after the copy; %v", c.Dials(), err)
	}
}
