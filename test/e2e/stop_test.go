package e2e

import (
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/entryhost"
	"github.com/clementineshed/clementineshed/pkg/logservice"
	"github.com/clementineshed/clementineshed/pkg/settings"
)

// fetch returns the status and body of a GET, or status 0 without a response.
func fetch(address, path string) (int, string) {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callerTimeout}
	resp, err := client.Get("http://" + address + path)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body)
}

// Guards against a graceful shutdown that cuts a stream or an order, that closes
// the listener before the load balancer has seen /readyz fail, or that does not
// end.
func TestGracefulStop(t *testing.T) {
	t.Parallel()
	d := Start(t, Options{EditSettings: func(s *settings.Settings) { s.Limits.BalancerDelay = settings.Duration(time.Second) }})
	h := d.Hosts[0]
	var streams []*Stream
	for i := range 3 {
		s := h.Chat(d.Key, LongPrompt(fmt.Sprint("running ", i)), 300)
		Eventually(t, callerTimeout, "the stream runs", func() bool { return s.Tokens() > 0 })
		streams = append(streams, s)
	}
	for _, desk := range d.OrderServices {
		d.SetFaults(desk, map[string]any{"slow_ms": 2000})
	}
	order := make(chan Answer, 1)
	go func() { order <- h.Order(d.Key, "at the stop", "{}") }()
	Eventually(t, callerTimeout, "the order runs", func() bool { s, _ := h.Status(); return s.InFlight == 4 })

	h.Terminate()
	Eventually(t, callerTimeout, "/readyz fails", func() bool { code, _ := fetch(h.OperatorAddress, entryhost.PathReady); return code == 503 })
	late := h.Chat(d.Key, "sent before the balancer knew", 5)
	if !late.WaitCorrect(callerTimeout) {
		t.Errorf("a request within the load balancer's delay was not served: %+v", late.answer)
	}
	if streams[0].Tokens() >= 250 {
		t.Log("the streams were nearly complete when the shutdown began")
	}
	for i, s := range streams {
		if !s.WaitCorrect(callerTimeout) {
			t.Errorf("stream %d was cut", i)
		}
	}
	if a := <-order; !a.OK() {
		t.Errorf("the order was cut: %+v", a)
	}
	if code, ended := h.WaitExit(callerTimeout); !ended || code != 0 || !strings.Contains(h.Output(), "all requests have ended") {
		t.Errorf("ended %v with exit code %d", ended, code)
	}
	if a := h.Order(d.Key, "after the stop", "{}"); a.Code != "not_connected" {
		t.Errorf("after the stop: %+v", a)
	}
}

// Guards against a second signal that does not end the process or does not log
// the requests that it cuts. It also shows that TestGracefulStop would detect a
// cut stream.
func TestSecondSignal(t *testing.T) {
	t.Parallel()
	d := Start(t, Options{EngineFlags: slowAnswers})
	h := d.Hosts[0]
	streams := startStreams(t, []*Host{h, h}, d.Key, "cut")
	h.Terminate()
	Eventually(t, callerTimeout, "/readyz fails", func() bool { code, _ := fetch(h.OperatorAddress, entryhost.PathReady); return code == 503 })
	h.Terminate()
	if _, ended := h.WaitExit(callerTimeout); !ended {
		t.Fatal("the host still runs after the second signal")
	}
	for _, s := range streams {
		if s.WaitCorrect(callerTimeout) {
			t.Error("the stream was not cut, or WaitCorrect did not detect it")
		}
		a, _ := s.Wait(callerTimeout)
		if line := findLine(h.Output(), "request cut by the second signal", a.RequestID); a.RequestID == "" || line == "" {
			t.Errorf("the log does not name the cut request: %+v", a)
		}
	}
}

// findLine returns the first line that contains all parts, or "".
func findLine(text string, parts ...string) string {
	for _, line := range strings.Split(text, "\n") {
		found := true
		for _, part := range parts {
			found = found && strings.Contains(line, part)
		}
		if found {
			return line
		}
	}
	return ""
}

