package bench

import (
	"fmt"
	"io"
	"time"
)

// WriteMarkdown writes results, in their order, as a Markdown table. It returns
// the first write error.
func WriteMarkdown(out io.Writer, results []Result) error {
	w := &lineWriter{out: out}
	w.line("| trace | policy | goodput | worst team | refused honest / wrong | lost | role changes / needed | spend / least | tolerant on cheap / within target / harmed | prefilled twice | first token p95 | between tokens p95 |")
	w.line("|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, r := range results {
		name := r.Policy
		if r.Baseline {
			name += " (baseline)"
		}
		w.line("| %s | %s | %.4f | %.3f | %d / %d | %d | %d / %d | %.2f / %.2f | %.2f / %.3f / %d | %.2f | %s | %s |",
			r.Trace, name, r.Goodput(), r.WorstTeam, r.RefusedCorrectly, r.RefusedWrongly, r.Lost,
			r.RoleChanges, r.RoleChangesNeeded, r.Spend, r.LeastSpend,
			r.TolerantOnReclaimable, r.TolerantMet, r.MissedAfterReclaim,
			share(r.PrefilledAgain, r.PrefilledTokens), formatQuantile(r.FirstTokenP95, time.Millisecond), formatQuantile(r.BetweenTokensP95, 100*time.Microsecond))
	}
	return w.err
}

// formatQuantile formats a 95% quantile. It is noAnswer if more than 5% of the
// requests had no answer.
func formatQuantile(d, unit time.Duration) string {
	if d >= noAnswer {
		return "none"
	}
	return d.Round(unit).String()
}

// WriteMisses writes misses as a Markdown table. It returns the first write
// error.
func WriteMisses(out io.Writer, misses []Miss) error {
	w := &lineWriter{out: out}
	w.line("| deployment | trace | target | measured |")
	w.line("|---|---|---|---|")
	for _, m := range misses {
		w.line("| %s | %s | %s | %s |", m.Deployment, m.Trace, m.Target, m.Measured)
	}
	return w.err
}

// lineWriter writes lines until the first error.
type lineWriter struct {
	out io.Writer
	err error
}

func (l *lineWriter) line(format string, args ...any) {
	if l.err == nil {
		_, l.err = fmt.Fprintf(l.out, format+"\n", args...)
	}
}
