package relayhost

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/clementineshed/clementineshed/pkg/placement"
)

const (
	// teamInterval is how often a host reports the work that it has sent for teams.
	teamInterval = 500 * time.Millisecond
	// teamReportsPerInterval bounds the reports of all hosts in a teamInterval. One takes
	// about 50 bytes, so that a host receives up to 20 KB a second.
	teamReportsPerInterval = 200
	// maxTeamReports bounds those of one host.
	maxTeamReports = 32
	// teamSweepInterval is how often teams without recent work are forgotten.
	teamSweepInterval = 10 * time.Second
	// metricTeams is the number of teams, those with the most work, in the metrics.
	metricTeams = 5
)

// teamReportLimit returns how many teams a host reports in one interval. If there are
// more hosts than reports, hosts report by turns at random; random is from 0 to below 1.
func teamReportLimit(hosts int, random float64) int {
	return min(int(teamReportsPerInterval/float64(max(hosts, 1))+random), maxTeamReports)
}

// runTeams reports the work that this host has sent for teams until ctx ends.
func (h *Host) runTeams(ctx context.Context) {
	ticker := time.NewTicker(teamInterval)
	defer ticker.Stop()
	sweptAt := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			sweep := now.Sub(sweptAt) >= teamSweepInterval
			if sweep {
				sweptAt = now
			}
			limit := teamReportLimit(h.liveHosts(), rand.Float64())
			h.eachTeams(func(service string, teams *placement.Teams) {
				for _, w := range teams.TakeReports(limit, now) {
					h.exchange.ReportTeamWork(service, w.Team, w.Work)
				}
				if sweep {
					teams.Sweep(now)
				}
			})
		}
	}
}

// eachTeams calls visit for each service with engines.
func (h *Host) eachTeams(visit func(service string, teams *placement.Teams)) {
	table, err := h.routes.Current()
	if err != nil {
		// Without a configuration no service is known.
		return
	}
	for _, s := range table.Services() {
		if s.Engine != nil {
			visit(s.Name, h.models.For(s.Name).Teams)
		}
	}
}

// applyPeerTeamWork adds the work of another host to that of a team.
func (h *Host) applyPeerTeamWork(service, team string, ms float64) {
	h.models.For(service).Teams.AddPeer(team, ms, time.Now())
}

// teamMetrics writes the shares of the teams with the most work.
func (h *Host) teamMetrics(line func(name string, value any)) {
	now := time.Now()
	h.eachTeams(func(service string, teams *placement.Teams) {
		line(fmt.Sprintf("engines_overloaded{service=%q}", service), boolNumber(teams.Overloaded(now)))
		for i, w := range teams.Largest(metricTeams, now) {
			share := teams.Share(w.Team)
			if i == 0 {
				line(fmt.Sprintf("team_fair_part{service=%q}", service), fmt.Sprintf("%.4f", share.Fair))
			}
			line(fmt.Sprintf("team_part{service=%q,team=%q}", service, w.Team), fmt.Sprintf("%.4f", share.Part))
		}
	})
}
