package crowd

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
)

const (
	// ordinaryTimeout is the time after which a request counts as unanswered.
	ordinaryTimeout = 20 * time.Second
	// maxRejections bounds the rejections that an ordinary client accepts,
	// closedPause is its pause after a closed connection, and maxRetryAfter its longest
	// one after a 503.
	maxRejections = 20
	closedPause   = 250 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)

// answer is the outcome of one request over a connection of its own.
type answer struct {
	status     int
	body       string
	retryAfter time.Duration
	// hasRetryAfter says that the answer has a valid Retry-After.
	hasRetryAfter bool
	err           error
}

func (t *target) send(c call) answer {
	req, err := http.NewRequest(c.method, "http://"+t.address+c.path, strings.NewReader(c.body))
	if err != nil {
		return answer{err: err}
	}
	req.Host = "shop.example"
	for _, headers := range []map[string]string{t.headers, c.headers, {t.idHeader: fmt.Sprintf("ordinary-%d", t.requests.Add(1))}} {
		for name, value := range headers {
			req.Header.Set(name, value)
		}
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: ordinaryTimeout}
	resp, err := client.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	a := answer{status: resp.StatusCode, body: string(body), err: err}
	if seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter, a.hasRetryAfter = time.Duration(seconds*float64(time.Second)), true
	}
	return a
}

// checkOrdinary fails the test unless an ordinary request is answered with success
// after a bounded number of closed connections and of 503 answers with Retry-After.
func checkOrdinary(t *testing.T, target *target, kind string, c call) {
	t.Helper()
	var waited time.Duration
	pause := func(d time.Duration) {
		waited += d
		time.Sleep(d)
	}
	for rejections := 0; ; rejections++ {
		a := target.send(c)
		var timeout interface{ Timeout() bool }
		switch {
		case a.err == nil && a.status == http.StatusOK && strings.Contains(a.body, c.answerPart):
			t.Logf("ordinary %s: answered after %d rejections and %v of pauses", kind, rejections, waited)
			return
		case errors.As(a.err, &timeout) && timeout.Timeout():
			t.Errorf("ordinary %s: unanswered after %d rejections: %v", kind, rejections, a.err)
			return
		case a.err == nil && (a.status != http.StatusServiceUnavailable || !a.hasRetryAfter):
			t.Errorf("ordinary %s: status %d, Retry-After %v, body %.200q after %d rejections", kind, a.status, a.hasRetryAfter, a.body, rejections)
			return
		case rejections >= maxRejections || !target.process.Running():
			t.Errorf("ordinary %s: not served after %d rejections and %v of pauses, the last one: status %d, %v", kind, rejections, waited, a.status, a.err)
			return
		case a.err == nil:
			pause(min(a.retryAfter, maxRetryAfter))
		default:
			pause(closedPause)
		}
	}
}
