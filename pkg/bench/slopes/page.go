package slopes

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Markers around a generated table of the page. markerStart is followed by the
// name of the slope, or summaryName, and " -->".
const (
	markerStart = "<!-- slope "
	markerEnd   = "<!-- end of slope -->"
	summaryName = "summary"
)

// ReadReport decodes a report that Report.Write has written.
func ReadReport(data []byte) (Report, error) {
	var report Report
	return report, errors.Wrap(json.Unmarshal(data, &report), "decode results file")
}

// Known reports whether name is the name of a slope.
func Known(name string) bool { return slices.Contains(Names(), name) }

// UpdatePage returns the page with the tables between its markers generated from
// the report. It fails if a marker has no end or names a slope without a result.
func UpdatePage(page string, report Report) (string, error) {
	var out strings.Builder
	for {
		before, rest, found := strings.Cut(page, markerStart)
		out.WriteString(before)
		if !found {
			return out.String(), nil
		}
		name, rest, opened := strings.Cut(rest, " -->")
		_, rest, closed := strings.Cut(rest, markerEnd)
		if !opened || !closed {
			return "", errors.Errorf("marker of slope %q has no end", name)
		}
		table, err := report.table(name)
		if err != nil {
			return "", err
		}
		out.WriteString(markerStart + name + " -->\n" + table + markerEnd)
		page = rest
	}
}

// table returns the results of one slope as Markdown.
func (r Report) table(name string) (string, error) {
	if name == summaryName {
		return r.summary()
	}
	var out strings.Builder
	for _, result := range r.Results {
		if result.Name != name {
			continue
		}
		if out.Len() == 0 {
			out.WriteString(result.heading())
		}
		out.WriteString(result.row())
	}
	if out.Len() == 0 {
		return "", errors.Errorf("the report has no slope %q", name)
	}
	return out.String(), nil
}

func (r Result) heading() string {
	var sizes []string
	for _, s := range r.Sizes {
		sizes = append(sizes, number(s))
	}
	return fmt.Sprintf("`%s`: %s; sizes %s.\n\n", r.Command, r.Scenario, strings.Join(sizes, ", ")) +
		fmt.Sprintf("| measure | unit | per unit of size, ± error | R² | at today's %s | at the target's %s | limit | limit met at |\n", number(r.Today), number(r.Target)) +
		"|---|---|---|---|---|---|---|---|\n"
}

func (r Result) row() string {
	limit, met := "", ""
	if r.Budget > 0 {
		limit, met = number(r.Budget), "not met"
		if r.EndsAt > 0 {
			met = "size " + number(r.EndsAt)
		}
	}
	measure := r.Measure
	if r.Timed {
		measure += " (timed)"
	}
	return fmt.Sprintf("| %s | %s | %s ± %s | %.2f | %s | %s | %s | %s |\n",
		measure, r.Unit, number(r.Fit.Slope), number(r.Error), r.Fit.R2, number(r.At(r.Today)), number(r.At(r.Target)), limit, met)
}

// number formats x: below 1,000 and from a million on with three significant
// digits, in between as an integer with a thousands separator.
func number(x float64) string {
	magnitude := math.Abs(x)
	switch {
	case magnitude >= 1e6:
		return fmt.Sprintf("%.3g million", x/1e6)
	case magnitude >= 1000:
		n := int64(math.Round(x))
		return fmt.Sprintf("%d,%03d", n/1000, max(n, -n)%1000)
	default:
		return fmt.Sprintf("%.3g", x)
	}
}
