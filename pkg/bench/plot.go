package bench

import (
	"image/color"
	"path/filepath"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Plots writes an SVG file for each deployment with the goodput, and one with the
// time to first token, of all policies on the swing trace. It returns the names
// of the files in dir.
func Plots(dir string, results []Result) ([]string, error) {
	var names []string
	for _, d := range Deployments() {
		var swing []Result
		for _, r := range results {
			if r.Trace == "swing" && r.Deployment == d.Name {
				swing = append(swing, r)
			}
		}
		goodput := func(p Point) float64 { return share(p.Good, p.Offered) }
		first := func(p Point) float64 { return min(p.FirstTokenP95.Seconds(), 5) }
		for _, figure := range []struct {
			name, label string
			value       func(Point) float64
		}{{"goodput", "goodput (share)", goodput}, {"first-token", "first token p95 (s, cut at 5)", first}} {
			name := "swing-" + d.Name + "-" + figure.name + ".svg"
			if err := savePlot(filepath.Join(dir, name), d.Name, figure.label, swing, figure.value); err != nil {
				return nil, err
			}
			names = append(names, name)
		}
	}
	return names, nil
}

func savePlot(path, title, label string, results []Result, value func(Point) float64) error {
	p := plot.New()
	p.Title.Text = title + ": swing"
	p.X.Label.Text = "time (s)"
	p.Y.Label.Text = label
	p.Legend.Top = true
	for i, r := range results {
		points := make(plotter.XYs, len(r.Timeline))
		for k, at := range r.Timeline {
			points[k] = plotter.XY{X: at.At.Seconds(), Y: value(at)}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.Wrap(err, "plot "+r.Policy)
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i/7)
		if r.Policy == Current().Name {
			line.Color, line.Width = color.Black, vg.Points(2.5)
		}
		p.Add(line)
		p.Legend.Add(r.Policy, line)
	}
	return errors.Wrap(p.Save(10*vg.Inch, 5*vg.Inch, path), "save plot")
}
