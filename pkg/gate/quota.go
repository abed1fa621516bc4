package gate

import (
	"math"

	"github.com/apex/log"

	"github.com/clementineshed/clementineshed/pkg/prefix"
	"github.com/clementineshed/clementineshed/pkg/quota"
	"github.com/clementineshed/clementineshed/pkg/quotashare"
	"github.com/clementineshed/clementineshed/pkg/refusal"
)

// takeQuota takes the request's tokens from its team's quota. The tokens are those that
// the admission assumes: the estimate for the prompt, and the output limit.
func (s *session) takeQuota() error {
	team, _ := s.gate.Config.Team(s.work.Team)
	if team.Quota == nil {
		return nil
	}
	limit := quota.Limit{Rate: team.Quota.TokensPerSecond, Burst: team.Quota.BurstTokens}
	s.quota = s.gate.Quotas.Take(s.ctx, s.work.Team, limit, float64(prefix.Tokens(len(s.work.Prompt))+s.work.MaxTokens))
	if err := s.ctx.Err(); err != nil {
		return s.resultError(err)
	}
	if s.quota.Grant {
		return nil
	}
	s.gate.Log.WithFields(log.Fields{
		"request_id": s.work.RequestID, "step": "take quota", "team": s.work.Team, "reason": string(s.quota.Reason), "tokens": s.quota.Tokens,
		"owner": s.quota.Owner, "share": s.quota.Share, "level": math.Round(s.quota.Level), "rate": limit.Rate,
	}).Info("request is over its team's quota")
	message := "the team's quota is spent"
	if s.quota.Reason == quota.ReasonTooLarge {
		message = "the request is larger than the team's quota"
	}
	return refusal.NotRun(429, refusal.CodeQuotaExceeded, message).WithRetryAfter(s.quota.After)
}

// returnQuota gives the tokens back if the request, which ended with err, has not run.
func (s *session) returnQuota(err error) {
	if s.quota.Grant && err != nil && s.stream == nil && !s.mayHaveRun && s.work.Delivered == 0 {
		s.gate.Quotas.Return(s.work.Team, s.quota)
	}
	s.quota = quotashare.Result{}
}
