package burn

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/clementineshed/clementineshed/pkg/declaration"
)

const (
	// FastBurnRate raises AlertFast if both short windows reach it. At 6, a tenth
	// of the 72 h budget is gone after 72 minutes.
	FastBurnRate = 6
	// SlowBurnRate raises AlertSlow if both long windows reach it: the budget
	// does not last for its period.
	SlowBurnRate = 1
	// MinRequests is the number of requests in the last hour below which a team
	// is not reported as the worst-served one.
	MinRequests = 10
	// MaxTeamsListed bounds the teams listed per class.
	MaxTeamsListed = 20
	// hourWindow is the index of the one-hour window, by which teams are
	// compared and the time to exhaustion is estimated.
	hourWindow = 1
)

// Alert is the urgency of a class's burn rate.
type Alert string

// AlertFast takes precedence over AlertSlow.
const (
	AlertNone Alert = "none"
	AlertSlow Alert = "slow"
	AlertFast Alert = "fast"
)

// WindowReport holds the counts and rates of one window.
type WindowReport struct {
	Window  declaration.Duration `json:"window"`
	InTime  uint32               `json:"in_time"`
	Late    uint32               `json:"late"`
	Refused uint32               `json:"refused"`
	Failed  uint32               `json:"failed"`
	Unknown uint32               `json:"unknown"`
	// BurnRate is the rate at which the error budget is spent; 1 spends it
	// exactly by the end of the longest window.
	BurnRate float64 `json:"burn"`
	// Served is the share of all requests, refused ones included, answered in
	// time.
	Served float64 `json:"served"`
}

// Budget is the error budget of a class or team over the longest window.
type Budget struct {
	// Left is the remaining share of the budget, negative if overspent.
	Left float64 `json:"left"`
	// ExhaustedIn is the time until the budget is spent at the burn rate of the
	// last hour. It is nil if that rate is zero, and zero if the budget is
	// already spent.
	ExhaustedIn *declaration.Duration `json:"exhausted_in,omitempty"`
}

// TeamReport holds the results of one team in one class.
type TeamReport struct {
	Team    string                    `json:"team"`
	Windows [windowCount]WindowReport `json:"windows"`
	Budget  Budget                    `json:"budget"`
}

// ClassReport holds the results of one class.
type ClassReport struct {
	Class   declaration.Class         `json:"class"`
	Windows [windowCount]WindowReport `json:"windows"`
	Budget  Budget                    `json:"budget"`
	Alert   Alert                     `json:"alert"`
	Latency Latency                   `json:"latency"`
	// Worst is the worst-served team of the last hour among those with at least
	// MinRequests, or nil.
	Worst *TeamReport `json:"worst_team,omitempty"`
	// Teams lists up to MaxTeamsListed teams, the worst served of the last hour
	// first. TeamCount is the number of all teams.
	Teams     []TeamReport `json:"teams"`
	TeamCount int          `json:"team_count"`
	// BurnRateHistory is the burn rate per bucket of each window, the oldest
	// bucket first.
	BurnRateHistory [windowCount][classBuckets]float64 `json:"burn_history"`
}

// Report compares the results of all classes with the declared targets.
type Report struct {
	At      time.Time     `json:"at"`
	Hosts   int           `json:"hosts"`
	Classes []ClassReport `json:"classes"`
}

// Build evaluates a snapshot against the declared classes. Classes without a
// request are listed; counts of classes that are no longer declared are left
// out.
func Build(s Snapshot, classes []declaration.Class) Report {
	r := Report{At: time.UnixMilli(s.AtMillis).UTC(), Hosts: s.Hosts, Classes: []ClassReport{}}
	for _, class := range classes {
		r.Classes = append(r.Classes, buildClass(class, s.Classes[class.Name]))
	}
	sort.Slice(r.Classes, func(i, j int) bool { return r.Classes[i].Class.Name < r.Classes[j].Class.Name })
	return r
}

func buildClass(class declaration.Class, counts ClassCounts) ClassReport {
	windows := counts.History.Windows()
	c := ClassReport{
		Class: class, Windows: windowReports(windows, class.Share), Budget: budget(windows, class.Share),
		Latency: counts.Latency, Teams: []TeamReport{}, TeamCount: len(counts.Teams),
	}
	c.Alert = alert(c.Windows)
	for i := range counts.History {
		for j, bucket := range counts.History[i] {
			c.BurnRateHistory[i][j] = bucket.BurnRate(class.Share)
		}
	}
	for team, counts := range counts.Teams {
		c.Teams = append(c.Teams, TeamReport{team, windowReports(counts, class.Share), budget(counts, class.Share)})
	}
	sort.Slice(c.Teams, func(i, j int) bool { return worse(c.Teams[i], c.Teams[j]) })
	if len(c.Teams) > 0 && c.Teams[0].requests() >= MinRequests {
		worst := c.Teams[0]
		c.Worst = &worst
	}
	c.Teams = c.Teams[:min(len(c.Teams), MaxTeamsListed)]
	return c
}

