package dev

import (
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/enginewire"
	"github.com/clementineshed/clementineshed/pkg/logging"
	"github.com/clementineshed/clementineshed/pkg/roles"
	"github.com/clementineshed/clementineshed/pkg/settings"
	"github.com/clementineshed/clementineshed/pkg/standin/engined"
)

// onePrefill makes the first engine of each failure domain prefill only.
type onePrefill struct{}

// Decide implements roles.Policy.
func (onePrefill) Decide(in roles.Input) []roles.Change {
	var changes []roles.Change
	for _, e := range in.Engines {
		if strings.HasSuffix(e.ID, "-1") && e.Domain == in.Domain && e.Usable && !e.Changing && e.Role == endpoint.RoleMixed {
			changes = append(changes, roles.Change{Engine: e.ID, From: e.Role, To: endpoint.RolePrefill})
		}
	}
	return changes
}

// shortLeases lets a host acquire its leases soon after the start.
func shortLeases(s *settings.Settings) {
	s.Authority.LeaseTime = settings.Duration(2 * time.Second)
	s.Authority.Margin = settings.Duration(500 * time.Millisecond)
}

// TestRoleChangeCutsNothing guards against a role change that is not carried
// out, that interrupts a stream, or after which the engine gets no requests. It
// also guards against requests that fail when prefill and decode run on different
// engines.
func TestRoleChangeCutsNothing(t *testing.T) {
	t.Parallel()
	cluster, err := Start(t.Context(), Options{
		Log: logging.Discard(), Clock: clockwork.NewRealClock(), Seed: 1, Roles: onePrefill{}, Settings: shortLeases,
	})
	if err != nil {
		t.Fatal(err)
	}
	defer cluster.Close()
	var result LoadResult
	for deadline := time.Now().Add(time.Minute); !rolesChanged(cluster); {
		if time.Now().After(deadline) {
			t.Fatal("the roles were not changed within a minute")
		}
		addLoad(&result, cluster.Load(t.Context(), 20, time.Second, 1))
	}
	addLoad(&result, cluster.Load(t.Context(), 20, 4*time.Second, 2))
	if result.Wrong > 0 || result.Unknown > 0 || result.Complete == 0 {
		t.Errorf("load during the changes: %+v", result)
	}
	prefills := 0
	for _, e := range cluster.engines {
		prefills += checkOrders(t, e)
	}
	if prefills == 0 {
		t.Error("no request was prefilled on another engine")
	}
}

func rolesChanged(c *Cluster) bool {
	for i, e := range c.engines {
		load := e.Load()
		if i%enginesPerDomain == 0 && (load.Role != endpoint.RolePrefill || load.Draining) {
			return false
		}
	}
	return true
}

func addLoad(sum *LoadResult, r LoadResult) {
	sum.Sent += r.Sent
	sum.Complete += r.Complete
	sum.NotRun += r.NotRun
	sum.Unknown += r.Unknown
	sum.Wrong += r.Wrong
	sum.Errors = append(sum.Errors, r.Errors...)
}

// checkOrders checks that no order interrupted a stream, and returns the number
// of requests that the engine accepted after its role changed.
func checkOrders(t *testing.T, e *engined.Server) int {
	t.Helper()
	changed, after := false, 0
	for _, entry := range e.Journal() {
		if entry.Interrupted > 0 {
			t.Errorf("%s: order %s interrupted %d streams", entry.Instance, entry.Order.Kind, entry.Interrupted)
		}
		if entry.Order != nil && entry.Order.Kind == enginewire.OrderRole && entry.Refused == "" {
			changed = true
		}
		if changed && entry.Order == nil && entry.Refused == "" && entry.Action == "generate" {
			after++
		}
	}
	return after
}
