package membership

import (
	"slices"
	"strings"
	"time"
)

// index finds the entries of all publishers by kind and key.
type index map[string]map[string][]*seqEntry

func (x index) add(it *seqEntry) {
	if x[it.Kind] == nil {
		x[it.Kind] = map[string][]*seqEntry{}
	}
	x[it.Kind][it.Key] = append(x[it.Kind][it.Key], it)
}

func (x index) remove(it *seqEntry) {
	left := slices.DeleteFunc(x[it.Kind][it.Key], func(o *seqEntry) bool { return o == it })
	if len(left) > 0 {
		x[it.Kind][it.Key] = left
		return
	}
	delete(x[it.Kind], it.Key)
}

// get returns the entry in force: the one with the highest version, and among
// equal versions the one whose publisher's name sorts last, so that all hosts
// agree.
func (x index) get(kind, key string, now time.Time) (Entry, bool) {
	return inForce(x[kind][key], now)
}

func inForce(entries []*seqEntry, now time.Time) (Entry, bool) {
	var best *seqEntry
	for _, it := range entries {
		if it.expired(now) {
			continue
		}
		if best == nil || it.Version > best.Version || it.Version == best.Version && it.Host > best.Host {
			best = it
		}
	}
	if best == nil {
		return Entry{}, false
	}
	return best.Entry, true
}

// all returns the entries of a kind that are in force, in the order of keys.
func (x index) all(kind string, now time.Time) []Entry {
	var out []Entry
	for _, entries := range x[kind] {
		if e, ok := inForce(entries, now); ok {
			out = append(out, e)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return strings.Compare(a.Key, b.Key) })
	return out
}
