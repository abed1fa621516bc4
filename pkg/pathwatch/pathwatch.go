// Package pathwatch decides by which path this host opens its connections to endpoints:
// directly, or through another entry host.
//
// State: the endpoints that another host reached while this host could not, the direct
// exchanges without an answer, and when this host last opened a direct connection and last
// got an answer on one.
//
// An endpoint that no host reaches is down, and its path is not in question. Only the
// success of another host shows that this host's path is lost, so that endpoints that
// crash or fall silent change nothing. Once that was shown for several endpoints, with no
// success of this host in between, it counts as cut off from all of them. A probe of one
// endpoint at a time finds out when a path is back.
package pathwatch

import (
	"maps"
	"sync"
	"time"
)

const (
	// cutOffThreshold is the number of endpoints with a lost path, and no success on any
	// direct path since, from which on the host counts as cut off.
	cutOffThreshold = 2
	// soundTime is how long a direct connection that was opened shows that the host is not
	// cut off.
	soundTime = time.Second
	// probeInterval is the time between two probes or checks.
	probeInterval = 250 * time.Millisecond
	// silentThreshold is the number of endpoints without an answer, none having come from
	// any endpoint for silentAfter, from which on the paths are checked. A sound endpoint
	// may be silent for a second.
	silentThreshold = 2
	silentAfter     = 600 * time.Millisecond
	// doubtAfter is how long so many endpoints must have been silent for their silence to
	// be in doubt.
	doubtAfter = 100 * time.Millisecond
)

// Loss is how a path is lost.
type Loss int

const (
	// NotOpened means that no connection can be opened.
	NotOpened Loss = iota
	// NotAnswered means that connections open and carry nothing.
	NotAnswered
)

// String returns the name of the loss for logs.
func (l Loss) String() string {
	if l == NotAnswered {
		return "not_answered"
	}
	return "not_opened"
}

// lostPath is what is known about an endpoint that only other hosts reach.
type lostPath struct {
	loss Loss
	// since is when the first attempt that failed began, foundAt when the loss was found.
	since, foundAt time.Time
	probedAt       time.Time
}

// Watch follows the paths of one host. It is safe for concurrent use.
type Watch struct {
	mu sync.Mutex
	// The fields below are guarded by mu. lost holds the lost paths by the address of the
	// endpoint.
	lost map[string]*lostPath
	// openedAt is when a direct connection was last opened, answeredAt when the last answer
	// on one arrived.
	openedAt, answeredAt time.Time
	// cutOffSince is zero unless the host counts as cut off, by cutOffLoss, as was found at
	// cutOffFoundAt.
	cutOffSince, cutOffFoundAt time.Time
	cutOffLoss                 Loss
	probedAt                   time.Time
	// unanswered holds when the first exchange without an answer began, by the address of
	// its endpoint, since answeredAt.
	unanswered map[string]time.Time
	checkedAt  time.Time
}

// New returns a watch that takes all paths for sound.
func New() *Watch { return &Watch{lost: map[string]*lostPath{}, unanswered: map[string]time.Time{}} }

// Opened records that a direct connection to the endpoint was opened. It reports whether
// that ends a cut.
func (w *Watch) Opened(address string, now time.Time) (restored bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.openedAt = now
	return w.succeeded(address, NotOpened)
}

// Answered records that an answer of the endpoint has arrived on a direct connection. It
// reports whether that ends a cut.
func (w *Watch) Answered(address string, now time.Time) (restored bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.answeredAt = now
	clear(w.unanswered)
	return w.succeeded(address, NotAnswered)
}

// succeeded drops what a success of the kind disproves: an answer on a connection that was
// open before the cut does not show that new ones can be opened, and an open connection
// does not show that it carries answers. It must be called with mu held.
func (w *Watch) succeeded(address string, loss Loss) (restored bool) {
	if l := w.lost[address]; l != nil && l.loss == loss {
		delete(w.lost, address)
	}
	if w.cutOffSince.IsZero() || w.cutOffLoss != loss {
		return false
	}
	// Paths that were lost in the cut are likely to be back as well. The next connection to
	// each shows it.
	maps.DeleteFunc(w.lost, func(_ string, l *lostPath) bool { return l.loss == loss && !l.since.Before(w.cutOffSince) })
	w.cutOffSince = time.Time{}
	return true
}

