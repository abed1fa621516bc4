package fleet

import (
	"slices"
	"strings"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/retryafter"
)

// maxLeaving bounds the endpoints that are remembered as leaving. Those that left
// longest ago, whose announcements have long lapsed, are forgotten first.
const maxLeaving = 4096

// obscuredTime is how long a member is kept whose newest record is of another writer. Live
// endpoints announce themselves each 1.2 s, and it takes up to 250 ms to read that.
const obscuredTime = 1600 * time.Millisecond

// Member is an endpoint as it last announced itself.
type Member struct {
	endpoint.Endpoint
	// Role is empty for plain services.
	Role endpoint.Role
	// Slots is the number of requests that the endpoint runs at once.
	Slots int
	// StartedMillis is when the endpoint started, in Unix milliseconds.
	// Sequence counts its announcements since then.
	StartedMillis, Sequence int64
	// WarmupRemaining is the remaining time for which the endpoint is slow after
	// its start.
	WarmupRemaining time.Duration
	// Models are the names of the loaded models.
	Models []string
}

func (m Member) olderThan(o Member) bool {
	if m.StartedMillis != o.StartedMillis {
		return m.StartedMillis < o.StartedMillis
	}
	return m.Sequence < o.Sequence
}

// Change is the effect of an announcement or of its lapse.
type Change string

const (
	// Unchanged means that nothing of interest changed, or that the
	// announcement was older than the last one.
	Unchanged Change = ""
	Joined    Change = "joined"
	// Restarted means that the endpoint's start time changed.
	Restarted Change = "restarted"
	// Updated means that the role, address, state, models, slots or software version
	// changed, or that the endpoint has begun or ended to warm up.
	Updated Change = "changed"
	// Confirmed means that the announcement had lapsed in an outage of the store and
	// the endpoint has announced itself again.
	Confirmed Change = "confirmed"
	// Leaving means that the endpoint is no longer live.
	Leaving Change = "leaving"
	// Removed means that the announcement lapsed and the endpoint was removed.
	Removed Change = "gone"
	// Retained means that the announcement lapsed in an outage of the store and
	// the endpoint is kept.
	Retained Change = "held"
)

// Registry is the set of known endpoints. It is safe for concurrent use.
type Registry struct {
	pauses retryafter.Pauses[instance]
	// misdirectedUntil holds until when the endpoints in misdirected are left out.
	misdirectedUntil retryafter.Pauses[instance]

	mu sync.Mutex
	// The fields below are guarded by mu.
	members map[string]Member
	// leaving holds the start times of the endpoints that MarkLeaving has marked.
	leaving *lru.LRU[string, int64]
	// misdirected holds the last announcements of the endpoints that MarkMisdirected has
	// marked.
	misdirected map[string]Member
	// lapsedAt holds when the announcements of retained members lapsed.
	lapsedAt map[string]time.Time
	// obscuredAt holds when members were found whose newest record is of another writer,
	// so that it is not known whether they have lapsed.
	obscuredAt map[string]time.Time
	store      storeWatch
	version    int64
	// membersByService caches the results of Members. Each change of a member
	// clears it; an announcement that only repeats the last one does not, so that
	// the cached members may have an earlier Sequence.
	membersByService map[string][]Member
	// membersByAddress caches what FindAddress returns; nil if it must be made anew.
	membersByAddress map[string]Member
}

// instance is one start of an endpoint.
type instance struct {
	id            string
	startedMillis int64
}

// NewRegistry returns a registry without members.
func NewRegistry() *Registry {
	// NewLRU fails only for sizes below one.
	leaving, _ := lru.NewLRU[string, int64](maxLeaving, nil)
	return &Registry{members: map[string]Member{}, leaving: leaving, misdirected: map[string]Member{}, lapsedAt: map[string]time.Time{}, obscuredAt: map[string]time.Time{}, membersByService: map[string][]Member{}}
}

// StoreAnswered records that the store answered this or another host at a time.
func (r *Registry) StoreAnswered(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.store.answered(at, at)
}

// StoreUnavailable records that the store has told this host that it is unavailable.
func (r *Registry) StoreUnavailable(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.store.state(now)
}

// StoreReported applies what another host has reported of the store. otherDomain says
// that the host is in another failure domain than this one.
func (r *Registry) StoreReported(report StoreReport, otherDomain bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.store.report(report, otherDomain, now)
}

// StoreStatus returns what this host knows of the store. Until is zero if no host was
// answered yet.
func (r *Registry) StoreStatus(now time.Time) StoreReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.status(now)
}

// RecentOutage reports whether endpoints whose announcements lapse are kept because the
// store is or was unavailable.
func (r *Registry) RecentOutage(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.store.recentOutage(now)
}

// Announce applies an announcement and returns what it changed. An endpoint belongs to one
// service from its start on: an announcement of the same start in another one is not its own.
func (r *Registry) Announce(m Member) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, known := r.members[m.ID]
	if known && (m.olderThan(old) || m.StartedMillis == old.StartedMillis && m.Service != old.Service) {
		return Unchanged
	}
	delete(r.obscuredAt, m.ID)
	r.endMisdirected(m)
	if started, marked := r.leaving.Peek(m.ID); marked && m.StartedMillis <= started && m.State == endpoint.StateLive {
		m.State = endpoint.StateLeaving
	}
	_, lapsed := r.lapsedAt[m.ID]
	delete(r.lapsedAt, m.ID)
	change := Unchanged
	switch {
	case !known:
		change = Joined
	case old.StartedMillis != m.StartedMillis:
		change = Restarted
	case old.State == endpoint.StateLive && m.State != endpoint.StateLive:
		change = Leaving
	case old.differs(m):
		change = Updated
	case lapsed:
		change = Confirmed
	}
	r.members[m.ID] = m
	if change != Unchanged {
		r.clearCaches()
		r.version++
	}
	return change
}

