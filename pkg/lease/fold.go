package lease

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/clementineshed/clementineshed/pkg/logservice"
)

// maxBufferedRecords bounds the records kept per key while its state is
// unknown. Two consecutive renewals of a live holder are a few records apart.
const maxBufferedRecords = 128

// decodedRecord is a record of the lease stream. body is set for claims,
// renewals and releases, ended for kindEnded.
type decodedRecord struct {
	offset int64
	kind   string
	body   leaseRecord
	ended  endedRecord
}

// lease is the folded state of one key.
type lease struct {
	// known is false while the records of the view do not determine the state.
	known bool
	// held is false if there has never been a holder.
	held bool
	term Term
	// lastAccepted is the offset of the last accepted record of the term, or
	// none.
	lastAccepted int64
	// termEnded is set if the holder has released the lease or its process has
	// ended.
	termEnded bool
	// predecessors are the uncleared earlier terms.
	predecessors []Term
	// termSince is the local time at which this view learned of the term. Every
	// earlier term had ended by then.
	termSince time.Time
	// supersededAt is, by host, the local time at which the term of another host
	// replaced the last term of the host.
	supersededAt map[string]time.Time
	// lastRecord is the offset of the last record of the key in this view,
	// accepted or not, or none.
	lastRecord int64
	// lastAcceptedAt and lastRecordAt are the local times at which the records
	// at lastAccepted and lastRecord were folded. Without such a record they are
	// the start of the view.
	lastAcceptedAt, lastRecordAt time.Time
	// buffer holds the last records of the key while known is false.
	buffer []decodedRecord
}

// streamState is the state folded from the lease stream. It is not safe for
// concurrent use.
type streamState struct {
	leases map[Key]*lease
	// start is the first offset of the view; records before it are unknown. startAt is
	// the local time at which the view began.
	start   int64
	startAt time.Time
	// era is that of the view; zero if the log states none. afterEarlierEra is set if the
	// log is known to have been in use in an earlier era.
	era             int64
	afterEarlierEra bool
	disabled        disabledGuards
}

func newStreamState(now time.Time, disabled disabledGuards) *streamState {
	return &streamState{leases: map[Key]*lease{}, startAt: now, disabled: disabled}
}

// truncated drops all state and restarts the view at offset oldest.
func (s *streamState) truncated(oldest int64, now time.Time) {
	s.leases = map[Key]*lease{}
	s.start, s.startAt = oldest, now
}

func (s *streamState) leaseOf(k Key) *lease {
	l := s.leases[k]
	if l == nil {
		l = &lease{known: s.start == 0 || s.disabled.trustTruncated, lastAccepted: none, lastRecord: none, lastAcceptedAt: s.startAt, lastRecordAt: s.startAt}
		if s.afterEarlierEra {
			l.predecessors = []Term{{Holder: UnknownHolder}}
		}
		s.leases[k] = l
	}
	return l
}

// fold applies one record. It returns the key of the record and whether the
// record was accepted. For a record that concerns no single key it returns the
// zero key.
func (s *streamState) fold(r logservice.Record, e logservice.Entry, now time.Time) (Key, bool) {
	rec := decodedRecord{offset: r.Offset, kind: e.Kind}
	switch e.Kind {
	case kindEnded:
		if json.Unmarshal(e.Body, &rec.ended) == nil {
			for _, l := range s.leases {
				l.foldEnded(rec)
			}
		}
		return Key{}, false
	case kindClaim, kindRenew, kindRelease:
		if json.Unmarshal(e.Body, &rec.body) != nil {
			return Key{}, false
		}
	default:
		return Key{}, false
	}
	l := s.leaseOf(rec.body.Key)
	if rec.body.Era != r.Era && !s.disabled.noEras {
		// Also a holder whose software states no era postpones the claims of others.
		s.noteEarlierEra()
		l.lastRecordAt = now
		return rec.body.Key, false
	}
	if _, ok := fenceOf(s.era, rec.offset); !ok && e.Kind == kindClaim {
		return rec.body.Key, false
	}
	accepted := s.foldDecoded(l, rec, now)
	l.lastRecord, l.lastRecordAt = rec.offset, now
	return rec.body.Key, accepted
}

func (s *streamState) foldDecoded(l *lease, rec decodedRecord, now time.Time) bool {
	if l.known {
		return l.apply(rec, now, s.disabled)
	}
	if rec.kind == kindClaim && rec.body.Quiet && max(l.lastRecord+1, s.start) <= rec.body.QuietSince {
		l.adopt(rec, now)
		l.buffer = nil
		return true
	}
	l.bufferRecord(rec)
	if rec.kind == kindRenew {
		return l.inferFromRenewal(rec, now, s.disabled)
	}
	return false
}

func (l *lease) bufferRecord(rec decodedRecord) {
	l.buffer = append(l.buffer, rec)
	if len(l.buffer) > maxBufferedRecords {
		l.buffer = l.buffer[1:]
	}
}

