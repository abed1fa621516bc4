package outlier

import "time"

const (
	// domainEjectionThreshold is the number of unreachable endpoints that eject
	// their failure domain if no other of its endpoints answers.
	domainEjectionThreshold = 4
	// unreachableMaxAge is how long an unreachable endpoint counts towards the
	// threshold. answerMaxAge is how long an answer from the domain to this
	// host prevents the ejection: a host with few requests sends to each domain
	// about once in this time.
	unreachableMaxAge = 3 * time.Second
	answerMaxAge      = time.Second
	// domainEjectionTime is the duration of a domain's ejection. It does not
	// grow, because a domain that is back is a large part of the fleet.
	domainEjectionTime = 1500 * time.Millisecond
)

// domain is what is known about the reachability of a failure domain. An
// endpoint that did not answer this host in time counts as unreachable as well.
type domain struct {
	// unreachable holds when each endpoint was last unreachable, from this or
	// another host.
	unreachable map[string]time.Time
	// unreachableAt and answeredAt are when this host's own requests last failed
	// to reach the domain and were last answered.
	unreachableAt, answeredAt, ejectedUntil time.Time
}

// recordAnswer records an answer from one of the domain's endpoints. It ends an
// ejection.
func (d *domain) recordAnswer(now time.Time) {
	clear(d.unreachable)
	d.answeredAt, d.ejectedUntil = now, time.Time{}
}

// recordUnreachable records an unreachable endpoint and reports whether this
// ejects the domain. own is set if this host's request failed. Reports of other
// hosts alone do not eject, because their links may be at fault.
func (d *domain) recordUnreachable(id string, own bool, now time.Time) bool {
	d.unreachable[id] = now
	if own {
		d.unreachableAt = now
	}
	for other, at := range d.unreachable {
		if now.Sub(at) > unreachableMaxAge {
			delete(d.unreachable, other)
		}
	}
	if len(d.unreachable) < domainEjectionThreshold || now.Sub(d.unreachableAt) > unreachableMaxAge || now.Sub(d.answeredAt) < answerMaxAge || now.Before(d.ejectedUntil) {
		return false
	}
	d.ejectedUntil = now.Add(domainEjectionTime)
	return true
}
