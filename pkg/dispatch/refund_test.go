package dispatch

import (
	"context"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/engineclient"
	"github.com/clementineshed/clementineshed/pkg/enginewire"
	"github.com/clementineshed/clementineshed/pkg/fairness"
	"github.com/clementineshed/clementineshed/pkg/gate"
	"github.com/clementineshed/clementineshed/pkg/prefix"
)

// Guards against charging a team for prefill that did not run, and against a
// refund of prefill that may have run.
func TestOnlyAnAttemptThatDidNotRunIsRefunded(t *testing.T) {
	refused := &engineclient.RefusedError{Status: 503, Code: enginewire.CodeDraining}
	mixed := []endpoint.Role{endpoint.RoleMixed}
	apart := []endpoint.Role{endpoint.RolePrefill, endpoint.RoleDecode}
	prefill := fairness.Work(prefix.Tokens(len(work(clockwork.NewFakeClock()).Prompt)), 0)
	tests := []struct {
		name   string
		roles  []endpoint.Role
		err    error
		tokens int
		want   float64
	}{
		{"refused", mixed, errors.Wrap(refused, "generate"), 0, 0},
		{"not reached", mixed, &engineclient.ConnectError{Err: errors.New("refused")}, 0, 0},
		{"broken before a token", mixed, &engineclient.BrokenError{Err: errors.New("reset")}, 0, prefill},
		{"refused after a token", mixed, refused, 1, prefill + fairness.Work(0, 1)},
		{"refused with a separate prefill", apart, refused, 0, prefill},
		{"whole", mixed, nil, 2, prefill + fairness.Work(0, 2)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			clock := clockwork.NewFakeClock()
			d := newDispatcher(clock)
			d.Update(engineStatuses(test.roles), 1)
			a, err := d.Acquire(context.Background(), work(clock))
			if err != nil {
				t.Fatal(err)
			}
			if charged := d.Ledger().Service("a", clock.Now()); charged <= prefill {
				t.Fatalf("charged %v after Acquire, want more than the prefill of %v", charged, prefill)
			}
			for range test.tokens {
				a.TokenDelivered()
			}
			a.Done(gate.Result{Err: test.err})
			if got := d.Ledger().Service("a", clock.Now()); got != test.want {
				t.Fatalf("charged %v after Done, want %v", got, test.want)
			}
		})
	}
}

func engineStatuses(roles []endpoint.Role) []endpoint.Status {
	var statuses []endpoint.Status
	for _, role := range roles {
		st := engineStatus(string(role))
		st.Load.Role = role
		statuses = append(statuses, st)
	}
	return statuses
}
