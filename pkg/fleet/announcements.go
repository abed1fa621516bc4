package fleet

import "slices"

// Announcements holds the last announcement of each endpoint. Unlike a Registry it
// depends on the announcements alone, and not on what else this host knows of the
// endpoints, so that it tells which announcements are news to any other host. It is not
// safe for concurrent use.
type Announcements struct {
	last map[string]Member
	// obscured holds the endpoints after whose last announcement another writer has
	// written a record of their key.
	obscured map[string]bool
}

// NewAnnouncements returns announcements of no endpoint.
func NewAnnouncements() *Announcements {
	return &Announcements{last: map[string]Member{}, obscured: map[string]bool{}}
}

// Announce records an announcement and reports whether it differs from the endpoint's
// last one in more than its sequence, or follows a record of another writer: a host that
// has read the newest records of all keys may know only that one. An announcement that is
// older than the last is ignored, as by Registry.Announce.
func (a *Announcements) Announce(m Member) bool {
	obscured := a.obscured[m.ID]
	delete(a.obscured, m.ID)
	old, known := a.last[m.ID]
	if known && old.Service == m.Service && m.olderThan(old) {
		return obscured
	}
	a.last[m.ID] = m
	return obscured || !known || old.StartedMillis != m.StartedMillis || old.Service != m.Service || old.differs(m)
}

// Obscure records that another writer has written a record of the endpoint's key.
func (a *Announcements) Obscure(id string) { a.obscured[id] = true }

// Lapse records that the announcement of an endpoint has lapsed.
func (a *Announcements) Lapse(id string) {
	delete(a.last, id)
	delete(a.obscured, id)
}

// Reset forgets all announcements.
func (a *Announcements) Reset() {
	clear(a.last)
	clear(a.obscured)
}

// differs reports whether two announcements of one start of an endpoint differ in what
// decides on its requests.
func (m Member) differs(o Member) bool {
	return m.Role != o.Role || m.Address != o.Address || m.State != o.State || !slices.Equal(m.Models, o.Models) ||
		m.Slots != o.Slots || m.SoftwareVersion != o.SoftwareVersion || (m.WarmupRemaining > 0) != (o.WarmupRemaining > 0)
}
