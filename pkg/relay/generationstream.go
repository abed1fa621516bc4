package relay

import (
	"time"

	"github.com/clementineshed/clementineshed/pkg/placement"
	"github.com/clementineshed/clementineshed/pkg/refusal"
	"github.com/clementineshed/clementineshed/pkg/retry"
)

// silence implements streamSource.
func (g *generation) silence(s *stream) func(time.Time) retry.Silence {
	if !g.x.mayResume() {
		return nil
	}
	return g.silentDecode(s.member, g.x.attempts)
}

// progressed implements streamSource.
func (g *generation) progressed(s *stream) {
	g.job.Software = g.x.software
	if g.progressAt = s.eventAt; s.eventAt.Equal(s.firstEventAt) && s.expected > 0 {
		g.h.Pace.Answered(s.member.ID, s.sentAt, s.expected, s.eventAt)
	}
}

// ended implements streamSource.
func (g *generation) ended(s *stream, outcome placement.Outcome) {
	now := time.Now()
	if outcome == placement.Completed {
		sample, ok := g.model.ObserveDecode(s.inFlight, g.job.OutputLimit, s.events-s.firstEvents, s.eventAt.Sub(s.firstEventAt), now)
		if ok {
			g.h.OnDecoded(g.x.service, sample)
		}
	}
	g.model.EndSend(s.inFlight, outcome, now)
}

// resume implements streamSource.
func (g *generation) resume(s *stream, cause error) (*stream, *refusal.Refusal) {
	g.job.Exclude = append(g.job.Exclude, s.member.ID)
	g.avoidSilent(s.member)
	if g.job.Software != "" {
		g.brokenOff = append(g.brokenOff, s.member.ID)
	}
	if !g.mayRetryRun(cause) {
		return nil, streamBrokenRefusal(cause)
	}
	g.h.Metrics.Resumed.Add(1)
	return g.open()
}
