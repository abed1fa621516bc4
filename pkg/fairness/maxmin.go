package fairness

import "sort"

// MaxMin returns the max-min fair allocation of capacity to demands, in the
// order of demands. No demand gets more than it asks for, and what some do not
// use is shared equally by the others. Demands, capacity and result have the
// same unit and are not negative.
func MaxMin(demands []float64, capacity float64) []float64 {
	order := make([]int, len(demands))
	for i := range order {
		order[i] = i
	}
	sort.Slice(order, func(a, b int) bool { return demands[order[a]] < demands[order[b]] })
	shares := make([]float64, len(demands))
	for done, i := range order {
		shares[i] = min(demands[i], capacity/float64(len(order)-done))
		capacity -= shares[i]
	}
	return shares
}
