package relay

import (
	"math"
	"time"

	"github.com/clementineshed/clementineshed/pkg/quota"
	"github.com/clementineshed/clementineshed/pkg/quotashare"
	"github.com/clementineshed/clementineshed/pkg/refusal"
	"github.com/clementineshed/clementineshed/pkg/routes"
)

// slowQuotaDecision is the time of a decision about a quota from which on the log line
// of a request states it.
const slowQuotaDecision = 20 * time.Millisecond

// minQuotaRetryAfter is the least Retry-After of a refusal for a quota.
const minQuotaRetryAfter = 10 * time.Millisecond

// takeQuota takes the cost of the request from its team's quota, or returns the refusal
// of a request that is over it.
func (x *exchange) takeQuota(q *routes.Quota) *refusal.Refusal {
	if q == nil {
		return nil
	}
	tokens, stated := 0, x.call.Prompt != nil
	if stated {
		tokens = x.call.Prompt.Tokens + x.call.Prompt.MaxOutput
	}
	began := time.Now()
	x.quota = x.handler.Quotas.Take(x.workCtx, x.team, q.Limit, q.Cost(tokens, stated))
	if waited := time.Since(began); waited >= slowQuotaDecision {
		x.logFields["quota_ms"] = waited.Milliseconds()
	}
	if r := x.cancellationRefusal(); r != nil {
		return r
	}
	if x.quota.Grant {
		return nil
	}
	x.logFields["quota"], x.logFields["tokens"] = string(x.quota.Reason), x.quota.Tokens
	x.logFields["quota_owner"], x.logFields["quota_share"] = x.quota.Owner, math.Round(x.quota.Share*1000)/1000
	x.logFields["quota_level"], x.logFields["quota_rate"] = math.Round(x.quota.Level), q.Rate
	message := "the team's quota is spent"
	if x.quota.Reason == quota.ReasonTooLarge {
		message = "the request is larger than the team's quota"
	}
	return refusal.NotRun(429, refusal.CodeQuotaExceeded, message).WithRetryAfter(max(x.quota.After, minQuotaRetryAfter))
}

// returnQuota gives the tokens of a request back that has not run.
func (x *exchange) returnQuota() {
	if x.quota.Grant && !x.ran && !x.mayHaveRun {
		x.handler.Quotas.Return(x.team, x.quota)
	}
	x.quota = quotashare.Result{}
}
