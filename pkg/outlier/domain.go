package outlier

import "time"

const (
	// domainSilent is the number of silent endpoints, without an answer from any
	// other of their failure domain, that stand for the whole domain.
	domainSilent = 4
	// evidenceAge is how long a silent endpoint counts for that, and answerAge how
	// long an own answer from the domain speaks against it: with few requests a host
	// asks each domain about once in this time.
	evidenceAge = 3 * time.Second
	answerAge   = time.Second
	// domainEjection is how long a domain is left alone. It does not grow: a domain
	// that is back is a large part of the fleet.
	domainEjection = 1500 * time.Millisecond
)

// domain is what is known of the way to a failure domain.
type domain struct {
	// silent holds when the endpoints were last silent, here or at another host.
	silent map[string]time.Time
	// silentAt and answeredAt are of this host's own requests.
	silentAt, answeredAt, until time.Time
}

// answered notes an answer of one of the domain's endpoints.
func (d *domain) answered(now time.Time) {
	clear(d.silent)
	d.answeredAt, d.until = now, time.Time{}
}

// fell notes a silent endpoint and reports whether the domain is ejected by it. The
// words of other hosts alone do not eject: their links may be at fault.
func (d *domain) fell(id string, own bool, now time.Time) bool {
	d.silent[id] = now
	if own {
		d.silentAt = now
	}
	for other, at := range d.silent {
		if now.Sub(at) > evidenceAge {
			delete(d.silent, other)
		}
	}
	if len(d.silent) < domainSilent || now.Sub(d.silentAt) > evidenceAge || now.Sub(d.answeredAt) < answerAge || now.Before(d.until) {
		return false
	}
	d.until = now.Add(domainEjection)
	return true
}
