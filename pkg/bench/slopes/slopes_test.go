package slopes

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against a wrong fit or a wrong standard error of the slope.
func TestFitLine(t *testing.T) {
	fit, e := fitLine([]float64{1, 2, 3, 4}, []float64{3, 5, 7, 9})
	if math.Abs(fit.Intercept-1) > 1e-9 || math.Abs(fit.Slope-2) > 1e-9 || e > 1e-9 || fit.R2 < 0.999 {
		t.Errorf("exact line: %+v, error %g", fit, e)
	}
	// Residuals of 1 in pairs: the squared error is (4/2)/5.
	if _, e := fitLine([]float64{1, 2, 3, 4}, []float64{1, -1, -1, 1}); math.Abs(e-math.Sqrt(0.4)) > 1e-9 {
		t.Errorf("standard error of the slope is %g, want sqrt(0.4)", e)
	}
	if fit, _ := fitLine([]float64{1, 2, 3}, []float64{5, 5, 5}); fit.Slope != 0 || fit.R2 != 1 {
		t.Errorf("fit of equal values: %+v, want slope 0 and R2 1", fit)
	}
}

// Guards against values of the fitted line between measured sizes.
func TestAtInterpolatesMeasuredSizes(t *testing.T) {
	r := Result{Sizes: []float64{1, 3}, Values: []float64{10, 30}, Fit: Fit{Intercept: 5, Slope: 1}}
	for size, want := range map[float64]float64{0: 5, 1: 10, 2: 20, 3: 30, 4: 9} {
		if got := r.At(size); got != want {
			t.Errorf("size %g: %g, want %g", size, got, want)
		}
	}
}

// Guards against a results file without command, sizes, values, fit or error, and
// against hosts that still run after the measurement.
func TestEveryScenarioReports(t *testing.T) {
	ctx := context.Background()
	var report Report
	for _, run := range []func() ([]Result, error){
		func() ([]Result, error) { return Hosts(ctx, "cmd", []int{5, 10, 15}) },
		func() ([]Result, error) { return Teams(ctx, "cmd", []int{8, 16, 32}) },
		func() ([]Result, error) {
			return HostsQUIC(ctx, "cmd", []int{2, 3, 4}, QUICOptions{WarmUp: 100 * time.Millisecond, Window: 300 * time.Millisecond})
		},
	} {
		results, err := run()
		if err != nil {
			t.Fatal(err)
		}
		report.Results = append(report.Results, results...)
	}
	var buffer bytes.Buffer
	if err := report.Write(&buffer); err != nil {
		t.Fatal(err)
	}
	var decoded struct{ Results []map[string]any }
	if err := json.Unmarshal(buffer.Bytes(), &decoded); err != nil {
		t.Fatal(err)
	}
	for _, r := range decoded.Results {
		for _, field := range []string{"command", "sizes", "values", "fit", "error"} {
			if r[field] == nil {
				t.Errorf("%v: no %s", r["scenario"], field)
			}
		}
	}
	if _, err := Hosts(cancelled(), "cmd", []int{25}); err == nil {
		t.Error("Hosts with a cancelled context returned no error")
	}
}

func cancelled() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
