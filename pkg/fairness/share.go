package fairness

import (
	"math"
	"time"
)

const (
	// demandGrowth is the ratio of the work that a team may ask for to the work that
	// it had. Only served work is known; teams that were served less than they asked
	// for must be able to grow. A higher ratio takes more of the fair share of large
	// teams while small ones ask for no more than before.
	demandGrowth = 1.1
	// levelInterval is the age up to which the level is used. To compute it takes a few
	// passes over all teams, 1.5 ms with 13,000 of them.
	levelInterval = 500 * time.Millisecond
	// maxLevelPasses bounds these passes. The level converges within a few.
	maxLevelPasses = 20
	// overShareSlack is the multiple of an equal share up to which a team is never over
	// its share. Smaller differences may come from the delay of reports.
	overShareSlack = 1.25
)

// Share is a team's part of the recent work of all teams. The parts are between 0 and 1.
type Share struct {
	// Part is what the team had, Fair what it may have by max-min fairness.
	Part, Fair float64
	// Within is the part of all teams that had no more than Fair.
	Within float64
	// Teams is the number of teams that had work.
	Teams int
}

// Over reports whether the team had more than its fair share.
func (s Share) Over() bool { return s.over(overShareSlack) }

func (s Share) over(slack float64) bool {
	return s.Part > s.Fair && s.Part*float64(s.Teams) > slack
}

// Excess returns the ratio of what the team had to its fair share, 1 if it had less.
func (s Share) Excess() float64 {
	if s.Fair <= 0 {
		return 1
	}
	return max(1, s.Part/s.Fair)
}

// Share returns a team's part of the recent work. It is that of the last level, which is
// up to levelInterval old.
func (l *Ledger) Share(team string) Share {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.total <= 0 {
		return Share{Fair: 1}
	}
	if l.levelStale {
		l.computeLevel()
	}
	return Share{Part: l.served[team] / l.total, Fair: l.level / l.total, Within: l.within / l.total, Teams: len(l.served)}
}

// AddPeer counts tokens of work that another host served to the team.
func (l *Ledger) AddPeer(team string, tokens float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(team, tokens, now)
}

// computeLevel computes the service that no team may exceed by max-min fairness if each
// asks for demandGrowth times what it had and the capacity is what all had: the sum of
// the lesser of demand and level is the total. mu must be held.
func (l *Ledger) computeLevel() {
	l.levelStale = false
	level, limited := 0.0, len(l.served)
	rest := l.total
	for range maxLevelPasses {
		if limited == 0 {
			break
		}
		next := rest / float64(limited)
		if next <= level {
			break
		}
		level, rest, limited = next, l.total, 0
		for _, s := range l.served {
			if demand := demandGrowth * s; demand <= level {
				rest -= demand
			} else {
				limited++
			}
		}
	}
	l.level, l.within = level, 0
	for _, s := range l.served {
		if s <= level {
			l.within += s
		}
	}
}

// Largest returns the n teams with the most recent service, in tokens.
func (l *Ledger) Largest(n int, now time.Time) []TeamWork {
	l.mu.Lock()
	defer l.mu.Unlock()
	keep := math.Exp(-l.exponent(now))
	list := make([]TeamWork, 0, len(l.served))
	for team, s := range l.served {
		list = append(list, TeamWork{team, s * keep})
	}
	sortByWork(list)
	return list[:min(n, len(list))]
}
