package gate

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/declaration"
	"github.com/clementineshed/clementineshed/pkg/quota"
	"github.com/clementineshed/clementineshed/pkg/quotashare"
)

// fakeQuotas grants requests while they are within credit.
type fakeQuotas struct {
	mu     sync.Mutex
	credit float64
}

func (q *fakeQuotas) Take(_ context.Context, _ string, _ quota.Limit, tokens float64) quotashare.Result {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := quotashare.Result{Tokens: tokens, Decision: quota.Decision{Grant: tokens <= q.credit, Reason: quota.ReasonOverLimit, After: 3 * time.Second}}
	if r.Grant {
		q.credit -= tokens
	}
	return r
}

func (q *fakeQuotas) Return(_ string, taken quotashare.Result) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.credit += taken.Tokens
}

// Guards against requests over a team's quota that run, and against tokens that are not
// given back when no endpoint has run the request.
func TestQuota(t *testing.T) {
	tg := newTestGate(t, DefaultLimits)
	quotas := &fakeQuotas{credit: 100}
	tg.Quotas = quotas
	if status, body := tg.post(t, "/v1/chat/completions", testKey, chatBody); status != 503 || quotas.credit != 100 {
		t.Errorf("without a quota: %d %s, credit %.0f", status, body, quotas.credit)
	}
	tg.config.mu.Lock()
	tg.config.quota = &declaration.Quota{TokensPerSecond: 10, BurstTokens: 100}
	tg.config.mu.Unlock()
	if status, body := tg.post(t, "/v1/chat/completions", testKey, chatBody); status != 503 || quotas.credit != 100 {
		t.Errorf("without an endpoint: %d %s, credit %.0f", status, body, quotas.credit)
	}
	large := strings.Replace(chatBody, `"max_tokens":8`, `"max_tokens":200`, 1)
	if status, body := tg.post(t, "/v1/chat/completions", testKey, large); status != 429 || !strings.Contains(body, `"code":"quota_exceeded"`) || !strings.Contains(body, `"ran":"no"`) {
		t.Errorf("over the quota: %d %s", status, body)
	}
}
