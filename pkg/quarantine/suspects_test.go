package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// Features of the requests in the tests.
const (
	deadly Feature = iota + 1
	shared
	companion
	own
)

// runTime is the time between the send of a request and the crash of its endpoint.
const runTime = 50 * time.Millisecond

// crashAfter records a crash of a new process at a time after the start.
func crashAfter(s *Suspects, after time.Duration, features ...Feature) []Feature {
	e := Evidence{Crash: Crash{Endpoint: fmt.Sprint("engine-", after), Process: "1"}}
	for _, f := range features {
		e.Running = append(e.Running, RunningFeature{Feature: f, SentAge: runTime})
	}
	return s.Record(e, testStart.Add(after))
}

var testStart = time.Unix(1000, 0)

// Guards against requests that crash one endpoint after another because no two of them
// are alike, and against the refusal of sound requests that share their other parts.
func TestPartThatCrashesEndpointsIsFoundInUnlikeRequests(t *testing.T) {
	s := NewSuspects()
	for i := range crashesToSuspect {
		now := testStart.Add(time.Duration(i) * time.Second)
		if s.Harmful([]Feature{shared, deadly, own + Feature(i)}, now) {
			t.Fatalf("refused after %d crashes", i)
		}
		crashAfter(s, time.Duration(i)*time.Second, shared, deadly, own+Feature(i))
	}
	now := testStart.Add(5 * time.Second)
	if !s.Harmful([]Feature{shared, deadly, 99}, now) {
		t.Error("a request with the deadly part is not refused")
	}
	if s.Harmful([]Feature{shared, 100}, now) {
		t.Error("a sound request with the shared part is refused")
	}
}

// Guards against a shared part that stays suspected although requests with it complete.
func TestCompletedRequestRefutesSuspicion(t *testing.T) {
	s := NewSuspects()
	for i := range crashesToSuspect {
		crashAfter(s, time.Duration(i)*time.Second, shared)
	}
	now := testStart.Add(5 * time.Second)
	if !s.Harmful([]Feature{shared}, now) {
		t.Fatal("not suspected after separate crashes")
	}
	if cleared := s.RecordSuccess([]Feature{shared, own}); len(cleared) != 1 || cleared[0] != shared {
		t.Errorf("cleared %v", cleared)
	}
	// Other hosts repeat what they know of the same crashes.
	for i := range crashesToSuspect {
		crashAfter(s, time.Duration(i)*time.Second, shared)
	}
	if s.Harmful([]Feature{shared}, now) {
		t.Error("refused after a request with it completed")
	}
}

// Guards against the refusal of common requests after engines have crashed together,
// for example with their failure domain.
func TestEnginesThatCrashTogetherCountOnce(t *testing.T) {
	s := NewSuspects()
	for i := range 8 {
		crashAfter(s, time.Duration(i)*runTime/8, shared)
	}
	if s.Harmful([]Feature{shared}, testStart.Add(time.Second)) {
		t.Error("refused although all requests had been sent before the first crash")
	}
}

// Guards against a wrong explanation that lets a deadly part crash endpoints for good: a
// harmless part that was present at each crash explains them until it is missing at one.
func TestWrongExplanationEndsWithTheNextCrash(t *testing.T) {
	s := NewSuspects()
	for i := range crashesToSuspect {
		crashAfter(s, time.Duration(i)*time.Second, deadly, companion)
	}
	now := testStart.Add(10 * time.Second)
	if s.Harmful([]Feature{companion, own}, now) || s.Harmful([]Feature{deadly, own}, now) {
		t.Fatal("a request with one of two equally suspected parts is refused")
	}
	if !s.Harmful([]Feature{deadly, companion}, now) {
		t.Error("a request with both parts is not refused")
	}
	crashAfter(s, 11*time.Second, deadly, own)
	now = testStart.Add(12 * time.Second)
	if !s.Harmful([]Feature{deadly, own}, now) {
		t.Error("the deadly part is not refused after a crash without the harmless one")
	}
	if s.Harmful([]Feature{companion, own}, now) {
		t.Error("the harmless part is refused")
	}
}

