package cli

import (
	"context"
	"encoding/json"
	"io"
	"io/fs"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/clementineshed/clementineshed/pkg/dev"
	"github.com/clementineshed/clementineshed/pkg/logging"
	"github.com/clementineshed/clementineshed/pkg/settings"
)

// pages are the documents whose commands are run.
var pages = []string{"README.md", "docs/operate.md"}

// startDev runs a development deployment, sets its environment variables and
// makes the root of the repository the working directory.
func startDev(t *testing.T) *dev.Cluster {
	t.Helper()
	t.Chdir(filepath.Join("..", ".."))
	cluster, err := dev.Start(t.Context(), dev.Options{Log: logging.Discard(), Clock: clockwork.NewRealClock(), Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	for _, variable := range cluster.Environment() {
		name, value, _ := strings.Cut(variable, "=")
		t.Setenv(name, value)
	}
	return cluster
}

// run executes one command line.
func run(t *testing.T, args ...string) (code int, out, errOut string) {
	t.Helper()
	var stdout, stderr strings.Builder
	code = Run(t.Context(), append([]string{"clementineshed"}, args...), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// shellBlock is a fenced sh block; mode is the text after "sh" on its fence.
type shellBlock struct{ mode, text string }

func shellBlocks(page string) []shellBlock {
	var blocks []shellBlock
	fence := regexp.MustCompile("(?ms)^ *```sh *([^\n]*)\n(.*?)^ *```$")
	for _, m := range fence.FindAllStringSubmatch(page, -1) {
		blocks = append(blocks, shellBlock{mode: m[1], text: m[2]})
	}
	return blocks
}

// splitCommandLine splits a command line at spaces outside quotes and expands
// variables outside single quotes.
func splitCommandLine(line string) []string {
	var list []string
	for _, m := range regexp.MustCompile(`'([^']*)'|"([^"]*)"|(\S+)`).FindAllStringSubmatch(line, -1) {
		switch {
		case m[0][0] == '\'':
			list = append(list, m[1])
		case m[0][0] == '"':
			list = append(list, os.ExpandEnv(m[2]))
		default:
			list = append(list, os.ExpandEnv(m[3]))
		}
	}
	return list
}

var (
	exitCodeSuffix  = regexp.MustCompile(`\s+# exits (\d)$`)
	comparedVersion = regexp.MustCompile(`compared with version (-?\d+)`)
)

// runLine runs one documented line and checks its result.
func runLine(t *testing.T, line string, background bool) {
	t.Helper()
	want := 0
	if m := exitCodeSuffix.FindStringSubmatch(line); m != nil {
		want, _ = strconv.Atoi(m[1])
		line = strings.TrimSuffix(line, m[0])
	}
	args := splitCommandLine(line)
	if strings.HasPrefix(line, "go run ./cmd/clementineshed ") {
		args = args[2:]
	}
	switch {
	case args[0] == "curl":
		curl(t, line, args[1:])
	case background:
		serveUntilStarted(t, args[1:])
	default:
		code, out, errOut := run(t, args[1:]...)
		if code != want || out+errOut == "" {
			t.Errorf("%s: exit code %d, want %d\n%.500s\n%.500s", line, code, want, out, errOut)
		}
		if m := comparedVersion.FindStringSubmatch(out); m != nil {
			t.Setenv("VERSION", m[1])
		}
	}
}

// serveUntilStarted runs a command that serves, cancels its context once the
// host has started, as a signal would, and expects exit code 0.
func serveUntilStarted(t *testing.T, args []string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	r, w := io.Pipe()
	done := make(chan int, 1)
	go func() {
		done <- Run(ctx, append([]string{"clementineshed"}, args...), io.Discard, w)
		_ = w.Close()
	}()
	started := false
	buffer := make([]byte, 64<<10)
	for {
		n, err := r.Read(buffer)
		if err != nil {
			break
		}
		if strings.Contains(string(buffer[:n]), "host started") {
			started = true
			cancel()
		}
	}
	if code := <-done; code != ExitOK || !started {
		t.Errorf("%v: exit code %d, started %v", args, code, started)
	}
}

// curl sends what the documented curl line sends and expects status 200.
func curl(t *testing.T, line string, args []string) {
	t.Helper()
	method, url, body := http.MethodGet, "", ""
	header := http.Header{}
	for i := 0; i < len(args); i++ {
		switch args[i] {
		case "-sS", "-N":
		case "-H":
			i++
			name, value, _ := strings.Cut(args[i], ": ")
			header.Set(name, value)
		case "-d":
			i++
			method, body = http.MethodPost, args[i]
		default:
			if url != "" || strings.HasPrefix(args[i], "-") {
				t.Fatalf("%s: curl argument %q is not supported by this test", line, args[i])
			}
			url = args[i]
		}
	}
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	request.Header = header
	response, err := (&http.Client{Timeout: 10 * time.Second}).Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil || response.StatusCode != http.StatusOK || len(data) == 0 {
		t.Errorf("%s: status %d, %v: %.300s", line, response.StatusCode, err, data)
	}
}

// TestDocumentedCommands guards against pages whose commands do not work.
func TestDocumentedCommands(t *testing.T) {
	startDev(t)
	t.Setenv("PAGE", filepath.Join(t.TempDir(), "burn.html"))
	// The declarations to apply differ from those in force in one team.
	declarationsFile := os.Getenv("CLEMENTINESHED_DECLARATIONS")
	data, err := os.ReadFile(declarationsFile)
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.Replace(string(data), `"mill-river-toffee"`, `"mill-river-toffee", "cache_group": "river"`, 1)
	if err := os.WriteFile(declarationsFile, []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, name := range pages {
		page, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		for _, b := range shellBlocks(string(page)) {
			for _, line := range strings.Split(strings.TrimSpace(b.text), "\n") {
				line = strings.TrimSpace(line)
				switch b.mode {
				case "test", "test background":
					runLine(t, line, b.mode != "test")
				case "by-hand":
					t.Logf("%s: not run: %s", name, line)
				default:
					t.Errorf("%s: shell block with an unknown mode: %s", name, line)
				}
			}
		}
	}
}

// TestSettingsTable guards against a page whose settings or defaults differ from
// those of the program.
func TestSettingsTable(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "operate.md"))
	if err != nil {
		t.Fatal(err)
	}
	var want strings.Builder
	if err := settings.WriteTable(&want); err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(page), "settings.WriteTable -->\n")
	table, _, _ := strings.Cut(rest, "<!-- end of settings table -->")
	if table != want.String() {
		t.Errorf("docs/operate.md has\n%s\nwant\n%s", table, want.String())
	}
}

// TestDocumentedSigns guards against a page that tells operators to look for
// metrics, refusal codes or log lines that do not exist.
func TestDocumentedSigns(t *testing.T) {
	startDev(t)
	page, err := os.ReadFile("docs/operate.md")
	if err != nil {
		t.Fatal(err)
	}
	source := packageSource(t)
	response, err := http.Get("http://" + os.Getenv("CLEMENTINESHED_OPERATORS") + "/debug/vars")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	vars := map[string]json.RawMessage{}
	if err := json.NewDecoder(response.Body).Decode(&vars); err != nil {
		t.Fatal(err)
	}
	found := 0
	for _, m := range regexp.MustCompile("(?m)^- (Metrics|Log lines): (.*)$").FindAllStringSubmatch(string(page), -1) {
		for _, reference := range regexp.MustCompile("`([^`]+)`").FindAllStringSubmatch(m[2], -1) {
			found++
			name, member, _ := strings.Cut(reference[1], ".")
			if m[1] == "Log lines" {
				name, member = "", reference[1]
			} else if vars[name] == nil {
				t.Errorf("no metric %s", name)
			}
			if member != "" && !strings.Contains(source, strconv.Quote(member)) {
				t.Errorf("%q does not occur in the source", member)
			}
		}
	}
	if found < 20 {
		t.Errorf("found only %d metrics and log lines on the page, want at least 20", found)
	}
}

// packageSource returns the source below pkg without tests.
func packageSource(t *testing.T) string {
	t.Helper()
	var all strings.Builder
	err := filepath.WalkDir("pkg", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		all.Write(data)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return all.String()
}
