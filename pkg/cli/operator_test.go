package cli

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/clementineshed/clementineshed/pkg/burn"
)

// TestHelp guards against a command without help, and against --help that fails
// because a required flag or argument is missing.
func TestHelp(t *testing.T) {
	var visit func(path []string, command *cli.Command)
	visit = func(path []string, command *cli.Command) {
		code, out, _ := run(t, append(path, "--help")...)
		if code != ExitOK || !strings.Contains(out, command.Usage) {
			t.Errorf("%v --help: exit code %d: %s", path, code, out)
		}
		for _, sub := range command.Commands {
			visit(append(append([]string{}, path...), sub.Name), sub)
		}
	}
	visit(nil, root(io.Discard, io.Discard))
}

// TestCompletion guards against a release without completion scripts.
func TestCompletion(t *testing.T) {
	for _, shell := range []string{"bash", "zsh"} {
		if code, out, errOut := run(t, "completion", shell); code != ExitOK || !strings.Contains(out, "clementineshed") {
			t.Errorf("%s: exit code %d: %s %s", shell, code, out, errOut)
		}
	}
}

// TestInvalidCommandLines guards against a mistyped command that exits with
// ExitFailed, which scripts take for a negative result.
func TestInvalidCommandLines(t *testing.T) {
	for _, line := range []string{
		"apply examples", "apply --base x examples", "keys grant --team a", "keys withdraw", "keys shred", "status",
		"serve", "dev --for 1s", "dev --load 5", "dev --log-level loud", "status --output yaml", "burn --wait long",
	} {
		if code, out, errOut := run(t, strings.Fields(line)...); code != ExitInvalid || errOut == "" {
			t.Errorf("%s: exit code %d\n%s\n%s", line, code, out, errOut)
		}
	}
}

// expect runs a command line and checks its exit code, and with --output json
// that the output is JSON.
func expect(t *testing.T, want int, args ...string) (out, errOut string) {
	t.Helper()
	code, out, errOut := run(t, args...)
	if code != want {
		t.Errorf("%v: exit code %d, want %d\n%s\n%s", args, code, want, out, errOut)
	}
	if strings.Contains(strings.Join(args, " "), "--output json") && !json.Valid([]byte(out)) {
		t.Errorf("%v: not JSON: %s", args, out)
	}
	return out, errOut
}

// versionInForce returns the version of the configuration in force.
func versionInForce(t *testing.T, declarations string) string {
	t.Helper()
	_, out, _ := run(t, "diff", declarations)
	match := comparedVersion.FindStringSubmatch(out)
	if match == nil {
		t.Fatalf("diff prints no version: %s", out)
	}
	return match[1]
}

func writeDeclarations(t *testing.T, name, text string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), name)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// TestApply guards against an apply that overwrites another operator's change,
// and against invalid declarations that are applied in part.
func TestApply(t *testing.T) {
	startDev(t)
	first := os.Getenv("CLEMENTINESHED_DECLARATIONS")
	data, err := os.ReadFile(first)
	if err != nil {
		t.Fatal(err)
	}
	base := versionInForce(t, first)
	second := writeDeclarations(t, "second.json", strings.Replace(string(data), `"share": 0.95`, `"share": 0.9`, 1))
	invalid := writeDeclarations(t, "invalid.json", strings.Replace(string(data), `"share": 0.95`, `"share": 95`, 1))
	fewer := writeDeclarations(t, "fewer.json", regexp.MustCompile(`(?s)"keys": \[.*?\],`).ReplaceAllString(string(data), ""))

	expect(t, ExitInvalid, "apply", "--base", base, invalid)
	if _, errOut := expect(t, ExitInvalid, "apply", "--base", base, fewer); !strings.Contains(errOut, "--withdraw-keys") {
		t.Errorf("apply without the declared keys: %s", errOut)
	}
	if now := versionInForce(t, first); now != base {
		t.Errorf("version %s is in force after invalid changes, want %s", now, base)
	}
	expect(t, ExitFailed, "diff", "--output", "json", second)
	expect(t, ExitOK, "apply", "--output", "json", "--base", base, second)
	if _, errOut := expect(t, ExitFailed, "apply", "--base", base, first); !strings.Contains(errOut, "conflict") {
		t.Errorf("apply with a stale --base: %s", errOut)
	}
	expect(t, ExitOK, "diff", second)
	expect(t, ExitOK, "apply", "--base", versionInForce(t, second), second)
	expect(t, ExitOK, "apply", "--output", "json", "--base", versionInForce(t, second), second)
}

// TestDevLoad guards against a load report that scripts cannot read.
func TestDevLoad(t *testing.T) {
	expect(t, ExitOK, "dev", "--for", "500ms", "--load", "20", "--output", "json")
}

