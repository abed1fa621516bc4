package slopes

import (
	"fmt"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/once"
)

// Load of the target system.
const (
	targetRequestsPerSecond = 150_000
	// teamsPerHost bounds the teams that one host serves within a usage window
	// of 60 s: 100 requests a second come from at most 6,000 teams.
	teamsPerHost = targetRequestsPerSecond / TargetHosts * 60
)

const (
	// dedupPeriod is how long an entry host remembers an Idempotency-Key.
	dedupPeriod = time.Hour
	// retainedUsageWindows is the number of windows for which the usage fold
	// keeps the counts of each host.
	retainedUsageWindows = 120
)

// scale is the size and load of a whole system; chunks and attempts are those
// that one host holds.
type scale struct {
	hosts, domains, teams, teamsPerHost, runners, requestsPerSecond, chunks, attempts float64
}

var (
	today = scale{
		hosts: TodayHosts, domains: TodayDomains, teams: TodayTeams, teamsPerHost: TodayTeams, runners: TodayRunners,
		requestsPerSecond: 200, chunks: 20_000, attempts: 1000,
	}
	target = scale{
		hosts: TargetHosts, domains: TargetDomains, teams: TargetTeams, teamsPerHost: teamsPerHost, runners: TargetRunners,
		requestsPerSecond: targetRequestsPerSecond, chunks: 200_000, attempts: 20_000,
	}
)

// lookup reads values from the results of a report. It keeps the last error
// in err.
type lookup struct {
	report Report
	err    error
}

// at returns Result.At of the first result of the slope whose measure has the
// given prefix, or 0 if that is negative. A missing result sets l.err.
func (l *lookup) at(name, measure string, size float64) float64 {
	for _, r := range l.report.Results {
		if r.Name == name && strings.HasPrefix(r.Measure, measure) {
			return max(0, r.At(size))
		}
	}
	l.err = errors.Errorf("the report has no measure %q of slope %q", measure, name)
	return 0
}

// derivedFigure is a figure of one host that is computed from one or more slopes.
type derivedFigure struct {
	role, text, unit string
	slopes           []string
	budget           float64
	value            func(l *lookup, s scale) float64
}

