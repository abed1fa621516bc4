package streamorigin

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	lru "github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	// Retention is how long versions and attempts are remembered. Callers go on with a stream
	// for less than half of it, and a version in service is recorded again within the other
	// half.
	Retention = 2 * time.Minute
	// maxAttempts bounds the attempts that are remembered. The oldest are forgotten first.
	maxAttempts = 1 << 16
)

// Attempt identifies an attempt of a caller at a service.
type Attempt uint64

// AttemptOf returns the identity of a caller's attempt.
func AttemptOf(service, id string) Attempt {
	h := xxhash.New()
	// Writes to a hash do not fail. The length keeps service and ID apart.
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, uint64(len(service))))
	_, _ = h.WriteString(service)
	_, _ = h.WriteString(id)
	return Attempt(h.Sum64())
}

// Record states that a software version was in service at a time and began attempts.
type Record struct {
	Service  string `json:"service"`
	Software string `json:"software"`
	// WrittenMillis is the writer's time of day in Unix milliseconds.
	WrittenMillis int64 `json:"written_ms"`
	// Attempts holds attempts of 8 bytes each, big-endian. It may be empty.
	Attempts []byte `json:"attempts,omitempty"`
}

// newRecord returns a record of now.
func newRecord(service, software string, attempts []Attempt, now time.Time) Record {
	r := Record{Service: service, Software: software, WrittenMillis: now.UnixMilli()}
	for _, a := range attempts {
		r.Attempts = binary.BigEndian.AppendUint64(r.Attempts, uint64(a))
	}
	return r
}

type version struct{ service, software string }

// begin is the start of an attempt's stream. An empty software says that records contradict
// each other.
type begin struct {
	version
	at time.Time
}

// Origins is what is known of the versions that have begun streams. It is not safe for
// concurrent use.
type Origins struct {
	// versions holds when each version was last known to be in service.
	versions map[version]time.Time
	attempts *lru.LRU[Attempt, begin]
}

// NewOrigins returns empty origins.
func NewOrigins() *Origins {
	// NewLRU fails only for sizes below one.
	attempts, _ := lru.NewLRU[Attempt, begin](maxAttempts, nil)
	return &Origins{versions: map[version]time.Time{}, attempts: attempts}
}

// Apply adds a record. Those older than Retention change nothing.
func (o *Origins) Apply(r Record, now time.Time) {
	at := time.UnixMilli(r.WrittenMillis)
	if at.After(now) {
		at = now
	}
	if r.Service == "" || r.Software == "" || now.Sub(at) >= Retention {
		return
	}
	if v := (version{r.Service, r.Software}); at.After(o.versions[v]) {
		o.versions[v] = at
	}
	for rest := r.Attempts; len(rest) >= 8; rest = rest[8:] {
		o.begin(Attempt(binary.BigEndian.Uint64(rest)), version{r.Service, r.Software}, at)
	}
}

func (o *Origins) begin(a Attempt, v version, at time.Time) {
	if known, found := o.attempts.Peek(a); found && known.software != v.software {
		v.software = ""
	}
	o.attempts.Add(a, begin{v, at})
}

// InService returns when the version was last known to be in service, zero if it was not
// within Retention.
func (o *Origins) InService(service, software string, now time.Time) time.Time {
	at := o.versions[version{service, software}]
	if now.Sub(at) >= Retention {
		return time.Time{}
	}
	return at
}

// Versions returns the software versions that may have begun streams of a service which can
// still be taken up: those in service within Retention and those that serve.
func (o *Origins) Versions(service string, serving []string, now time.Time) map[string]bool {
	all := map[string]bool{}
	for v, at := range o.versions {
		switch {
		case now.Sub(at) >= Retention:
			delete(o.versions, v)
		case v.service == service:
			all[v.software] = true
		}
	}
	for _, software := range serving {
		all[software] = true
	}
	return all
}

// Origin returns the software version that began an attempt's stream: the recorded one or, for
// an attempt without a record, the only one of the service. It returns false if neither is
// known. serving are the versions of the announced endpoints; the empty version is one that is
// not known and equals none.
func (o *Origins) Origin(service string, a Attempt, serving []string, now time.Time) (software string, known bool) {
	if b, found := o.attempts.Peek(a); found && now.Sub(b.at) < Retention {
		return b.software, b.software != ""
	}
	versions := o.Versions(service, serving, now)
	if len(versions) != 1 {
		return "", false
	}
	for only := range versions {
		software = only
	}
	return software, software != ""
}
