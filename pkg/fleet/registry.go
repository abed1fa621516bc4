package fleet

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
)

// OutageGrace is how long after the store's return an endpoint may take to
// announce itself again. The platform says about two seconds; the rest covers
// one heartbeat.
const OutageGrace = 3200 * time.Millisecond

// outageGap is the time without an answer of the store to any host from which on
// it counts as away. An announcement lapses after three heartbeats of more than a
// second without one.
const outageGap = 2 * time.Second

// Member is an endpoint of the fleet.
type Member struct {
	endpoint.Endpoint
	// Role is empty for plain services.
	Role endpoint.Role
	// Slots is the number of requests that it runs at once.
	Slots int
	// StartedMillis is when the endpoint started, in Unix milliseconds, Sequence
	// counts its announcements since then.
	StartedMillis, Sequence int64
	// Warming is how much longer it works slowly after its start.
	Warming time.Duration
	// Models are the names of the loaded models.
	Models []string
}

// olderThan reports whether m is an announcement from before o.
func (m Member) olderThan(o Member) bool {
	if m.StartedMillis != o.StartedMillis {
		return m.StartedMillis < o.StartedMillis
	}
	return m.Sequence < o.Sequence
}

// Change is what an announcement changed.
type Change string

// Changes.
const (
	Unchanged Change = ""
	Joined    Change = "joined"
	Restarted Change = "restarted"
	Moved     Change = "changed"
	Leaving   Change = "leaving"
	Gone      Change = "gone"
	Held      Change = "held"
)

// Registry is the set of endpoints. It is safe for concurrent use.
type Registry struct {
	mu sync.Mutex
	// The fields below are guarded by mu.
	members map[string]Member
	// missing holds when the announcement of a member that is still used lapsed.
	missing map[string]time.Time
	// answeredAt is when the store last answered a host, storeBackAt when it did so
	// for the first time after the last outage.
	answeredAt, storeBackAt time.Time
	version                 int64
	// lists caches Members; each change of the members empties it.
	lists map[string][]Member
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{members: map[string]Member{}, missing: map[string]time.Time{}, lists: map[string][]Member{}}
}

// StoreAnswered notes that the store answered a host, this one or another, at a
// time. A host that alone gets no answers is cut off: the announcements that lapse
// meanwhile say that their endpoints are gone.
func (r *Registry) StoreAnswered(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.answeredAt.IsZero() && at.Sub(r.answeredAt) > outageGap {
		r.storeBackAt = at
	}
	if at.After(r.answeredAt) {
		r.answeredAt = at
	}
}

// recentOutage must be called with mu held.
func (r *Registry) recentOutage(now time.Time) bool {
	return !r.answeredAt.IsZero() && now.Sub(r.answeredAt) > outageGap || !r.storeBackAt.IsZero() && now.Sub(r.storeBackAt) < OutageGrace
}

// Announce applies an announcement.
func (r *Registry) Announce(m Member) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, known := r.members[m.ID]
	if known && m.olderThan(old) {
		return Unchanged
	}
	delete(r.missing, m.ID)
	change := Unchanged
	switch {
	case !known:
		change = Joined
	case old.StartedMillis != m.StartedMillis:
		change = Restarted
	case old.State == endpoint.StateLive && m.State != endpoint.StateLive:
		change = Leaving
	case old.Role != m.Role || old.Address != m.Address || old.State != m.State || !slices.Equal(old.Models, m.Models):
		change = Moved
	}
	r.members[m.ID] = m
	clear(r.lists)
	if change != Unchanged {
		r.version++
	}
	return change
}

// Remove applies the lapse of an announcement.
func (r *Registry) Remove(id string, now time.Time) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.members[id]; !known {
		return Unchanged
	}
	if r.recentOutage(now) {
		r.missing[id] = now
		return Held
	}
	r.drop(id)
	return Gone
}

// drop must be called with mu held.
func (r *Registry) drop(id string) {
	delete(r.members, id)
	delete(r.missing, id)
	clear(r.lists)
	r.version++
}

// Reset replaces the set by a full listing, after records of the store were
// missed. It returns the members that are gone.
func (r *Registry) Reset(listed map[string]bool, now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var gone []string
	for id := range r.members {
		if listed[id] {
			continue
		}
		if r.recentOutage(now) {
			r.missing[id] = now
			continue
		}
		r.drop(id)
		gone = append(gone, id)
	}
	return gone
}

// Expire drops the members whose announcements are still missing OutageGrace
// after the store's return and returns them.
func (r *Registry) Expire(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.recentOutage(now) {
		return nil
	}
	var gone []string
	for id := range r.missing {
		r.drop(id)
		gone = append(gone, id)
	}
	return gone
}

// Members returns the endpoints of a service in the order of their ids. The list
// is shared and must not be changed.
func (r *Registry) Members(service string) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	if list, ok := r.lists[service]; ok {
		return list
	}
	var list []Member
	for _, m := range r.members {
		if m.Service == service {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	r.lists[service] = list
	return list
}

// Find returns the member with the id.
func (r *Registry) Find(id string) (Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[id]
	return m, ok
}

// Len returns the number of members.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.members)
}

// Version changes whenever the set or a member's state, role or address does.
func (r *Registry) Version() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}
