package settings

import (
	"strings"
	"testing"
	"time"
)

const minimal = `{
 "host": {"name": "h1", "instance": "i-1", "domain": "nashua", "domains": ["nashua", "hartford"]},
 "listen": {"callers": "127.0.0.1:8080", "operators": "127.0.0.1:8081", "peers": "127.0.0.1:8080"},
 "platform": {"log_service": ["127.0.0.1:9000"], "endpoints": "127.0.0.1:9001", "usage": "127.0.0.1:9002",
  "host_list": "127.0.0.1:9003", "weight_store": "127.0.0.1:9004"},
 "tls": {"peers": {"certificate": "c.pem", "key": "k.pem", "ca": "ca.pem"}}
}`

// TestDefaults guards against requiring settings that have a default, and
// against losing the other defaults of a section when it is given in part.
func TestDefaults(t *testing.T) {
	s, err := Parse("s.json", []byte(strings.Replace(minimal, `"tls"`, `"limits": {"body_bytes": "2MiB"}, "tls"`, 1)))
	if err != nil {
		t.Fatal(err)
	}
	if s.Limits.BodyBytes != 2<<20 || s.Limits.HeaderBytes != 16<<10 || s.Limits.WriteProgress.Std() != 20*time.Second ||
		s.Authority.LeaseTime.Std() != 10*time.Second || s.Log.Level != "info" || s.Limits.Connections != 20000 {
		t.Errorf("settings %+v", s)
	}
}

// TestErrorsAtOnce guards against starting with invalid settings, and against
// reporting only one error per start.
func TestErrorsAtOnce(t *testing.T) {
	text := strings.NewReplacer(`"127.0.0.1:9001"`, `"store.example:9001"`, `"k.pem"`, `""`, `["nashua", "hartford"]`, `["hartford", "hartford"]`).Replace(minimal)
	text = strings.Replace(text, `"tls"`, `"limits": {"body_bytes": 5, "read_progress": "9h", "header_bytes": "1MB", "write_progres": "1s"}, "log": {"level": "loud"}, "tls"`, 1)
	_, err := Parse("s.json", []byte(text))
	if err == nil {
		t.Fatal("invalid settings accepted")
	}
	wants := []string{
		`s.json:2: host.domains[1]: found duplicate domain "hartford"`,
		`s.json:2: host.domains: found "hartford, hartford"`,
		`s.json:4: platform.endpoints: found "store.example:9001"`,
		`s.json:6: limits.body_bytes: found 5; allowed: a whole number with the unit`,
		`s.json:6: limits.header_bytes: found "1MB"; allowed: a whole number with the unit`,
		`s.json:6: limits.read_progress: found "9h0m0s"; allowed: "100ms" to "5m0s"`,
		`s.json:6: limits.write_progres: found unknown field`,
		`s.json:6: log.level: found "loud"`,
		`s.json:6: tls.peers.key: found no file name`,
	}
	for _, want := range wants {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("missing %s", want)
		}
	}
	if n := strings.Count(err.Error(), "\n") + 1; n != len(wants) {
		t.Errorf("%d errors, want %d:\n%v", n, len(wants), err)
	}
}

// TestOperatorsNeedACA guards against an operator listener without client
// verification, and against requiring client certificates from callers.
func TestOperatorsNeedACA(t *testing.T) {
	pair := `{"certificate": "c.pem", "key": "k.pem"}`
	_, err := Parse("s.json", []byte(strings.Replace(minimal, `"tls": {`, `"tls": {"callers": `+pair+`, "operators": `+pair+`,`, 1)))
	if err == nil || !strings.Contains(err.Error(), "tls.operators.ca") || strings.Contains(err.Error(), "tls.callers") {
		t.Errorf("got %v, want an error for tls.operators.ca only", err)
	}
}

// TestTable guards against settings without documentation and against defaults
// that are not valid.
func TestTable(t *testing.T) {
	for _, r := range Table() {
		if r.Unit == "" || r.Help == "" {
			t.Errorf("%s has no unit or help", r.Path)
		}
	}
	_, err := Parse("s.json", []byte(`{}`))
	for _, r := range Table() {
		missing := err != nil && strings.Contains(err.Error(), "s.json:1: "+r.Path+":")
		if missing != r.Required && r.Path != "tls.peers.key" {
			t.Errorf("%s: required %v, reported %v", r.Path, r.Required, missing)
		}
	}
	var b strings.Builder
	if err := WriteTable(&b); err != nil || !strings.Contains(b.String(), "| `limits.body_bytes` | bytes | `8MiB` |") {
		t.Errorf("%v\n%s", err, b.String())
	}
}
