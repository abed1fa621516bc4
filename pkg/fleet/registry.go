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
	// storeFailedAt and storeBackAt describe the last outage of the store.
	storeFailedAt, storeBackAt time.Time
	down                       bool
	version                    int64
	// lists caches Members; each change of the members empties it.
	lists map[string][]Member
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{members: map[string]Member{}, missing: map[string]time.Time{}, lists: map[string][]Member{}}
}

// StoreFailed notes that the store did not answer at now.
func (r *Registry) StoreFailed(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.down {
		r.storeFailedAt = now
	}
	r.down = true
}

// StoreAnswered notes that the store answered at now.
func (r *Registry) StoreAnswered(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		r.down, r.storeBackAt = false, now
	}
}

// Returned returns how long ago the store came back after an outage whose lapses
// may still come; zero if there is none.
func (r *Registry) Returned(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down || !r.recentOutage(now) {
		return 0
	}
	return max(now.Sub(r.storeBackAt), time.Nanosecond)
}

// NoteReturn notes an outage of the store that another host has seen end at a
// time.
func (r *Registry) NoteReturn(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.down && at.After(r.storeBackAt) {
		r.storeBackAt = at
	}
}

// recentOutage must be called with mu held.
func (r *Registry) recentOutage(now time.Time) bool {
	return r.down || !r.storeBackAt.IsZero() && now.Sub(r.storeBackAt) < OutageGrace
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