// getWithKey calls the order desk with a key and returns status and body.
func getWithKey(t *testing.T, key string) (int, string) {
	t.Helper()
	request, err := http.NewRequest(http.MethodGet, "http://"+os.Getenv("CLEMENTINESHED_CALLERS")+"/order-desk/stock/gourd", nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, string(body)
}

// TestKeys guards against a grant that reports success before the key works,
// and a withdrawal that reports success while the key still works.
func TestKeys(t *testing.T) {
	startDev(t)
	expect(t, ExitInvalid, "keys", "grant", "--team", "nobody", "--name", "n-1")
	out, errOut := expect(t, ExitOK, "keys", "grant", "--output", "json", "--team", "mill-river-toffee", "--name", "toffee-1")
	match := regexp.MustCompile(`key: (\S+)\ndeclare: (.*)`).FindStringSubmatch(errOut)
	if match == nil || strings.Contains(out, match[1]) {
		t.Fatalf("grant printed %s\n%s", out, errOut)
	}
	var declared struct{ SHA256 string }
	if err := json.Unmarshal([]byte(match[2]), &declared); err != nil || len(declared.SHA256) != 64 {
		t.Errorf("declaration %s: %v", match[2], err)
	}
	if status, body := getWithKey(t, match[1]); status != http.StatusOK {
		t.Errorf("granted key: status %d: %s", status, body)
	}
	expect(t, ExitInvalid, "keys", "withdraw", "--name", "toffee-2")
	expect(t, ExitInvalid, "keys", "withdraw", "--sha256", "abc")
	expect(t, ExitOK, "keys", "withdraw", "--output", "json", "--name", "toffee-1")
	if status, body := getWithKey(t, match[1]); status != http.StatusUnauthorized || !strings.Contains(body, "key_withdrawn") {
		t.Errorf("withdrawn key: status %d: %s", status, body)
	}
}

// TestStatusAndBurn guards against reports that scripts cannot read and HTML
// pages that load anything from other hosts.
func TestStatusAndBurn(t *testing.T) {
	cluster := startDev(t)
	if result := cluster.Load(t.Context(), 40, 500_000_000, 1); result.Complete != result.Sent {
		t.Errorf("load: %+v", result)
	}
	var hosts []hostStatus
	out, _ := expect(t, ExitOK, "status", "--output", "json")
	if err := json.Unmarshal([]byte(out), &hosts); err != nil || len(hosts) != 2 || hosts[0].Status == nil {
		t.Errorf("status: %v: %s", err, out)
	}
	if out, _ = expect(t, ExitOK, "status"); strings.Count(out, "ready true") != 2 {
		t.Errorf("status: %s", out)
	}
	var report burn.Report
	out, _ = expect(t, ExitOK, "burn", "--output", "json")
	if err := json.Unmarshal([]byte(out), &report); err != nil || len(report.Classes) != 2 {
		t.Errorf("burn: %v: %s", err, out)
	}
	file := filepath.Join(t.TempDir(), "burn.html")
	if out, _ = expect(t, ExitOK, "burn", "--html", file); !strings.Contains(out, "class interactive") {
		t.Errorf("burn: %s", out)
	}
	page, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(page), "interactive") || regexp.MustCompile(`(src|href)="?(https?:)?//`).Match(page) {
		t.Errorf("HTML page of %d bytes lacks the class or refers to other hosts", len(page))
	}
}

// TestNoPlatform guards against commands that hang or report success when
// neither the log nor the host list answers.
func TestNoPlatform(t *testing.T) {
	t.Setenv("CLEMENTINESHED_LOG_SERVICE", "127.0.0.1:1")
	t.Setenv("CLEMENTINESHED_HOST_LIST", "127.0.0.1:1")
	granite := filepath.Join("..", "..", "examples", "granite")
	for _, line := range []string{"status", "burn", "diff " + granite, "apply --base -1 " + granite, "keys grant --team a --name b", "keys withdraw --name a"} {
		if _, errOut := expect(t, ExitFailed, strings.Fields(line)...); !strings.Contains(errOut, "127.0.0.1:1") {
			t.Errorf("%s does not name the peer: %s", line, errOut)
		}
	}
}

// TestLogFile guards against a host that ignores the log file in its settings.
func TestLogFile(t *testing.T) {
	startDev(t)
	file := filepath.Join(t.TempDir(), "host.log")
	data, err := os.ReadFile(os.Getenv("CLEMENTINESHED_SETTINGS"))
	if err != nil {
		t.Fatal(err)
	}
	settingsFile := writeDeclarations(t, "settings.json", strings.Replace(string(data), `"file": ""`, `"file": "`+file+`"`, 1))
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	code := Run(ctx, []string{"clementineshed", "serve", "--settings", settingsFile}, io.Discard, io.Discard)
	lines, err := os.ReadFile(file)
	if code != ExitOK || err != nil || !strings.Contains(string(lines), "host stopped") {
		t.Errorf("exit code %d, %v, log file: %s", code, err, lines)
	}
}
