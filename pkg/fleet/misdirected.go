package fleet

import "time"

// misdirectedTime is how long an endpoint at whose address another instance answered is
// left out without a new announcement. One that is not repeated lapses within about
// four seconds, so that an announcement that is still there has been repeated, which the
// leaders do not pass on.
const misdirectedTime = 5 * time.Second

// MarkMisdirected records that another instance answered at the address of an endpoint.
// The endpoint is not used until it announces itself again. MarkMisdirected reports
// whether it was used before.
func (r *Registry) MarkMisdirected(m Member, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if current, known := r.members[m.ID]; known && m.olderThan(current) {
		if m.StartedMillis != current.StartedMillis || m.Address != current.Address {
			// It has announced another start or address since the request was sent.
			return false
		}
		m = current
	}
	r.misdirected[m.ID] = m
	return r.misdirectedUntil.Add(instance{m.ID, m.StartedMillis}, misdirectedTime, now)
}

// endMisdirected ends the exclusion of an endpoint by a later announcement. It must be
// called with mu held.
func (r *Registry) endMisdirected(m Member) {
	if marked, found := r.misdirected[m.ID]; found && marked.olderThan(m) {
		r.misdirectedUntil.End(instance{marked.ID, marked.StartedMillis})
		delete(r.misdirected, m.ID)
	}
}
