package gate

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// postBroken sends a request whose answer must be cut, so that its framing shows that it
// is incomplete, and returns what arrived of the body.
func (tg *testGate) postBroken(t *testing.T, path, key, body string) string {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+tg.address+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	received, err := io.ReadAll(resp.Body)
	if err == nil {
		t.Errorf("the broken answer is framed as whole: %s", received)
	}
	return string(received)
}
