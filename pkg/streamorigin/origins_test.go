package streamorigin

import (
	"testing"
	"time"
)

var start = time.Unix(1_700_000_000, 0)

// TestOriginIsProvedOrUnknown guards against a stream that goes on at a software version only
// because a host does not know another one, and against the refusal of a stream whose version is
// certain.
func TestOriginIsProvedOrUnknown(t *testing.T) {
	a, b := AttemptOf("llm", "a"), AttemptOf("llm", "b")
	record := func(software string, ageOfWriting time.Duration, attempts ...Attempt) Record {
		return newRecord("llm", software, attempts, start.Add(-ageOfWriting))
	}
	tests := []struct {
		name    string
		records []Record
		serving []string
		want    string // empty if not known
	}{
		{"recorded", []Record{record("v1", 0), record("v2", time.Second, a)}, []string{"v1"}, "v2"},
		{"recorded before others", []Record{record("v2", 0, a, b), record("v1", 0, b)}, []string{"v1", "v2"}, "v2"},
		{"recorded at a version that has left", []Record{record("v1", 0, a)}, []string{"v2"}, "v1"},
		{"not recorded, one version", []Record{record("v1", time.Minute)}, []string{"v1"}, "v1"},
		{"not recorded, one version that only serves", nil, []string{"v1"}, "v1"},
		{"not recorded, one version that has left", []Record{record("v1", 0)}, nil, "v1"},
		{"not recorded, two versions serve", nil, []string{"v1", "v2"}, ""},
		{"not recorded, another version in the log", []Record{record("v1", 0), record("v2", 0)}, []string{"v1"}, ""},
		{"not recorded, another version has left", []Record{record("v1", Retention-time.Second)}, []string{"v2"}, ""},
		{"not recorded, another version has left long ago", []Record{record("v1", Retention)}, []string{"v2"}, "v2"},
		{"not recorded, another version in another service", []Record{newRecord("desk", "v2", nil, start)}, []string{"v1"}, "v1"},
		{"recorded twice, contradicting", []Record{record("v1", 0, a), record("v2", 0, a)}, []string{"v1", "v2"}, ""},
		{"recorded twice, contradicting, and once more", []Record{record("v1", 0, a), record("v2", 0, a), record("v1", 0, a)}, []string{"v1"}, ""},
		{"written ahead of the time of day", []Record{record("v1", -time.Hour, a)}, []string{"v2"}, "v1"},
		{"the only version is not known", nil, []string{""}, ""},
		{"one version and one that is not known", []Record{record("v1", 0)}, []string{"", "v1"}, ""},
		{"nothing serves", nil, nil, ""},
	}
	for _, tt := range tests {
		o := NewOrigins()
		for _, r := range tt.records {
			o.Apply(r, start)
		}
		got, known := o.Origin("llm", a, tt.serving, start)
		if got != tt.want || known != (tt.want != "") {
			t.Errorf("%s: %q, %t, want %q", tt.name, got, known, tt.want)
		}
	}
}