// Sent records that a request was sent on a direct connection. If it ends without an
// answer, or as long as none has arrived, its endpoint counts as silent.
func (w *Watch) Sent(address string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, known := w.unanswered[address]; !known {
		w.unanswered[address] = now
	}
}

// InDoubt reports whether several endpoints have been silent for a while and none has
// answered, so that their silence may be that of the paths.
func (w *Watch) InDoubt(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	silent := 0
	for _, at := range w.unanswered {
		if now.Sub(at) >= doubtAfter {
			silent++
		}
	}
	return silent >= silentThreshold
}

// PeerReached records that another host reached the endpoint although the direct attempt
// that began at a time failed. It reports whether the host counts as cut off from now on.
func (w *Watch) PeerReached(address string, loss Loss, began, now time.Time) (cutOff bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l := w.lost[address]; l == nil || l.loss != loss {
		w.lost[address] = &lostPath{loss: loss, since: began, foundAt: now}
	}
	if !w.cutOffSince.IsZero() {
		return false
	}
	soundAt := w.openedAt
	if loss == NotAnswered {
		soundAt = w.answeredAt
	}
	earliest, n := began, 0
	for _, l := range w.lost {
		if l.loss != loss || l.since.Before(soundAt) {
			continue
		}
		n++
		if l.since.Before(earliest) {
			earliest = l.since
		}
	}
	if n < cutOffThreshold {
		return false
	}
	w.cutOffSince, w.cutOffFoundAt, w.cutOffLoss = earliest, now, loss
	return true
}

// Lost reports whether connections to the endpoint are to be opened through another host,
// and since when.
func (w *Watch) Lost(address string) (since time.Time, lost bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l := w.lost[address]; l != nil {
		return l.since, true
	}
	return w.cutOffSince, !w.cutOffSince.IsZero()
}

// LostAfter reports whether the path to the endpoint is lost and that was found after a
// time. A request that was sent directly then may have hung since.
func (w *Watch) LostAfter(address string, at time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if l := w.lost[address]; l != nil && l.foundAt.After(at) {
		return true
	}
	return !w.cutOffSince.IsZero() && w.cutOffFoundAt.After(at)
}

// Sound reports whether a direct connection was opened lately. Until then the host cannot
// tell an endpoint that is down from a path that is lost.
func (w *Watch) Sound(now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.openedAt) < soundTime
}

// CutOff reports whether the host counts as cut off from all endpoints.
func (w *Watch) CutOff() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.cutOffSince.IsZero()
}

// MayUseIdle reports whether a direct connection to the endpoint that has been idle since a
// time may carry a request. One that has not been used since the path was lost may hang.
func (w *Watch) MayUseIdle(address string, idleAt time.Time) bool {
	since, lost := w.Lost(address)
	return !lost || idleAt.After(since)
}

// Probe returns the address of the endpoint to probe now, if there is one, and what the
// probe must disprove.
func (w *Watch) Probe(now time.Time) (address string, loss Loss, due bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.lost) == 0 || now.Sub(w.probedAt) < probeInterval {
		return "", NotOpened, false
	}
	for a, l := range w.lost {
		if address == "" || l.probedAt.Before(w.lost[address].probedAt) {
			address = a
		}
	}
	w.probedAt, w.lost[address].probedAt = now, now
	return address, w.lost[address].loss, true
}

// Check returns the address of an endpoint whose path is to be checked now, and since when
// it has been silent: several endpoints are silent, and none has answered.
func (w *Watch) Check(now time.Time) (address string, since time.Time, due bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.cutOffSince.IsZero() || now.Sub(w.checkedAt) < probeInterval {
		return "", time.Time{}, false
	}
	silent := 0
	for a, at := range w.unanswered {
		if now.Sub(at) < silentAfter {
			continue
		}
		silent++
		if w.lost[a] == nil && (address == "" || at.Before(since)) {
			address, since = a, at
		}
	}
	if silent < silentThreshold || address == "" {
		return "", time.Time{}, false
	}
	w.checkedAt = now
	return address, since, true
}

// Forget drops an endpoint that is gone. A host that counts as cut off stays so only while
// there is an endpoint to probe.
func (w *Watch) Forget(address string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.lost, address)
	delete(w.unanswered, address)
	if len(w.lost) == 0 {
		w.cutOffSince = time.Time{}
	}
}

// LostPaths returns the number of endpoints whose path is known to be lost.
func (w *Watch) LostPaths() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.lost)
}
