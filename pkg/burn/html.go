package burn

import (
	"fmt"
	"html/template"
	"io"
	"strings"
)

// Dimensions of a plot in SVG units.
const (
	plotWidth  = 280
	plotHeight = 80
	// plotMinTopRate is the least burn rate at the top edge of a plot. It keeps
	// the line of rate 1 visible.
	plotMinTopRate = 2
)

// plot is the data of one SVG plot.
type plot struct {
	Title  string
	Points string
	// UnitRateY is the y coordinate of burn rate 1.
	UnitRateY string
	TopRate   string
}

func plots(c ClassReport) []plot {
	var list []plot
	for i, window := range Windows() {
		top := float64(plotMinTopRate)
		for _, rate := range c.BurnRateHistory[i] {
			top = max(top, rate)
		}
		list = append(list, plot{
			Title:     formatWindow(window),
			Points:    polylinePoints(c.BurnRateHistory[i][:], top),
			UnitRateY: fmt.Sprintf("%.1f", plotHeight*(1-1/top)),
			TopRate:   fmt.Sprintf("%.1f", top),
		})
	}
	return list
}

func polylinePoints(rates []float64, top float64) string {
	var b strings.Builder
	for i, rate := range rates {
		x := float64(i) * plotWidth / float64(len(rates)-1)
		fmt.Fprintf(&b, "%.1f,%.1f ", x, plotHeight*(1-rate/top))
	}
	return strings.TrimSpace(b.String())
}

const page = `<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body{font:14px sans-serif;margin:2em;color:#222}
table{border-collapse:collapse;margin:.5em 0}
td,th{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd}
td:first-child,th:first-child{text-align:left}
svg{border:1px solid #ccc;margin-right:.5em}
figure{display:inline-block;margin:0 1em .5em 0}
.fast{color:#b00}.slow{color:#a60}
</style></head><body>
<h1>Service-level burn</h1>
<p>{{.At.Format "2006-01-02 15:04:05 MST"}}, {{.Hosts}} hosts. A burn rate of 1 (dashed) spends the error budget exactly in three days.</p>
{{range .Classes}}<section>
<h2>{{.Class.Name}} <small class="{{.Alert}}">alert: {{.Alert}}</small></h2>
<p>Target share {{.Class.Share}}; budget left {{percent .Budget.Left}}; {{exhausted .Budget}}.
{{with .Worst}}Worst-served team: <b>{{.Team}}</b>, {{percent (served .)}} served in the last hour.{{end}}</p>
{{range plots .}}<figure><figcaption>{{.Title}}, top {{.TopRate}}</figcaption>
<svg width="280" height="80" viewBox="0 0 280 80" role="img" aria-label="burn rate over {{.Title}}">
<line x1="0" x2="280" y1="{{.UnitRateY}}" y2="{{.UnitRateY}}" stroke="#999" stroke-dasharray="4"/>
<polyline points="{{.Points}}" fill="none" stroke="#06c" stroke-width="1.5"/></svg></figure>
{{end}}<table><tr><th>window</th><th>burn</th><th>served</th><th>in time</th><th>late</th><th>refused</th><th>failed</th><th>unknown</th></tr>
{{range .Windows}}<tr><td>{{short .Window.Std}}</td><td>{{printf "%.2f" .BurnRate}}</td><td>{{percent .Served}}</td><td>{{.InTime}}</td><td>{{.Late}}</td><td>{{.Refused}}</td><td>{{.Failed}}</td><td>{{.Unknown}}</td></tr>
{{end}}</table>
{{if .Teams}}<table><tr><th>team ({{len .Teams}} of {{.TeamCount}})</th><th>served, 1h</th><th>budget left</th><th>exhaustion</th></tr>
{{range .Teams}}<tr><td>{{.Team}}</td><td>{{percent (served .)}}</td><td>{{percent .Budget.Left}}</td><td>{{exhausted .Budget}}</td></tr>
{{end}}</table>{{end}}
</section>{{end}}</body></html>
`

// WriteHTML writes the report as one HTML page without external resources.
func (r Report) WriteHTML(w io.Writer) error {
	functions := template.FuncMap{
		"percent":   func(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) },
		"exhausted": Budget.exhausted,
		"served":    func(t any) float64 { return servedLastHour(t) },
		"plots":     plots,
		"short":     formatWindow,
	}
	t, err := template.New("burn").Funcs(functions).Parse(page)
	if err != nil {
		return err
	}
	return t.Execute(w, r)
}

// servedLastHour returns the served share of the last hour. The template passes
// the TeamReport as a value or as a pointer.
func servedLastHour(t any) float64 {
	switch t := t.(type) {
	case TeamReport:
		return t.Windows[hourWindow].Served
	case *TeamReport:
		return t.Windows[hourWindow].Served
	}
	return 0
}
