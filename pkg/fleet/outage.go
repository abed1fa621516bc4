package fleet

import "time"

const (
	// OutageGrace is the time after the store's return within which an endpoint
	// must announce itself again. The platform specifies about two seconds; the
	// rest covers one heartbeat.
	OutageGrace = 3200 * time.Millisecond
	// outageThreshold is the time without an answer from the store to any host
	// after which the store counts as unavailable. An announcement lapses after
	// three missed heartbeats, which are more than a second apart.
	outageThreshold = 2 * time.Second
	// confirmationTime is how long after the first answer lapses are held back until
	// it is clear whether there was an outage. Other hosts report several times a
	// second while the store answers. A lapse must be in force two seconds after it
	// was acknowledged.
	confirmationTime = 600 * time.Millisecond
)

// StoreReport is what a host knows of the store's answers to it and to the hosts that it
// has heard.
type StoreReport struct {
	// From and Until bound the last span in which the store answered at least once in
	// each outageThreshold.
	From, Until time.Time
	// OutageFrom and OutageUntil bound the last outage; zero if there was none
	// recently. OutageUntil is the time of the report while the outage goes on.
	OutageFrom, OutageUntil time.Time
}

// storeWatch decides whether the store was unavailable while this host heard of no
// answer, or this host was cut off from it. Only statements from outside tell the two
// apart: the store's own that it is unavailable, and those of hosts in other failure
// domains, which a cut of this one does not concern. Without one there was no outage. A
// host that was answered within the gap refutes all of them.
type storeWatch struct {
	// from and until are those of StoreReport. lost is the end of the span before it;
	// zero if there was none, or if the gap between the two was refuted.
	from, until, lost time.Time
	// outage says that the gap between lost and from was an outage.
	outage bool
	// stated is when it was last stated that the store is unavailable.
	stated time.Time
}

// answered records that the store answered some host throughout a span.
func (w *storeWatch) answered(from, until time.Time) {
	switch {
	case w.until.IsZero():
		w.from, w.until = from, until
		return
	case from.Sub(w.until) > outageThreshold:
		w.outage = w.unavailable()
		w.lost, w.from, w.until = w.until, from, until
		return
	case w.from.Sub(until) > outageThreshold:
		// The host that told it has not heard of the later answers yet.
		return
	}
	if until.After(w.until) {
		w.until = until
	}
	if from.Before(w.from) {
		w.from = from
		if !w.lost.IsZero() && from.Sub(w.lost) <= outageThreshold {
			w.lost, w.outage = time.Time{}, false
		}
	}
}

// unavailable reports whether the store was stated to be unavailable after the last
// known answer.
func (w *storeWatch) unavailable() bool { return w.stated.Sub(w.until) > outageThreshold }

// state records a statement that the store is unavailable.
func (w *storeWatch) state(now time.Time) { w.stated = now }

// report applies the report of another host.
func (w *storeWatch) report(r StoreReport, otherDomain bool, now time.Time) {
	w.answered(r.From, r.Until)
	if otherDomain && now.Sub(r.Until) > outageThreshold {
		w.state(now)
	}
	if r.OutageFrom.IsZero() {
		return
	}
	if !r.OutageUntil.Before(now) {
		w.state(now)
	}
	if !w.lost.IsZero() && r.OutageFrom.Before(w.from) && r.OutageUntil.After(w.lost) {
		w.outage = true
	}
}

// status returns the report of this host.
func (w *storeWatch) status(now time.Time) StoreReport {
	r := StoreReport{From: w.from, Until: w.until}
	switch {
	case now.Sub(w.until) > outageThreshold && w.unavailable():
		r.OutageFrom, r.OutageUntil = w.until, now
	case w.outage && now.Sub(w.from) < OutageGrace:
		r.OutageFrom, r.OutageUntil = w.lost, w.from
	}
	return r
}

// recentOutage reports whether a lapse may be the effect of an outage: the store is
// unavailable, or returned less than OutageGrace ago.
func (w *storeWatch) recentOutage(now time.Time) bool {
	if w.until.IsZero() {
		return false
	}
	if now.Sub(w.until) > outageThreshold {
		return w.unavailable()
	}
	if w.lost.IsZero() {
		return false
	}
	since := now.Sub(w.from)
	return since < confirmationTime || w.outage && since < OutageGrace
}
