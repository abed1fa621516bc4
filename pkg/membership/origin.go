package membership

import (
	"slices"
	"sort"
	"time"
)

// entryKey identifies an entry within an incarnation.
type entryKey struct{ kind, key string }

// seqEntry is an entry with its sequence number and its expiry time (zero if
// unlimited).
type seqEntry struct {
	Entry
	seq     uint64
	expires time.Time
}

func (e *seqEntry) expired(now time.Time) bool { return !e.expires.IsZero() && !now.Before(e.expires) }

// streamState is one stream of an incarnation: its current entries in the order
// of sequence numbers.
type streamState struct {
	// through is the sequence number up to which every current entry is known.
	through uint64
	byKey   map[entryKey]*seqEntry
	// order may also hold entries that were replaced, until set removes them.
	order []*seqEntry
}

// set stores an entry, which must have the highest sequence number so far.
func (st *streamState) set(it *seqEntry) {
	if st.byKey == nil {
		st.byKey = map[entryKey]*seqEntry{}
	}
	st.byKey[entryKey{it.Kind, it.Key}] = it
	st.order = append(st.order, it)
	if len(st.order) > 2*len(st.byKey)+16 {
		st.order = slices.DeleteFunc(st.order, func(o *seqEntry) bool { return !st.current(o) })
	}
}

func (st *streamState) current(it *seqEntry) bool { return st.byKey[entryKey{it.Kind, it.Key}] == it }

// since calls visit with the current entries after seq, in order, until visit
// returns false.
func (st *streamState) since(seq uint64, now time.Time, visit func(*seqEntry) bool) {
	start := sort.Search(len(st.order), func(i int) bool { return st.order[i].seq > seq })
	for _, it := range st.order[start:] {
		if st.current(it) && !it.expired(now) && !visit(it) {
			return
		}
	}
}

// expire drops and returns the entries whose TTL has ended.
func (st *streamState) expire(now time.Time) []*seqEntry {
	var out []*seqEntry
	for n, it := range st.byKey {
		if it.expired(now) {
			delete(st.byKey, n)
			out = append(out, it)
		}
	}
	return out
}

// origin is everything known of one incarnation.
type origin struct {
	Incarnation
	id        uint64
	heartbeat uint64
	// advanced is when the heartbeat last rose.
	advanced time.Time
	streams  [streamCount]streamState
	// superseded is set when the incarnation has ended; only its lasting entries
	// are kept.
	superseded bool
}

func newOrigin(i Incarnation, now time.Time) *origin {
	return &origin{Incarnation: i, id: i.id(), advanced: now}
}

// seqs returns the highest sequence number known per stream.
func (o *origin) seqs() [streamCount]uint64 {
	var out [streamCount]uint64
	for i := range o.streams {
		out[i] = o.streams[i].through
	}
	return out
}

func (o *origin) vector() vectorItem {
	return vectorItem{ID: o.id, Heartbeat: o.heartbeat, Seqs: o.seqs()}
}

// hash is the origin's part of its domain's hash; zero without global entries.
func (o *origin) hash() uint64 {
	var hash uint64
	for s := streamDomain + 1; s < streamCount; s++ {
		if through := o.streams[s].through; through > 0 {
			hash ^= mix(mix(o.id, uint64(s)), through)
		}
	}
	return hash
}

// delta collects what a peer that knows a stream up to seq lacks, within budget
// bytes. The last entry may exceed the budget, so that an entry of any size gets
// through.
func (o *origin) delta(s stream, seq uint64, now time.Time, budget *int) delta {
	d := o.emptyDelta()
	st := &o.streams[s]
	d.Base[s] = seq
	d.Through[s] = st.through
	last := seq
	st.since(seq, now, func(it *seqEntry) bool {
		if *budget <= 0 {
			d.Through[s] = last
			return false
		}
		w := it.wire(s, now)
		*budget -= w.size()
		d.Entries = append(d.Entries, w)
		last = it.seq
		return true
	})
	return d
}

// emptyDelta is a delta without entries, which announces the incarnation.
func (o *origin) emptyDelta() delta {
	return delta{Origin: o.Incarnation, Heartbeat: o.heartbeat}
}

func (e *seqEntry) wire(s stream, now time.Time) wireEntry {
	w := wireEntry{Stream: s, Seq: e.seq, Kind: e.Kind, Key: e.Key, Version: e.Version, Value: e.Value}
	if !e.expires.IsZero() {
		w.TTLMillis = max(1, e.expires.Sub(now).Milliseconds())
	}
	return w
}

func (w wireEntry) seqEntry(host string, now time.Time) *seqEntry {
	it := &seqEntry{seq: w.Seq, Entry: Entry{
		Kind: w.Kind, Key: w.Key, Version: w.Version, Value: w.Value, Host: host,
		TTL:     time.Duration(w.TTLMillis) * time.Millisecond,
		Lasting: w.Stream == streamLasting, Bulk: w.Stream == streamBulk,
	}}
	if w.Stream != streamDomain {
		it.Scope = ScopeGlobal
	}
	if it.TTL > 0 {
		it.expires = now.Add(it.TTL)
	}
	return it
}