func derivedFigures() []derivedFigure {
	return []derivedFigure{
		{"entry host, request path", "processor time that the gate adds; this is work for callers and has no budget of control work", "cores", []string{"entry-path"}, 0,
			func(l *lookup, s scale) float64 {
				return l.at("entry-path", "processor time that the gate adds", meanOutputTokens) / 1e6 * s.requestsPerSecond / s.hosts
			}},
		{"membership", "bytes per second over QUIC with the hosts of one domain", "B/s", []string{"membership-quic"}, BudgetBytesPerSecond,
			func(l *lookup, s scale) float64 { return l.at("membership-quic", MeasureBytes, s.hosts/s.domains) }},
		{"membership", "share of a core over QUIC", "cores", []string{"membership-quic"}, BudgetCoreShare,
			func(l *lookup, s scale) float64 { return l.at("membership-quic", MeasureCPU, s.hosts/s.domains) }},
		{"routing state", "bytes per second of polls", "B/s", []string{"routing-poll"}, BudgetBytesPerSecond,
			func(l *lookup, s scale) float64 { return l.at("routing-poll", "bytes per second", s.runners) }},
		{"routing state", "processor time of snapshots and reports", "cores", []string{"routing-table"}, BudgetCoreShare,
			func(l *lookup, s scale) float64 {
				return l.at("routing-table", "processor time of ten", s.runners) + l.at("routing-table", "processor time of storing", s.runners)
			}},
		{"fairness", "bytes per second of gossip received, every host serving every team", "B/s", []string{"fairness-teams"}, BudgetBytesPerSecond,
			func(l *lookup, s scale) float64 {
				return (s.hosts - 1) * l.at("fairness-teams", "size of one host's", s.teams)
			}},
		{"configuration and keys", "bytes read from the log when all hosts of a failure domain start", "B", []string{"config-teams"}, 0,
			func(l *lookup, s scale) float64 {
				return s.hosts / s.domains * l.at("config-teams", "bytes of a snapshot", s.teams)
			}},
		{"endpoint orders", "processor time of the holder's decisions", "cores", []string{"decisions", "config-teams"}, BudgetCoreShare,
			func(l *lookup, s scale) float64 {
				return l.at("decisions", "processor time of decisions on roles", s.runners) + l.at("decisions", "processor time of decisions on endpoints", s.runners) +
					l.at("config-teams", "processor time of reading the declared kinds", s.teams)
			}},
		{"at-most-once", "orders per second of the whole system at which the table's bound is met (not a cost; it does not grow)", "1/s", []string{"once-attempts"}, 0,
			func(l *lookup, _ scale) float64 {
				return once.DefaultMaxAttempts / l.at("once-attempts", "attempts held", 1) / dedupPeriod.Seconds()
			}},
		{"at-most-once", "orders per second of the whole system at which a host's reads meet 25 KB/s (not a cost)", "1/s", []string{"once-attempts"}, 0,
			func(l *lookup, _ scale) float64 {
				return BudgetBytesPerSecond / (l.at("once-attempts", "bytes appended", 10_000) / 10_000)
			}},
		{"usage", "heap of the fold for two hours of windows of 8 teams", "B", []string{"usage-hosts"}, BudgetHeapBytes,
			func(l *lookup, s scale) float64 {
				return retainedUsageWindows / measuredUsageWindows * l.at("usage-hosts", "heap of the fold", s.hosts)
			}},
		{"usage", "bytes per second of all hosts' flushes, which every host reads", "B/s", []string{"usage-teams"}, BudgetBytesPerSecond,
			func(l *lookup, s scale) float64 {
				return s.hosts * l.at("usage-teams", "bytes per second that one host", s.teamsPerHost)
			}},
		{"log", "appends per second: usage flushes, leases, starts; without orders", "1/s", []string{"usage-hosts", "leases", "config-hosts"}, 300,
			func(l *lookup, s scale) float64 {
				const startsPerSecond = 1600.0 / (24 * 60 * 60)
				return l.at("usage-hosts", "appends", s.hosts) + l.at("leases", "appends", s.domains*leasesPerDomain) +
					startsPerSecond*s.hosts/TargetHosts*l.at("config-hosts", "appends", 1)
			}},
		{"all of it", "heap of configuration, endpoint table, prefix index, fairness (8 hosts), attempts and burn counters", "B",
			[]string{"config-teams", "routing-table", "prefix-index", "fairness-teams", "once-attempts", "burn-pairs"}, BudgetHeapBytes,
			func(l *lookup, s scale) float64 {
				return l.at("config-teams", "heap", s.teams) + l.at("routing-table", "heap", s.runners) + l.at("prefix-index", "heap", s.chunks) +
					l.at("fairness-teams", "heap", s.teams) + l.at("once-attempts", "heap", s.attempts) + l.at("burn-pairs", "heap", s.teams*3/2)
			}},
	}
}

// summary returns the derived figures as Markdown.
func (r Report) summary() (string, error) {
	l := &lookup{report: r}
	var out strings.Builder
	out.WriteString("| role | figure of one host | unit | today | target | limit | from |\n|---|---|---|---|---|---|---|\n")
	for _, d := range derivedFigures() {
		limit := ""
		if d.budget > 0 {
			limit = number(d.budget)
		}
		_, _ = fmt.Fprintf(&out, "| %s | %s | %s | %s | %s | %s | `clementineshed bench slopes --only %s` |\n",
			d.role, d.text, d.unit, number(d.value(l, today)), number(d.value(l, target)), limit, strings.Join(d.slopes, ","))
	}
	return out.String(), l.err
}
