package cli

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/configstore"
)

// TestExitCodes guards against exit codes by which a script takes an invalid
// document, a difference or an unreadable file for success.
func TestExitCodes(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.json")
	if err := os.WriteFile(bad, []byte(`{"teams":[{"name":"a","x":1},{"name":"a"}]}`), 0o600); err != nil {
		t.Fatal(err)
	}
	granite, odalaigh := filepath.Join("..", "..", "examples", "granite"), filepath.Join("..", "..", "examples", "odalaigh")
	for _, c := range []struct {
		args        []string
		code        int
		out, errOut string
	}{
		{[]string{"check", granite}, ExitOK, "valid", ""},
		{[]string{"check", bad}, ExitInvalid, "", `teams[1].name: found duplicate name "a"`},
		{[]string{"check", "--output", "json", bad}, ExitInvalid, `"path": "teams[0].x"`, ""},
		{[]string{"check", "--settings", bad}, ExitInvalid, "", "teams: found unknown field"},
		{[]string{"check", bad + "x"}, ExitInvalid, "", "no such file"},
		{[]string{"check"}, ExitInvalid, "", "name one file or directory"},
		{[]string{"check", "--output", "xml", granite}, ExitInvalid, "", `"xml" is neither`},
		{[]string{"check", "--colour", granite}, ExitInvalid, "", "colour"},
		{[]string{"diff", granite, granite}, ExitOK, "no changes", ""},
		{[]string{"diff", granite, odalaigh}, ExitFailed, "removed models/tasting-llm", ""},
		{[]string{"diff", "--output", "json", granite, odalaigh}, ExitFailed, `"change": "removed"`, ""},
		{[]string{"diff", granite}, ExitInvalid, "", "--log-service"},
		{[]string{"diff", granite, bad}, ExitInvalid, "", "unknown field"},
		{[]string{"serve-everything"}, ExitInvalid, "", ""},
		{[]string{"bench", "slopes", "--quick", "--only", "prefix-index,burn-pairs"}, ExitOK, "heap of the counters", "burn-pairs: "},
		{[]string{"bench", "slopes", "--only", "prefix"}, ExitInvalid, "", "unknown slope"},
	} {
		var out, errOut strings.Builder
		code := Run(t.Context(), append([]string{"clementineshed"}, c.args...), &out, &errOut)
		if code != c.code || !strings.Contains(out.String(), c.out) || !strings.Contains(errOut.String(), c.errOut) {
			t.Errorf("%v: code %d, want %d\nout: %.300s\nerr: %.300s", c.args, code, c.code, out.String(), errOut.String())
		}
		if len(c.args) > 2 && c.args[2] == "json" && !json.Valid([]byte(out.String())) {
			t.Errorf("%v: not JSON: %s", c.args, out.String())
		}
	}
}

// TestKeysStop guards against a printed time after which a partitioned host still
// accepts keys: within the last second, or from a team with offline keys.
func TestKeysStop(t *testing.T) {
	at := time.Date(2026, 1, 2, 3, 4, 5, 1, time.UTC)
	host := configstore.PendingHost{KeysStopBy: at}
	if got := keyCutoffText(host); !strings.Contains(got, "no key after 2026-01-02T03:04:06Z, except for teams with offline_keys") {
		t.Error(got)
	}
	host.OfflineStopBy = at.Add(time.Hour)
	if got := keyCutoffText(host); !strings.Contains(got, "none of a team with offline_keys \"serve\" after 2026-01-02T04:04:06Z") {
		t.Error(got)
	}
}
