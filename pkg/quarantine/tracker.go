package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"
)

// Fingerprint identifies a request by team, route and body.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request. Each part is hashed with
// its length, so that different splits of the same bytes differ.
func FingerprintOf(team, route string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(team), []byte(route), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write(part)
	}
	return Fingerprint(h.Sum(nil)[:len(Fingerprint{})])
}

// Request identifies a request to the Service.
type Request struct {
	Fingerprint Fingerprint
	// Features are what it may share with requests that crash endpoints.
	Features []Feature
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// parseFingerprint is the inverse of String.
func parseFingerprint(s string) (f Fingerprint, ok bool) {
	n, err := hex.Decode(f[:], []byte(s[:min(len(s), 2*len(f))]))
	return f, err == nil && n == len(f) && len(s) == 2*len(f)
}

// Verdict is the decision on whether a request may run.
type Verdict int

const (
	// Run admits a request that is not suspected.
	Run Verdict = iota
	// RunExclusive admits a suspected request to an endpoint that runs nothing else.
	RunExclusive
	// AlreadyRunning refuses a suspected request because one with the same
	// fingerprint is running.
	AlreadyRunning
	// Quarantined refuses a request whose fingerprint is quarantined.
	Quarantined
)

// crashesToQuarantine is the number of endpoint instances that must crash while
// they run a request before it is quarantined. A single crash may be unrelated
// to the request.
const crashesToQuarantine = 2

// tracker holds crashes and quarantines and decides on requests. It does no I/O
// and reads no clock. It is not safe for concurrent use.
type tracker struct {
	// crashes maps each fingerprint to its crashes, and each crash to the time at
	// which its suspicion ends. A crash is named <endpoint>/<instance>.
	crashes map[Fingerprint]map[string]time.Time
	// quarantined maps fingerprints to the end of their quarantine.
	quarantined map[Fingerprint]time.Time
	// runningExclusive contains the suspected requests that run on this host.
	runningExclusive map[Fingerprint]bool
}

func newTracker() *tracker {
	return &tracker{
		crashes:          map[Fingerprint]map[string]time.Time{},
		quarantined:      map[Fingerprint]time.Time{},
		runningExclusive: map[Fingerprint]bool{},
	}
}

// decide returns the verdict on a request. runningElsewhere is set if another
// host is known to run it as suspected.
func (t *tracker) decide(f Fingerprint, runningElsewhere bool, now time.Time) Verdict {
	switch {
	case now.Before(t.quarantined[f]):
		return Quarantined
	case t.suspicionCount(f, now) == 0:
		return Run
	case t.runningExclusive[f] || runningElsewhere:
		return AlreadyRunning
	}
	return RunExclusive
}

// suspicionCount returns the number of crashes that still count at now.
func (t *tracker) suspicionCount(f Fingerprint, now time.Time) int {
	count := 0
	for _, until := range t.crashes[f] {
		if now.Before(until) {
			count++
		}
	}
	return count
}

// addCrash records a crash. isNew is false for a crash that is already known, so
// that one reported by several hosts counts once. quarantine is true if the
// crash is new and the fingerprint is now to be quarantined.
func (t *tracker) addCrash(f Fingerprint, crash string, until, now time.Time) (isNew, quarantine bool) {
	if t.crashes[f] == nil {
		t.crashes[f] = map[string]time.Time{}
	}
	_, known := t.crashes[f][crash]
	if !known || until.After(t.crashes[f][crash]) {
		t.crashes[f][crash] = until
	}
	return !known, !known && !now.Before(t.quarantined[f]) && t.suspicionCount(f, now) >= crashesToQuarantine
}

// quarantine quarantines the fingerprint until the given time. It never shortens
// a quarantine.
func (t *tracker) quarantine(f Fingerprint, until time.Time) {
	if until.After(t.quarantined[f]) {
		t.quarantined[f] = until
	}
}

// expire drops suspicions and quarantines that have ended.
func (t *tracker) expire(now time.Time) {
	for f, crashes := range t.crashes {
		for crash, until := range crashes {
			if !now.Before(until) {
				delete(crashes, crash)
			}
		}
		if len(crashes) == 0 {
			delete(t.crashes, f)
		}
	}
	for f, until := range t.quarantined {
		if !now.Before(until) {
			delete(t.quarantined, f)
		}
	}
}