func (t TeamReport) requests() uint64 {
	w := t.Windows[hourWindow]
	return Counts{w.InTime, w.Late, w.Refused, w.Failed, w.Unknown}.Total()
}

// worse orders teams with at least MinRequests before others, then by served
// share, then by name.
func worse(a, b TeamReport) bool {
	enoughA, enoughB := a.requests() >= MinRequests, b.requests() >= MinRequests
	if enoughA != enoughB {
		return enoughA
	}
	if x, y := a.Windows[hourWindow].Served, b.Windows[hourWindow].Served; x != y {
		return x < y
	}
	return a.Team < b.Team
}

func windowReports(counts WindowCounts, share float64) [windowCount]WindowReport {
	var reports [windowCount]WindowReport
	for i, window := range Windows() {
		c := counts[i]
		reports[i] = WindowReport{
			Window: declaration.Duration(window),
			InTime: c[InTime], Late: c[Late], Refused: c[Refused], Failed: c[Failed], Unknown: c[Unknown],
			BurnRate: c.BurnRate(share), Served: c.Served(),
		}
	}
	return reports
}

func budget(counts WindowCounts, share float64) Budget {
	period := Windows()[windowCount-1]
	b := Budget{Left: 1 - counts[windowCount-1].BurnRate(share)}
	rate := counts[hourWindow].BurnRate(share)
	if b.Left <= 0 {
		b.ExhaustedIn = new(declaration.Duration)
	} else if rate > 0 {
		in := declaration.Duration((time.Duration(b.Left / rate * float64(period))).Round(time.Second))
		b.ExhaustedIn = &in
	}
	return b
}

func alert(w [windowCount]WindowReport) Alert {
	if w[0].BurnRate >= FastBurnRate && w[1].BurnRate >= FastBurnRate {
		return AlertFast
	}
	if w[2].BurnRate >= SlowBurnRate && w[3].BurnRate >= SlowBurnRate {
		return AlertSlow
	}
	return AlertNone
}

// WriteJSON writes the report as indented JSON.
func (r Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteText writes the report as plain text.
func (r Report) WriteText(w io.Writer) error {
	p := &printer{w: w}
	p.line("burn report at %s from %d hosts", r.At.Format(time.RFC3339), r.Hosts)
	for _, c := range r.Classes {
		p.line("")
		p.line("class %s: target share %.3g, alert %s, budget left %.1f%%, %s",
			c.Class.Name, c.Class.Share, c.Alert, 100*c.Budget.Left, c.Budget.exhausted())
		p.windows("  ", c.Windows)
		l := c.Latency
		p.line("  first token mean %s max %s, between tokens mean %s max %s, completion mean %s max %s",
			formatLatency(l.FirstToken.Mean()), formatLatency(l.FirstToken.Max), formatLatency(l.BetweenTokens.Mean()), formatLatency(l.BetweenTokens.Max), formatLatency(l.Completion.Mean()), formatLatency(l.Completion.Max))
		if c.Worst != nil {
			p.line("  worst-served team: %s (served %.1f%% in the last hour)", c.Worst.Team, 100*c.Worst.Windows[hourWindow].Served)
		}
		for _, t := range c.Teams {
			p.line("  team %s: served %.1f%%, budget left %.1f%%, %s",
				t.Team, 100*t.Windows[hourWindow].Served, 100*t.Budget.Left, t.Budget.exhausted())
		}
		if more := c.TeamCount - len(c.Teams); more > 0 {
			p.line("  and %d more teams", more)
		}
	}
	return p.err
}

type printer struct {
	w   io.Writer
	err error
}

func (p *printer) line(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format+"\n", args...)
	}
}

func (p *printer) windows(indent string, windows [windowCount]WindowReport) {
	for _, w := range windows {
		p.line("%s%-4s burn %6.2f served %5.1f%% in time %d late %d refused %d failed %d unknown %d",
			indent, formatWindow(w.Window.Std()), w.BurnRate, 100*w.Served, w.InTime, w.Late, w.Refused, w.Failed, w.Unknown)
	}
}

func (b Budget) exhausted() string {
	if b.ExhaustedIn == nil {
		return "not exhausted at the rate of the last hour"
	}
	return "exhausted in " + b.ExhaustedIn.String()
}

func formatLatency(d time.Duration) string { return d.Round(100 * time.Microsecond).String() }

func formatWindow(d time.Duration) string {
	switch {
	case d%(24*time.Hour) == 0:
		return fmt.Sprintf("%dd", d/(24*time.Hour))
	case d%time.Hour == 0:
		return fmt.Sprintf("%dh", d/time.Hour)
	default:
		return fmt.Sprintf("%dm", d/time.Minute)
	}
}
