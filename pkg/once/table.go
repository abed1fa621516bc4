package once

import (
	"encoding/json"
	"time"

	"github.com/clementineshed/clementineshed/pkg/logservice"
)

type entryState uint8

const (
	statePending entryState = iota
	stateDone
	stateUnknown
	// stateAbandoned entries have left the table; waiting requests still hold them.
	stateAbandoned
)

// entry is the attempt that owns a key. Times are those of the log service in
// Unix milliseconds, made monotonic.
type entry struct {
	attempt     string
	incarnation string
	digest      keyHash
	atMillis    int64
	state       entryState
	// ownerUncertain is set if the entry was folded while the view was
	// incomplete: another attempt may own the key. This host then sends no
	// attempt of the key, and an abandoned record does not free it.
	ownerUncertain bool
	outcome        *Outcome
}

type queuedKey struct {
	key      keyHash
	atMillis int64
}

// table is the state folded from the attempts stream. It depends only on the
// records and the start of the view. It is not safe for concurrent use.
type table struct {
	periodMillis int64
	maxEntries   int
	maxBytes     int

	entries map[keyHash]*entry
	// order is the expiry queue of keys, oldest first.
	order []queuedKey
	// bodies lists the keys that have an outcome body in the table, oldest first.
	bodies            []keyHash
	bodyBytes         int
	latestMillis      int64
	truncationPending bool
	// missingUntilMillis is the latest time at which a record that this view lacks
	// may have been appended; zero if it lacks none.
	missingUntilMillis int64

	// onChange is called for each key whose entry got an outcome or was freed.
	onChange func(keyHash)
	// unguarded treats every view as complete, so that tests can show that the
	// handling of incomplete views is needed.
	unguarded bool
}

func newTable(period time.Duration, maxEntries, maxBytes int, onChange func(keyHash)) *table {
	return &table{
		periodMillis: period.Milliseconds(),
		maxEntries:   maxEntries,
		maxBytes:     maxBytes,
		entries:      map[keyHash]*entry{},
		onChange:     onChange,
	}
}

// markTruncated records that the records before the next folded one are missing.
func (t *table) markTruncated() { t.truncationPending = true }

// complete reports whether the view holds every record that is younger than
// the deduplication period, by the time of the last folded record.
func (t *table) complete() bool {
	if t.unguarded {
		return true
	}
	return !t.truncationPending && (t.missingUntilMillis == 0 || t.latestMillis-t.missingUntilMillis >= t.periodMillis)
}

func (t *table) fold(r logservice.Record, e logservice.Entry) {
	t.latestMillis = max(t.latestMillis, r.TimeMillis)
	if t.truncationPending {
		t.truncationPending = false
		t.missingUntilMillis = t.latestMillis
	}
	t.expire()
	switch e.Kind {
	case kindAttempt:
		t.foldAttempt(e.Body)
	case kindOutcome:
		t.foldOutcome(e.Body)
	case kindAbandoned:
		t.foldAbandoned(e.Body)
	}
}

func (t *table) foldAttempt(body json.RawMessage) {
	var rec attemptRecord
	if json.Unmarshal(body, &rec) != nil {
		return
	}
	key, okKey := parseHash(rec.KeyHash)
	digest, okDigest := parseHash(rec.Digest)
	if !okKey || !okDigest {
		return
	}
	if old := t.entries[key]; old != nil {
		// In a complete view this attempt may be the owner, so a key whose owner
		// is uncertain stays blocked for a whole period after this record.
		if old.ownerUncertain {
			old.atMillis = t.latestMillis
		}
		return
	}
	t.entries[key] = &entry{
		attempt:        rec.Attempt,
		incarnation:    rec.Incarnation,
		digest:         digest,
		atMillis:       t.latestMillis,
		ownerUncertain: !t.complete(),
	}
	t.order = append(t.order, queuedKey{key: key, atMillis: t.latestMillis})
	t.dropExcess()
}

func (t *table) foldOutcome(body json.RawMessage) {
	var rec outcomeRecord
	if json.Unmarshal(body, &rec) != nil {
		return
	}
	key, _ := parseHash(rec.KeyHash)
	e := t.entries[key]
	if e == nil || e.attempt != rec.Attempt || e.state == stateDone {
		return
	}
	e.state = stateUnknown
	if !rec.Unknown {
		e.state = stateDone
		e.outcome = &rec.Outcome
		t.holdBody(key, e)
	}
	t.onChange(key)
}

func (t *table) foldAbandoned(body json.RawMessage) {
	var rec abandonedRecord
	if json.Unmarshal(body, &rec) != nil {
		return
	}
	key, _ := parseHash(rec.KeyHash)
	e := t.entries[key]
	if e == nil || e.attempt != rec.Attempt || e.ownerUncertain || e.state != statePending {
		return
	}
	e.state = stateAbandoned
	t.remove(key)
}

func (t *table) remove(key keyHash) {
	if e := t.entries[key]; e != nil && e.outcome != nil {
		t.bodyBytes -= len(e.outcome.Body)
	}
	delete(t.entries, key)
	t.onChange(key)
}

// expire removes entries older than the period. It skips keys that were removed
// since they were queued and requeues those that were refreshed.
func (t *table) expire() {
	for len(t.order) > 0 && t.order[0].atMillis+t.periodMillis <= t.latestMillis {
		first := t.order[0]
		t.order = t.order[1:]
		e := t.entries[first.key]
		switch {
		case e == nil || (!e.ownerUncertain && e.atMillis != first.atMillis):
		case e.atMillis+t.periodMillis <= t.latestMillis:
			t.remove(first.key)
		case e.ownerUncertain:
			// The refreshed entry may be out of order here. It is then kept longer
			// than needed, never shorter.
			t.order = append(t.order, queuedKey{key: first.key, atMillis: e.atMillis})
		}
	}
}

// dropExcess drops the oldest entries while there are more than maxEntries. The
// view then lacks records up to the time of the last dropped entry.
func (t *table) dropExcess() {
	for len(t.entries) > t.maxEntries && len(t.order) > 0 {
		first := t.order[0]
		t.order = t.order[1:]
		if e := t.entries[first.key]; e != nil && e.atMillis >= first.atMillis {
			t.missingUntilMillis = max(t.missingUntilMillis, e.atMillis)
			t.remove(first.key)
		}
	}
}

func (t *table) holdBody(key keyHash, e *entry) {
	t.bodyBytes += len(e.outcome.Body)
	t.bodies = append(t.bodies, key)
	for t.bodyBytes > t.maxBytes && len(t.bodies) > 0 {
		old := t.entries[t.bodies[0]]
		t.bodies = t.bodies[1:]
		if old != nil && old.outcome != nil && len(old.outcome.Body) > 0 {
			t.bodyBytes -= len(old.outcome.Body)
			old.outcome.Body, old.outcome.BodyOmitted = nil, true
		}
	}
}
