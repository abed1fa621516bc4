package relayhost

import "testing"

// Guards against reports of teams' work that grow with the number of hosts, and against
// a large fleet that reports nothing.
func TestTeamReportsAreBounded(t *testing.T) {
	for _, hosts := range []int{0, 1, 6, 62, 300, 1500} {
		const steps = 1000
		sum := 0
		for i := range steps {
			sum += teamReportLimit(hosts, float64(i)/steps)
		}
		if mean := float64(sum) / steps * float64(max(hosts, 1)); sum == 0 || mean > teamReportsPerInterval*1.02 {
			t.Errorf("%d hosts report %.0f teams in an interval", hosts, mean)
		}
	}
}
