package bench

import (
	"runtime"
	"sync"
)

// DefaultSeed is the seed of the published results.
const DefaultSeed = 1

// Case is one combination to simulate.
type Case struct {
	Deployment Deployment
	Trace      Trace
	Policy     Policy
}

// Cases returns all combinations, ordered by deployment, trace and policy.
func Cases(deployments []Deployment, traces []Trace, policies []Policy) []Case {
	var cases []Case
	for _, d := range deployments {
		for _, t := range traces {
			for _, p := range policies {
				cases = append(cases, Case{d, t, p})
			}
		}
	}
	return cases
}

// RunAll runs the cases on half of the processors and returns the results in
// the order of the cases.
func RunAll(cases []Case, seed uint64) []Result {
	results := make([]Result, len(cases))
	next := make(chan int)
	var workers sync.WaitGroup
	for range max(1, runtime.GOMAXPROCS(0)/2) {
		workers.Go(func() {
			for i := range next {
				results[i] = Run(cases[i].Deployment, cases[i].Trace, cases[i].Policy, seed)
			}
		})
	}
	for i := range cases {
		next <- i
	}
	close(next)
	workers.Wait()
	return results
}
