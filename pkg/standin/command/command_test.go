package command

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/freeport"
	"github.com/clementineshed/clementineshed/pkg/jsonhttp"
)

func writeSettings(t *testing.T, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// TestSettingsMistakes guards against mistakes in a settings file being ignored.
func TestSettingsMistakes(t *testing.T) {
	for _, c := range []struct{ command, settings, want string }{
		{"log", `{"retention": "5m", "colour": 1}`, "colour: unknown setting"},
		{"log", `{"retention": "soon"}`, "retention"},
		{"log", `{"retention": ["5m"]}`, "want a string, number or boolean"},
		{"engine", `{"role": "writer"}`, "not mixed, prefill or decode"},
		{"faultproxy", `{}`, "target is required"},
	} {
		args := []string{"standin", c.command, "--settings", writeSettings(t, c.settings)}
		err := New().Run(context.Background(), args)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s %s: %v", c.command, c.settings, err)
		}
	}
}

func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := freeport.Address()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// TestSubcommandsServeUntilDone guards against a subcommand that does not serve,
// or does not close when its context ends.
func TestSubcommandsServeUntilDone(t *testing.T) {
	address := freeAddress(t)
	for _, c := range []struct{ command, path string }{
		{"log", "/control/faults"},
		{"platform", "/v1/endpoints"},
		{"engine", "/v1/load"},
		{"orderservice", "/order-desk/stock/gourd"},
	} {
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		settings := writeSettings(t, `{"address": "127.0.0.1:1"}`)
		args := []string{"standin", c.command, "--settings", settings, "--address", address}
		go func() { done <- New().Run(ctx, args) }()
		client := jsonhttp.New(address, jsonhttp.Options{FreshConnections: true})
		err := client.Do(ctx, http.MethodGet, c.path, nil, nil)
		for deadline := time.Now().Add(time.Second); err != nil && time.Now().Before(deadline); {
			time.Sleep(5 * time.Millisecond)
			err = client.Do(ctx, http.MethodGet, c.path, nil, nil)
		}
		if err != nil {
			t.Errorf("%s: %v", c.command, err)
		}
		cancel()
		if err := <-done; err != nil {
			t.Errorf("%s: close: %v", c.command, err)
		}
	}
}
