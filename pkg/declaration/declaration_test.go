package declaration

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

const hashA = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"

// TestValidationErrors guards against accepting documents that an entry host
// cannot serve as declared.
func TestValidationErrors(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{`{"teams":[{"name":"a"},{"name":"a"}]}`, `teams[1].name: found duplicate name "a"`},
		{`{"teams":[{"name":" a"}]}`, `teams[0].name: found " a"`},
		{`{"teams":[{"name":"a","offline_keys":"serve"}]}`, `teams[0].offline_limit: found "0s"`},
		{`{"teams":[{"name":"a","offline_limit":"1h"}]}`, `teams[0].offline_limit: found "1h0m0s"`},
		{`{"teams":[{"name":"a","offline_keys":"keep"}]}`, `teams[0].offline_keys: found "keep"`},
		{`{"teams":[{"name":"a"}],"keys":[{"name":"k","team":"a","sha256":"secret"}]}`, `keys[0].sha256: found a text of 6 bytes`},
		{`{"keys":[{"name":"k","team":"a","sha256":"` + strings.ToUpper(hashA) + `"}]}`, `keys[0].sha256: found a text of 64 bytes`},
		{`{"keys":[{"name":"k","team":"a","sha256":"` + hashA + `"}]}`, `keys[0].team: found "a"`},
		{`{"teams":[{"name":"a"}],"keys":[{"name":"k","team":"a","sha256":"` + hashA + `"},{"name":"l","team":"a","sha256":"` + hashA + `"}]}`,
			`keys[1].sha256: found the hash of key "k"`},
		{`{"classes":[{"name":"c","share":1}]}`, `classes[0].share: found 1`},
		{`{"classes":[{"name":"c","share":0.95,"between_tokens":"44"}]}`, `classes[0].between_tokens: found "44"`},
		{`{"classes":[{"name":"c","share":0.95,"first_token":"2s","completion":"1s"}]}`, `classes[0].first_token: found "2s"`},
		{`{"routes":[{"name":"m","kind":"model","model":"m","class":"c","repeatable":true,"open":true}]}`, `routes[0].open: found true`},
		{`{"routes":[{"name":"m","kind":"model","model":"m","class":"c","repeatable":false}]}`, `routes[0].repeatable: found false`},
		{`{"models":[{"name":"m","version":"1"}],"routes":[{"name":"m","kind":"model","model":"m","adapter":"x","class":"c","repeatable":true}]}`,
			`routes[0].adapter: found "x"`},
		{`{"routes":[{"name":"s","kind":"service","service":"s","path":"/s","class":"c","repeatable":true}]}`, `routes[0].path: found "/s"`},
		{`{"routes":[{"name":"s","kind":"service","service":"s","path":"/s/","class":"c","repeatable":false,"open":true}]}`, `routes[0].open: found true`},
		{`{"classes":[{"name":"c","share":0.9}],"services":[{"name":"s"}],"routes":[{"name":"s","kind":"service","service":"s","path":"/s/","class":"c","repeatable":true}]}`,
			`routes[0].class: found "c"; allowed: a class with a completion limit`},
		{`{"budget":{"currency":"euro","max_hourly_cost":-1}}`, `budget.max_hourly_cost: found -1`},
		{`{"weights":{}}`, `weights: found unknown field "weights"`},
	} {
		_, err := Parse("d.json", []byte(c.text))
		if err == nil || !strings.Contains(err.Error(), "d.json:1: "+c.want) {
			t.Errorf("%s:\n got %v\nwant %s", c.text, err, c.want)
		}
	}
}

// TestKeyIsNotRepeated guards against logging a key in clear text.
func TestKeyIsNotRepeated(t *testing.T) {
	_, err := Parse("d.json", []byte(`{"keys":[{"name":"k","team":"a","sha256":"secret"}]}`))
	if err == nil || strings.Contains(err.Error(), "secret") {
		t.Errorf("error %v, want one that does not contain the key", err)
	}
}

// TestDirectory guards against errors that name the wrong file or line when a
// document is split into several files.
func TestDirectory(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "a[b]*")
	files := map[string]string{
		"1.json": "{\"teams\":[\n{\"name\":\"a\"}],\"budget\":{\"currency\":\"EUR\",\"max_hourly_cost\":1}}",
		"2.json": "{\"teams\":[\n\n{\"name\":\"b\"},\n{\"name\":\"a\"}],\"budget\":{\"currency\":\"EUR\",\"max_hourly_cost\":1}}",
		"x.txt":  "not read",
	}
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	_, err := Load(dir)
	for _, want := range []string{
		"2.json:4: teams[1].name: found duplicate name",
		"2.json:4: budget: found a second budget",
	} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want %s", err, want)
		}
	}
}