// inferFromRenewal derives the state from a renewal and reports whether the
// renewal was accepted. The writer of the renewal had folded its own previous
// record as accepted, so that record states the lease at its offset. The
// records after it are replayed.
func (l *lease) inferFromRenewal(renewal decodedRecord, now time.Time, disabled disabledGuards) bool {
	for i, rec := range l.buffer {
		if rec.offset != renewal.body.Previous || rec.kind == kindEnded {
			continue
		}
		accepted := false
		l.adopt(rec, now)
		for _, later := range l.buffer[i+1:] {
			if later.kind == kindEnded {
				l.foldEnded(later)
				continue
			}
			accepted = l.apply(later, now, disabled)
		}
		l.buffer = nil
		return accepted
	}
	return false
}

// adopt sets the state to that of an accepted claim or renewal.
func (l *lease) adopt(rec decodedRecord, now time.Time) {
	previous, wasHeld := l.term, l.held
	l.known, l.held, l.termEnded = true, true, false
	l.term = rec.body.Term
	if rec.kind == kindClaim {
		l.term.Fence, _ = fenceOf(rec.body.Era, rec.offset)
	}
	if !wasHeld || previous.Fence != l.term.Fence {
		l.beginTerm(previous, wasHeld, now)
	}
	l.lastAccepted, l.lastAcceptedAt = rec.offset, now
	l.predecessors = rec.body.Predecessors
}

// apply folds a record into a known state and reports whether it was accepted.
func (l *lease) apply(rec decodedRecord, now time.Time, disabled disabledGuards) bool {
	switch rec.kind {
	case kindClaim:
		if !l.accepts(rec) && !disabled.acceptAnyClaim {
			return false
		}
		l.adoptAndMerge(rec, l.unclearedTerms(), now)
		return true
	case kindRenew:
		if !l.holds(rec.body.Term) || l.termEnded {
			return false
		}
		l.adoptAndMerge(rec, l.predecessors, now)
		return true
	case kindRelease:
		l.removePredecessors(func(t Term) bool { return t.Holder == rec.body.Holder && t.Fence <= rec.body.Fence })
		if !l.holds(rec.body.Term) || l.termEnded {
			return false
		}
		l.termEnded, l.lastAccepted, l.lastAcceptedAt = true, rec.offset, now
		return true
	}
	return false
}

// unclearedTerms lists the predecessors of a new term that no proof has cleared
// yet.
func (l *lease) unclearedTerms() []Term {
	terms := append([]Term(nil), l.predecessors...)
	if l.held && !l.termEnded {
		terms = append(terms, l.term)
	}
	return terms
}

// adoptAndMerge adopts an accepted record in a known state. The predecessors
// are merged from the terms known here and those that the record states.
func (l *lease) adoptAndMerge(rec decodedRecord, known []Term, now time.Time) {
	stated := rec.body.Predecessors
	l.adopt(rec, now)
	l.predecessors = mergePredecessors(known, stated)
}

// mergePredecessors combines the uncleared terms that this view knows with
// those that a record states. Of two exact lists only the common terms stay. A
// term that only the view knows may have been cleared by proof that the writer
// had. A term that only the record states was cleared by a record that the
// writer had not folded. A list with UnknownHolder may lack terms, so an exact
// list takes precedence over it.
func mergePredecessors(known, stated []Term) []Term {
	isUnknown := func(t Term) bool { return t.Holder == UnknownHolder }
	knownInexact, statedInexact := slices.ContainsFunc(known, isUnknown), slices.ContainsFunc(stated, isUnknown)
	switch {
	case knownInexact && !statedInexact:
		return stated
	case statedInexact && !knownInexact:
		return known
	}
	var common []Term
	for _, t := range known {
		if slices.Contains(stated, t) {
			common = append(common, t)
		}
	}
	return common
}

// accepts reports whether the condition of a claim holds. The holder's last
// record has to be the one the claim names. For a quiet claim, the key must have
// no record since QuietSince.
func (l *lease) accepts(claim decodedRecord) bool {
	if claim.body.Quiet {
		return l.lastRecord < claim.body.QuietSince
	}
	return claim.body.Previous == l.lastAccepted
}

func (l *lease) holds(t Term) bool {
	return l.held && l.term.Holder == t.Holder && l.term.Fence == t.Fence
}

func (l *lease) foldEnded(rec decodedRecord) {
	if !l.known {
		l.bufferRecord(rec)
		return
	}
	match := func(t Term) bool {
		if rec.ended.Ended == UnknownHolder {
			return t.Holder == UnknownHolder
		}
		return t.Holder == rec.ended.Ended && t.Holder != rec.ended.By && t.Host == rec.ended.Host && t.Address == rec.ended.Address
	}
	l.removePredecessors(match)
	if l.held && match(l.term) {
		l.termEnded = true
	}
}

// removePredecessors removes the predecessors for which cleared is true. It
// builds a new list, so that lists handed out earlier do not change.
func (l *lease) removePredecessors(cleared func(Term) bool) {
	var kept []Term
	for _, t := range l.predecessors {
		if !cleared(t) {
			kept = append(kept, t)
		}
	}
	l.predecessors = kept
}