// Guards against a crash that counts once for each host that reports it, and against
// evidence that never expires.
func TestEvidenceCountsOnceAndExpires(t *testing.T) {
	s := NewSuspects()
	for i := range 2 * crashesToSuspect {
		age := time.Duration(i) * time.Second
		report := Evidence{Crash: Crash{Endpoint: "engine", Process: "1"}, Age: age, Running: []RunningFeature{{Feature: deadly, SentAge: age + runTime}}}
		s.Record(report, testStart.Add(age))
	}
	if s.Harmful([]Feature{deadly}, testStart.Add(time.Minute)) {
		t.Error("one crash with several reports suffices")
	}
	for i := range crashesToSuspect {
		crashAfter(s, time.Duration(i+1)*time.Second, deadly)
	}
	list := s.Suspected(testStart.Add(time.Minute))
	if len(list) != crashesToSuspect+1 {
		t.Errorf("evidence of %d crashes, want %d", len(list), crashesToSuspect+1)
	}
	other := NewSuspects()
	for _, e := range list {
		other.Record(e, testStart.Add(time.Hour))
	}
	if !other.Harmful([]Feature{deadly}, testStart.Add(time.Hour)) {
		t.Error("another host that gets the evidence does not suspect the feature")
	}
	if now := testStart.Add(SuspicionTTL + time.Minute); s.Harmful([]Feature{deadly}, now) || len(s.features) != 0 {
		t.Error("evidence does not expire")
	}
}

// Guards against a deadly part that is never found because many requests with it wait at
// engines, so that each was sent before the crashes of the last seconds.
func TestDenseCrashesAreFound(t *testing.T) {
	s := NewSuspects()
	for i := range 100 {
		at := time.Duration(i) * 200 * time.Millisecond
		s.Record(Evidence{Crash: Crash{Endpoint: fmt.Sprint(i)}, Running: []RunningFeature{{Feature: deadly, SentAge: 2 * time.Second}}}, testStart.Add(at))
		if s.Harmful([]Feature{deadly}, testStart.Add(at)) {
			if i > 7 {
				t.Errorf("found after %d crashes", i+1)
			}
			break
		}
		if i == 99 {
			t.Error("never found")
		}
	}
	for i := range 10 * maxCrashesPerFeature {
		s.Record(Evidence{Crash: Crash{Endpoint: fmt.Sprint("late", i)}, Running: []RunningFeature{{Feature: deadly, SentAge: time.Minute}}}, testStart.Add(30*time.Second+time.Duration(i)*time.Millisecond))
	}
	if !s.Harmful([]Feature{deadly}, testStart.Add(31*time.Second)) {
		t.Error("crashes of requests that had been sent before have ended the suspicion")
	}
}

// Guards against a deadly part that is forgotten because requests with it are refused,
// while unrelated crashes go on.
func TestSuspectedFeatureIsNotForgottenForOthers(t *testing.T) {
	s := NewSuspects()
	for i := range crashesToSuspect {
		crashAfter(s, time.Duration(i)*time.Second, deadly)
	}
	for i := range 2 * maxFeatures {
		s.Record(Evidence{Crash: Crash{Endpoint: fmt.Sprint("other", i/60)}, Running: []RunningFeature{{Feature: Feature(1000 + i)}}}, testStart.Add(10*time.Second))
	}
	if !s.Harmful([]Feature{deadly}, testStart.Add(11*time.Second)) {
		t.Error("the deadly part is forgotten")
	}
}

// Guards against a sound part that was present at each crash and lets the deadly one
// through for good.
func TestMutualExplanationEnds(t *testing.T) {
	s := NewSuspects()
	for i := range crashesWithoutExplanation {
		crashAfter(s, time.Duration(i)*time.Second, deadly, companion)
	}
	if !s.Harmful([]Feature{deadly, own}, testStart.Add(10*time.Second)) {
		t.Error("the deadly part is still explained by the other one")
	}
	s.RecordSuccess([]Feature{companion})
	if s.Harmful([]Feature{companion, own}, testStart.Add(11*time.Second)) {
		t.Error("the sound part is refused after a request with it completed")
	}
}

// Guards against an endpoint that crashes again and again before its new start is known,
// which counted as one crash.
func TestCrashesOfARestartedEndpointCount(t *testing.T) {
	s := NewSuspects()
	for i := range crashesToSuspect {
		s.Record(Evidence{Crash: Crash{Endpoint: "engine", Process: "1"}, Running: []RunningFeature{{Feature: deadly, SentAge: runTime}}}, testStart.Add(time.Duration(i)*3*time.Second))
	}
	if !s.Harmful([]Feature{deadly}, testStart.Add(time.Minute)) {
		t.Error("not found")
	}
}

// Guards against memory that grows with the parts of all requests that ran at crashes.
func TestEvidenceIsBounded(t *testing.T) {
	s := NewSuspects()
	for i := range maxFeatures + 10 {
		s.Record(Evidence{Running: []RunningFeature{{Feature: Feature(i + 1)}}}, testStart.Add(time.Duration(i)*time.Millisecond))
	}
	for i := range 3 * maxCrashesPerFeature {
		crashAfter(s, time.Duration(i)*time.Second, Feature(maxFeatures+10))
	}
	if len(s.features) > maxFeatures || len(s.features[Feature(maxFeatures+10)]) > maxCrashesPerFeature {
		t.Errorf("%d features, %d crashes of one", len(s.features), len(s.features[Feature(maxFeatures+10)]))
	}
}