// observableTexts returns everything that the processes expose to others than
// the caller: process output, journals, log streams and the pages at the hosts'
// operator addresses.
func (d *Deployment) observableTexts() map[string]string {
	texts := d.Outputs()
	for _, s := range append(append([]*StandIn{d.Platform}, d.Engines...), d.OrderServices...) {
		_, texts["journal of "+s.Name] = fetch(s.Address, "/control/journal")
	}
	for _, stream := range []string{logservice.StreamConfig, logservice.StreamLease, logservice.StreamAttempts, logservice.StreamUsage, logservice.StreamQuarantine} {
		texts["stream "+stream] = d.logRecords(stream)
	}
	for _, h := range d.Hosts {
		for _, path := range []string{entryhost.PathVars, entryhost.PathStatus, entryhost.PathBurn, entryhost.PathReady} {
			code, body := fetch(h.OperatorAddress, path)
			if code != http.StatusOK {
				d.t.Errorf("%s%s: status %d", h.Name, path, code)
			}
			texts[h.Name+path] = body
		}
	}
	return texts
}

// textsWith returns the names of the texts that contain secret in plain, hex or
// base64 form.
func textsWith(texts map[string]string, secret string) []string {
	forms := []string{secret, hex.EncodeToString([]byte(secret)), base64.RawStdEncoding.EncodeToString([]byte(secret)), base64.RawURLEncoding.EncodeToString([]byte(secret))}
	var found []string
	for name, text := range texts {
		for _, form := range forms {
			if strings.Contains(text, form) {
				found = append(found, name)
				break
			}
		}
	}
	return found
}

// Guards against a caller's key that leaks to an endpoint, a log, a metric, a
// peer or the log service, from requests that are served, refused or broken off.
func TestKeyStaysWithTheEntryHost(t *testing.T) {
	t.Parallel()
	d := Start(t, Options{RecordPeerMessages: true})
	unknown, _ := NewKey("unknown")
	d.SetFaults(d.OrderServices[0], map[string]any{"crash_after": 1})
	for i, h := range d.Hosts {
		for _, key := range []string{d.Key, unknown} {
			_, _ = h.Chat(key, "served or refused", 5).Wait(callerTimeout)
			for n := range 4 {
				h.Order(key, fmt.Sprint("key-", i, n%3), fmt.Sprint(n))
			}
		}
	}
	d.SetFaults(d.Engines[0], map[string]any{"outage": "reset"})
	_, _ = d.Hosts[0].Chat(d.Key, "an engine fails", 5).Wait(callerTimeout)
	d.SetFaults(d.Engines[0], map[string]any{})
	d.SetFaults(d.Log, map[string]any{"outage": "reset"})
	_ = d.Hosts[0].Order(d.Key, "the log fails", "{}")
	d.SetFaults(d.Log, map[string]any{})
	Eventually(t, callerTimeout, "a peer message names the team", func() bool { return strings.Contains(d.PeerMessages(), Team) })
	d.MustRun("keys", "withdraw", "--sha256", d.KeyHash)
	if a := probe(d.Hosts[0], d.Key); a.OK() {
		t.Errorf("withdrawn: %+v", a)
	}
	texts := d.observableTexts()
	texts["peer messages"] = d.PeerMessages()
	for _, h := range d.Hosts {
		for _, line := range strings.Split(strings.TrimSpace(h.Output()), "\n") {
			if !strings.HasPrefix(line, "timestamp=") || !strings.Contains(line, "host="+h.Name) {
				t.Errorf("a log line has another format: %s", line)
			}
		}
	}
	for _, key := range []string{d.Key, unknown} {
		if found := textsWith(texts, key); len(found) > 0 {
			t.Errorf("a key is visible in %v", found)
		}
	}
	// Check that the search finds known text: the key's hash in the
	// configuration, and a key that is sent to an endpoint in plain text.
	if found := textsWith(texts, d.KeyHash); len(found) == 0 || !strings.Contains(fmt.Sprint(found), "stream config") {
		t.Errorf("the hash was found in %v", found)
	}
	sendDirect(t, d.OrderServices[1], unknown, "r1")
	if found := textsWith(d.observableTexts(), unknown); fmt.Sprint(found) != "[journal of "+d.OrderServices[1].Name+"]" {
		t.Errorf("a key that was sent to an endpoint was found in %v", found)
	}
}
