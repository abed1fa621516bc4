package strictjson

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"github.com/pkg/errors"
)

type unit string

func (u *unit) UnmarshalJSON(data []byte) error {
	var s string
	if json.Unmarshal(data, &s) != nil || !strings.HasSuffix(s, "ms") {
		return errors.New(`a text with the unit "ms"`)
	}
	*u = unit(s)
	return nil
}

type route struct {
	Class string `json:"class"`
	Limit unit   `json:"limit"`
	Size  int8   `json:"size"`
}

type document struct {
	Routes []route           `json:"routes"`
	Labels map[string]string `json:"labels"`
	Extra  *route            `json:"extra"`
	On     bool              `json:"on"`
	Share  float64           `json:"share"`
}

// TestAllErrorsAtOnce guards against reporting only one error per run, and
// against errors without a line and path.
func TestAllErrorsAtOnce(t *testing.T) {
	text := `{
 "routes": [
  {"class": "a", "limit": "5ms"},
  {"class": 7, "limit": "5", "size": 300, "Class": "x"},
  {"class": "b", "class": "c"}
 ],
 "labels": {"a\"b": "1", "a\"b": "2"}, "on": null, "share": "0.5", "extra": []
}`
	var doc document
	err := Decode("f.json", []byte(text), &doc, 0)
	var errs Errors
	if !errors.As(err, &errs) {
		t.Fatalf("error %v", err)
	}
	want := []string{
		`f.json:4: routes[1].class: found 7; allowed: a string`,
		`f.json:4: routes[1].limit: found "5"; allowed: a text with the unit "ms"`,
		`f.json:4: routes[1].size: found 300; allowed: an integer of 8 bits`,
		`f.json:4: routes[1].Class: found unknown field "Class"; allowed: class, limit, size`,
		`f.json:5: routes[2].class: found duplicate field "class"; allowed: each field once`,
		`f.json:7: labels.a"b: found duplicate field "a\"b"; allowed: each field once`,
		`f.json:7: on: found null; allowed: true or false`,
		`f.json:7: share: found "0.5"; allowed: a number`,
		`f.json:7: extra: found an array; allowed: an object`,
	}
	if got := strings.Split(errs.Error(), "\n"); !reflect.DeepEqual(got, want) {
		t.Errorf("errors:\n%s\nwant:\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	if doc.Routes[0].Limit != "5ms" || doc.Routes[2].Class != "b" {
		t.Errorf("values without an error are not set: %+v", doc)
	}
}

// TestWholeDocument guards against accepting part of an invalid document.
func TestWholeDocument(t *testing.T) {
	for text, want := range map[string]string{
		`{} {}`:                     `d:1: found trailing data {}; allowed: nothing after the document`,
		"{}\n]":                     `d:2: found trailing data ]; allowed: nothing after the document`,
		``:                          `d:1: found an empty document; allowed: one JSON document`,
		`{"on":`:                    `d:1: found a document that ends early; allowed: one JSON document`,
		`{"on":true,}`:              `d:1: found invalid character '}' looking for beginning of object key string; allowed: one JSON document`,
		"{\"on\":\"\xff\"}":         `d: found bytes that are not UTF-8; allowed: UTF-8 text`,
		strings.Repeat(" ", 101):    `d: found 101 bytes; allowed: at most 100 bytes`,
		strings.Repeat("[", 90):     `d:1: found a document that ends early; allowed: one JSON document`,
		strings.Repeat("[]", 9):     `d:1: found trailing data [][][][][][][][]; allowed: nothing after the document`,
		`{"routes":[{"size":1e9}]}`: `d:1: routes[0].size: found 1e9; allowed: an integer of 8 bits`,
	} {
		err := Decode("d", []byte(text), &document{}, 100)
		if err == nil || err.Error() != want {
			t.Errorf("%q:\n got %v\nwant %s", text, err, want)
		}
	}
}

// FuzzDecode guards against panics and against accepting documents that
// encoding/json rejects or decodes differently.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(`{"routes":[{"class":"a\\\"","limit":"5ms","size":1}],"on":true}`))
	f.Add([]byte(`{"labels":{"":"\u0041"},"share":1e-3,"extra":{"class":""}}`))
	f.Add([]byte(`{"share":[1,2,{"a":null}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var got, want document
		if Decode("fuzz", data, &got, 1<<16) != nil {
			return
		}
		if err := json.Unmarshal(data, &want); err != nil {
			t.Fatalf("accepted %q, which encoding/json rejects: %v", data, err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Fatalf("%q: %+v, encoding/json %+v", data, got, want)
		}
	})
}
