package lease

import "time"

// Clearance by time.
//
// A claim is accepted only after the earlier term has ended on the clock of its
// holder. A holder checks its term immediately before each order and abandons
// the order at the end of the term (Grant.Context). Where Options.OrderLifetime
// bounds how much later such an order can arrive, a successor that waits for this
// time needs no proof from earlier holders, which may be lost for good. A process
// that was paused between the check and the send may exceed the bound.
//
// Receivers that do not compare fencing tokens must not see two hosts take turns
// within one lease duration either. A host that held the lease, lost it to
// another host and holds it again therefore waits for the lease duration since
// its earlier term ended.

// supersededKept is how long the end of a host's term is remembered. It exceeds
// every lease duration.
const supersededKept = 10 * time.Minute

// beginTerm records that a view has learned of a new term. previous is the term
// before it if wasHeld is set.
func (l *lease) beginTerm(previous Term, wasHeld bool, now time.Time) {
	l.termSince = now
	if !wasHeld || previous.Host == l.term.Host {
		return
	}
	if l.supersededAt == nil {
		l.supersededAt = map[string]time.Time{}
	}
	for host, at := range l.supersededAt {
		if now.Sub(at) > supersededKept {
			delete(l.supersededAt, host)
		}
	}
	l.supersededAt[previous.Host] = now
}

// clearanceWait returns how long this process has to wait before its first order
// in the current term, zero or less if it may send now. Without OrderLifetime the
// caller has to obtain proofs by Uncleared. It must be called with mu held.
func (m *Manager) clearanceWait(l *lease, now time.Time) time.Duration {
	if m.opts.OrderLifetime <= 0 {
		return 0
	}
	wait := time.Duration(0)
	if !m.disabled.noClearance {
		// A released or ended term counts as well: an order that its holder had
		// abandoned may still be on the network.
		wait = l.termSince.Add(m.opts.OrderLifetime).Sub(now)
	}
	if m.disabled.noTurnPause {
		return wait
	}
	endedAt, held := l.supersededAt[m.opts.Host]
	if !held && (m.state.start > 0 || m.state.afterEarlierEra) {
		// Records that are truncated or lost may have held an earlier term of this host.
		endedAt, held = m.state.startAt, true
	}
	if held {
		wait = max(wait, endedAt.Add(m.opts.Duration).Sub(now))
	}
	return wait
}
