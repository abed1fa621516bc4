package keyedlog

import (
	"context"
	"math/rand/v2"
	"time"
)

// Progress is how far a follower has followed its topic.
type Progress struct {
	// Era is the era of the store to which Next belongs, Next the offset of the next
	// record.
	Era, Next int64
	// At is when the store last answered a read of this host.
	At time.Time
}

// Progress returns how far the topic has been followed.
func (f *Follower) Progress() Progress {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Progress{Era: f.nextEra, Next: f.next.Load(), At: f.answeredAt}
}

// ObserveEra records that the store has reached an era. If it is newer than the one known,
// offsets of the earlier one mean nothing any more: a read in progress is begun again, and
// the whole state is loaded. The last state stays until then.
func (f *Follower) ObserveEra(era int64) {
	f.mu.Lock()
	if era <= f.era {
		f.mu.Unlock()
		return
	}
	f.era = era
	f.peerNext, f.confirmedAt = 0, time.Time{}
	f.spreadReload = true
	if f.cancel != nil && !f.reloading {
		f.interrupted = true
		f.cancel()
		f.cancel = nil
	}
	f.mu.Unlock()
	select {
	case f.peerAhead <- struct{}{}:
	default:
	}
	if f.opts.OnEra != nil {
		f.opts.OnEra(era)
	}
}

// eraOfAnswer returns the era of an answer that states one, to a read that began when the
// other one was known. ok is false if a newer one has become known meanwhile. An answer
// that states an older era than was known before its read is not from before the store
// was restored: its statement is wrong.
func (f *Follower) eraOfAnswer(stated, known int64) (era int64, ok bool) {
	era = max(stated, known)
	f.ObserveEra(era)
	f.mu.Lock()
	defer f.mu.Unlock()
	return era, era == f.era
}

// synced reports whether the state up to the next offset is complete and of the newest
// era.
func (f *Follower) synced() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.complete && f.nextEra == f.era
}

// moveTo sets the offset to read from, unless a newer era has become known.
func (f *Follower) moveTo(era, next int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if era != f.era {
		return false
	}
	f.nextEra = era
	f.next.Store(next)
	return true
}

// refutePeers drops an offset that another host has reported if the store has answered a
// later read that the topic ends before it: the report was of a state that is lost.
func (f *Follower) refutePeers(end int64, began time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.peerNext > end && began.After(f.peerNextAt) {
		f.peerNext = end
	}
}

// spreadReloads delays a reload that all hosts begin at once, because the store was
// restored, by a random part of ReloadSpread.
func (f *Follower) spreadReloads(ctx context.Context) {
	f.mu.Lock()
	spread := f.spreadReload
	f.spreadReload = false
	f.mu.Unlock()
	if !spread || !f.loaded || f.opts.ReloadSpread == nil {
		return
	}
	if most := f.opts.ReloadSpread(); most > 0 {
		f.pause(ctx, rand.N(most), nil)
	}
}