// TestExamples guards against example declarations that do not validate, that
// lose a field in the canonical encoding, or that differ from the designed
// number of teams and interactive latency target.
func TestExamples(t *testing.T) {
	for _, name := range []string{"granite", "odalaigh"} {
		doc, err := Load(filepath.Join("..", "..", "examples", name))
		if err != nil {
			t.Fatalf("%s: %v", name, err)
		}
		reparsed, err := Parse("canonical", doc.Canonical())
		if err != nil || !Equal(doc, reparsed) || !bytes.Equal(doc.Canonical(), reparsed.Canonical()) {
			t.Errorf("%s: canonical encoding does not decode to an equal document: %v", name, err)
		}
		want := Class{Name: "interactive", FirstToken: Duration(1600 * time.Millisecond), BetweenTokens: Duration(44 * time.Millisecond), Share: 0.95}
		if len(doc.Teams) != 8 || !slices.Contains(doc.Classes, want) {
			t.Errorf("%s: %d teams, classes %+v", name, len(doc.Teams), doc.Classes)
		}
	}
}

// TestDiff guards against missing changes, and against reporting a different
// order or an explicit default as a change.
func TestDiff(t *testing.T) {
	parse := func(text string) Document {
		doc, err := Parse("d", []byte(text))
		if err != nil {
			t.Fatal(err)
		}
		return doc
	}
	before := parse(`{"teams":[{"name":"b"},{"name":"a"},{"name":"c","cache_group":"x"}],"models":[{"name":"m","version":"1","adapters":["p","q"]}]}`)
	after := parse(`{"teams":[{"name":"a","offline_keys":"refuse"},{"name":"c","offline_keys":"serve","offline_limit":"1h"},{"name":"d"}],"models":[{"name":"m","version":"1","adapters":["q","p"]}]}`)
	want := `removed teams/b
changed teams/c
  cache_group: "x" -> (absent)
  offline_keys: (absent) -> "serve"
  offline_limit: (absent) -> "1h0m0s"
added teams/d
`
	if got := Diff(before, after).Text(); got != want {
		t.Errorf("diff:\n%s\nwant:\n%s", got, want)
	}
	if got := Diff(after, after).Text(); got != "no changes\n" {
		t.Errorf("diff of a document with itself: %s", got)
	}
}

// FuzzParse guards against panics and against valid documents that change when
// they are encoded canonically and decoded again.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"granite", "odalaigh"} {
		doc, err := Load(filepath.Join("..", "..", "examples", name))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(doc.Canonical())
	}
	f.Add([]byte(fmt.Sprintf(`{"teams":[{"name":"a","cache_group":"g"}],"keys":[{"name":"k","team":"a","sha256":%q}]}`, hashA)))
	f.Fuzz(func(t *testing.T, data []byte) {
		doc, err := Parse("fuzz", data)
		if err != nil {
			return
		}
		reparsed, err := Parse("canonical", doc.Canonical())
		if err != nil {
			t.Fatalf("canonical encoding of %q: %v", data, err)
		}
		if d := Diff(doc, reparsed); len(d) != 0 {
			t.Fatalf("%q: %s", data, d.Text())
		}
		for _, o := range doc.Objects() {
			if _, err := o.Decode(); err != nil {
				t.Fatalf("object %s of %q: %v", o.Ref, data, err)
			}
		}
	})
}

// Guards against a quota that limits nothing or admits nothing, and against one that is
// lost when a document is written and read.
func TestQuota(t *testing.T) {
	team := Team{Name: "a", Quota: &Quota{TokensPerSecond: 1000, BurstTokens: 5000}}
	if err := ValidateObject(team); err != nil {
		t.Fatal(err)
	}
	doc := Document{Teams: []Team{team}}
	decoded, err := doc.Objects()[0].Decode()
	if err != nil || *decoded.(Team).Quota != *team.Quota {
		t.Errorf("got %+v, %v", decoded, err)
	}
	for _, q := range []Quota{{TokensPerSecond: 1000}, {BurstTokens: 1}, {TokensPerSecond: -1, BurstTokens: 1}} {
		if ValidateObject(Team{Name: "a", Quota: &q}) == nil {
			t.Errorf("%+v is valid", q)
		}
	}
}
