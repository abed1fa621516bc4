package slopes

import (
	"encoding/json"
	"io"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Budgets of control work per host.
const (
	// BudgetCoreShare is the processor time as a share of one core.
	BudgetCoreShare = 0.016
	// BudgetHeapBytes is the live heap.
	BudgetHeapBytes = 64 << 20
	// BudgetBytesPerSecond is the network traffic, sent and received together.
	BudgetBytesPerSecond = 25_000
)

// Sizes of the target system.
const (
	TargetHosts   = 1500
	TargetDomains = 25
	TargetTeams   = 13_000
	TargetRunners = 10_000
)

// Sizes of the present deployments.
const (
	TodayHosts   = 8
	TodayDomains = 4
	TodayTeams   = 8
	TodayRunners = 16
)

// Measures of the membership slopes; some others use MeasureCPU.
const (
	MeasureMessages    = "messages per second and host"
	MeasureBytes       = "bytes per second and host"
	MeasureCPU         = "share of a core per host"
	MeasureHeap        = "heap bytes per host"
	MeasurePropagation = "seconds until an entry is at the last host"
)

// Fit is a least-squares line over sizes.
type Fit struct {
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// R2 is the share of the variance that the line explains.
	R2 float64 `json:"r2"`
}

// Result is one measure of a slope at several sizes, with the fitted line. It
// names no machine.
type Result struct {
	Command string `json:"command"`
	// Name is the name of the slope, as passed to --only.
	Name string `json:"name"`
	// Scenario describes what grows and how it is run.
	Scenario string `json:"scenario"`
	Measure  string `json:"measure"`
	// Unit is the unit of the values; sizes are counts.
	Unit string `json:"unit"`
	// Timed marks processor and elapsed times, which depend on the machine and
	// on other load on it.
	Timed  bool      `json:"timed,omitempty"`
	Sizes  []float64 `json:"sizes"`
	Values []float64 `json:"values"`
	Fit    Fit       `json:"fit"`
	// Error is the standard error of the slope.
	Error float64 `json:"error"`
	// Today and Target are the sizes in the present deployments and in the target
	// system.
	Today  float64 `json:"today"`
	Target float64 `json:"target"`
	// Budget is the limit of the value; zero for measures without one.
	Budget float64 `json:"budget,omitempty"`
	// EndsAt is the size at which the fitted line reaches the budget; zero
	// without a budget or if the line does not rise.
	EndsAt float64 `json:"ends_at,omitempty"`
}

// At returns the value at a size: interpolated between two measured sizes, and
// extrapolated by the fitted line beyond them.
func (r Result) At(size float64) float64 {
	for i := 1; i < len(r.Sizes); i++ {
		low, high := r.Sizes[i-1], r.Sizes[i]
		if low <= size && size <= high {
			share := (size - low) / (high - low)
			return r.Values[i-1] + share*(r.Values[i]-r.Values[i-1])
		}
	}
	return r.Fit.Intercept + r.Fit.Slope*size
}

// Report holds the results of a run; its JSON is the results file.
type Report struct {
	Results []Result `json:"results"`
}

// Write writes the report as indented JSON.
func (r Report) Write(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// figure is one measured value at one size.
type figure struct {
	measure, unit string
	value         float64
	// budget is the limit of the value; zero for none.
	budget float64
	timed  bool
}

// sweep describes what a slope varies.
type sweep struct {
	// name is passed to --only. text describes what grows and how it is run.
	name, text    string
	today, target float64
}

// scenario collects the points of one slope.
type scenario struct {
	sweep
	command string
	sizes   []float64
	// figures holds the figures of the first size, which define the order, units
	// and budgets. values holds the values of each measure in order of size.
	figures []figure
	values  map[string][]float64
}

func newScenario(command string, sw sweep) *scenario {
	return &scenario{sweep: sw, command: command, values: map[string][]float64{}}
}

// add appends the figures of one size; every size has the same measures.
func (s *scenario) add(size int, figures []figure) {
	if len(s.sizes) == 0 {
		s.figures = figures
	}
	s.sizes = append(s.sizes, float64(size))
	for _, f := range figures {
		s.values[f.measure] = append(s.values[f.measure], f.value)
	}
}

func (s *scenario) results() []Result {
	var out []Result
	for _, f := range s.figures {
		r := Result{
			Command: s.command, Name: s.name, Scenario: s.text, Measure: f.measure, Unit: f.unit, Timed: f.timed,
			Sizes: s.sizes, Values: s.values[f.measure], Today: s.today, Target: s.target, Budget: f.budget,
		}
		r.Fit, r.Error = fitLine(r.Sizes, r.Values)
		if r.Budget > 0 && r.Fit.Slope > 0 {
			r.EndsAt = max(0, (r.Budget-r.Fit.Intercept)/r.Fit.Slope)
		}
		out = append(out, r)
	}
	return out
}

// point holds the figures of one run of a membership slope. All but propagation,
// in seconds, are per host.
type point struct {
	messages, bytes, cpu, heap, propagation float64
}

func (p point) figures() []figure {
	return []figure{
		{measure: MeasureMessages, unit: "1/s", value: p.messages},
		{measure: MeasureBytes, unit: "B/s", value: p.bytes, budget: BudgetBytesPerSecond},
		{measure: MeasureCPU, unit: "cores", value: p.cpu, budget: BudgetCoreShare, timed: true},
		{measure: MeasureHeap, unit: "B", value: p.heap, budget: BudgetHeapBytes},
		{measure: MeasurePropagation, unit: "s", value: p.propagation, timed: true},
	}
}

// fitLine returns the least-squares line and the standard error of its slope.
// It needs at least three sizes.
func fitLine(x, y []float64) (Fit, float64) {
	intercept, slope := stat.LinearRegression(x, y, nil, false)
	fit := Fit{Intercept: intercept, Slope: slope, R2: stat.RSquared(x, y, nil, intercept, slope)}
	if math.IsNaN(fit.R2) || math.IsInf(fit.R2, 0) {
		// R2 is undefined for equal values; the line fits them exactly.
		fit.R2 = 1
	}
	var residuals, deviations float64
	mean := stat.Mean(x, nil)
	for i := range x {
		r := y[i] - intercept - slope*x[i]
		residuals += r * r
		deviations += (x[i] - mean) * (x[i] - mean)
	}
	return fit, math.Sqrt(residuals / float64(len(x)-2) / deviations)
}
