package routing

import "math/rand/v2"

// Picker chooses one of the scored candidates. It returns false if there is
// none.
type Picker interface {
	Pick(rng *rand.Rand, scored []Scored) (Candidate, bool)
}

// Best picks the highest score and breaks ties at random.
type Best struct{}

// Pick implements Picker.
func (Best) Pick(rng *rand.Rand, scored []Scored) (Candidate, bool) {
	return NearBest{}.Pick(rng, scored)
}

// NearBest picks at random among the candidates whose score is at most Margin
// below the best, so that hosts with the same load reports do not all choose
// the same endpoint. Margin is in units of the score, 0 to 1.
type NearBest struct{ Margin float64 }

// Pick implements Picker.
func (p NearBest) Pick(rng *rand.Rand, scored []Scored) (Candidate, bool) {
	if len(scored) == 0 {
		return Candidate{}, false
	}
	best := scored[0].Score
	for _, s := range scored[1:] {
		best = max(best, s.Score)
	}
	eligible := 0
	var chosen Candidate
	for _, s := range scored {
		if s.Score >= best-p.Margin {
			eligible++
			if rng.IntN(eligible) == 0 {
				chosen = s.Candidate
			}
		}
	}
	return chosen, true
}