// MarkLeaving records that an endpoint that started at startedMillis has itself stated
// that it leaves. It is no longer live until it announces another start: announcements
// lag, and one that was written before the statement may arrive after it, even after
// the endpoint was removed. MarkLeaving reports whether the endpoint was live.
func (r *Registry) MarkLeaving(id string, startedMillis int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if started, marked := r.leaving.Peek(id); marked && startedMillis <= started {
		return false
	}
	r.leaving.Add(id, startedMillis)
	m, known := r.members[id]
	if !known || m.State != endpoint.StateLive || m.StartedMillis > startedMillis {
		return false
	}
	m.State = endpoint.StateLeaving
	r.members[id] = m
	r.clearCaches()
	r.version++
	return true
}

// Pause records that an endpoint wants no requests of this host for the time d. A
// shorter pause does not end a longer one; a restart of the endpoint does. Pause
// reports whether the endpoint was not paused before.
func (r *Registry) Pause(m Member, d time.Duration, now time.Time) bool {
	return r.pauses.Add(instance{m.ID, m.StartedMillis}, d, now)
}

// PausedUntil returns when the endpoint takes requests again. It is zero or in the
// past if the endpoint is neither paused nor left out because another instance answered
// at its address.
func (r *Registry) PausedUntil(m Member) time.Time {
	key := instance{m.ID, m.StartedMillis}
	paused, misdirected := r.pauses.Until(key), r.misdirectedUntil.Until(key)
	if misdirected.After(paused) {
		return misdirected
	}
	return paused
}

// Remove applies the lapse of an announcement. It returns Removed, or Retained
// after a recent outage, or Unchanged if the endpoint is unknown.
func (r *Registry) Remove(id string, now time.Time) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.members[id]; !known {
		return Unchanged
	}
	if r.store.recentOutage(now) {
		r.lapsedAt[id] = now
		return Retained
	}
	r.removeMember(id)
	return Removed
}

// removeMember must be called with mu held.
func (r *Registry) removeMember(id string) {
	delete(r.members, id)
	delete(r.misdirected, id)
	delete(r.lapsedAt, id)
	delete(r.obscuredAt, id)
	r.clearCaches()
	r.version++
}

// Reset applies a full listing of the store's announcements, which is needed
// after records of the store were missed. Members that are not listed are
// treated as lapsed. It returns the IDs of the members that were removed. obscured are
// those whose newest record is of another writer: they are kept for obscuredTime, in which
// live endpoints announce themselves again.
func (r *Registry) Reset(listed, obscured map[string]bool, now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var removed []string
	for id := range r.members {
		if listed[id] {
			continue
		}
		if obscured[id] {
			r.obscuredAt[id] = now
			continue
		}
		if r.store.recentOutage(now) {
			r.lapsedAt[id] = now
			continue
		}
		r.removeMember(id)
		removed = append(removed, id)
	}
	return removed
}

// Obscure records that the newest record of a member is of another writer, so that it is
// not known whether the member's announcement has lapsed. It is kept as by Reset.
func (r *Registry) Obscure(id string, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.members[id]; !known {
		return
	}
	if _, obscured := r.obscuredAt[id]; !obscured {
		r.obscuredAt[id] = now
	}
}

// Expire removes the members whose announcements are still missing OutageGrace
// after the store's return, or obscuredTime after they were found obscured. It returns
// their IDs.
func (r *Registry) Expire(now time.Time) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.store.recentOutage(now) {
		return nil
	}
	var removed []string
	for id := range r.lapsedAt {
		r.removeMember(id)
		removed = append(removed, id)
	}
	for id, at := range r.obscuredAt {
		if now.Sub(at) >= obscuredTime {
			r.removeMember(id)
			removed = append(removed, id)
		}
	}
	return removed
}

// Members returns the endpoints of a service, sorted by ID. The slice is shared
// and must not be modified.
func (r *Registry) Members(service string) []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	if list, ok := r.membersByService[service]; ok {
		return list
	}
	var list []Member
	for _, m := range r.members {
		if m.Service == service {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return strings.Compare(a.ID, b.ID) })
	r.membersByService[service] = list
	return list
}

// Find returns the member with the ID and whether there is one.
func (r *Registry) Find(id string) (Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[id]
	return m, ok
}

// FindAddress returns a member at the address and whether there is one. A live one is
// preferred: the address may be that of an endpoint that is gone.
func (r *Registry) FindAddress(address string) (Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.membersByAddress == nil {
		r.membersByAddress = make(map[string]Member, len(r.members))
		for _, m := range r.members {
			if _, found := r.membersByAddress[m.Address]; !found || m.State == endpoint.StateLive {
				r.membersByAddress[m.Address] = m
			}
		}
	}
	m, found := r.membersByAddress[address]
	return m, found
}

// clearCaches must be called with mu held when a member has changed.
func (r *Registry) clearCaches() {
	clear(r.membersByService)
	r.membersByAddress = nil
}

// Len returns the number of members of all services.
func (r *Registry) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.members)
}

// Version returns a number that increases with each Change of a member other than
// Retained.
func (r *Registry) Version() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}
