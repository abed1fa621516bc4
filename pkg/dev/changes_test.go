package dev

import (
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"github.com/clementineshed/clementineshed/pkg/configstore"
	"github.com/clementineshed/clementineshed/pkg/declaration"
	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/logging"
	"github.com/clementineshed/clementineshed/pkg/roles"
)

// startWithFixedRoles starts a deployment whose engines keep their roles.
func startWithFixedRoles(t *testing.T) *Cluster {
	t.Helper()
	cluster, err := Start(t.Context(), Options{
		Log: logging.Discard(), Clock: clockwork.NewRealClock(), Seed: 1, Roles: roles.Fixed{}, Settings: shortLeases,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	return cluster
}

// propose applies an edited copy of the declarations.
func propose(t *testing.T, c *Cluster, edit func(*declaration.Document)) {
	t.Helper()
	operator := configstore.NewOperator(c.LogClient(), clockwork.NewRealClock(), uuid.NewString)
	view, err := operator.Load(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	wanted := view.Document()
	edit(&wanted)
	change := configstore.NewChange(uuid.NewString(), "test", view.Version(), declaration.Diff(view.Document(), wanted))
	if verdict, err := operator.Propose(t.Context(), change); err != nil || !verdict.Accepted {
		t.Fatal(verdict, err)
	}
}

// loadUntil sends load until the load report of every engine satisfies done.
func loadUntil(t *testing.T, c *Cluster, limit time.Duration, done func(endpoint.Load) bool) LoadResult {
	t.Helper()
	var result LoadResult
	for deadline := time.Now().Add(limit); ; {
		missing := 0
		for _, e := range c.engines {
			if !done(e.Load()) {
				missing++
			}
		}
		if missing == 0 {
			return result
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d engines did not reach the wanted state within %s", missing, limit)
		}
		addLoad(&result, c.Load(t.Context(), 20, time.Second, 1))
	}
}

func checkNoInterruptions(t *testing.T, c *Cluster, result LoadResult) {
	t.Helper()
	if result.Wrong > 0 || result.Unknown > 0 || result.Complete == 0 {
		t.Errorf("load during the changes: %+v", result)
	}
	for _, e := range c.engines {
		checkOrders(t, e)
	}
}

// TestDeclaredVersionIsLoaded guards against a declared model version that no
// engine loads, against a weight load that interrupts a stream, and against all
// engines of a failure domain being unavailable at the same time.
func TestDeclaredVersionIsLoaded(t *testing.T) {
	t.Parallel()
	cluster := startWithFixedRoles(t)
	propose(t, cluster, func(d *declaration.Document) { d.Put(declaration.Model{Name: model, Version: "2"}) })
	result := loadUntil(t, cluster, 2*time.Minute, func(l endpoint.Load) bool { return l.Version == "2" && !l.Draining })
	checkNoInterruptions(t, cluster, result)
}

// TestOrphanedDrainEnds guards against an engine that stays drained forever
// because the lease holder that drained it is gone and its plan is lost.
func TestOrphanedDrainEnds(t *testing.T) {
	t.Parallel()
	cluster := startWithFixedRoles(t)
	cluster.engines[0].Drain()
	result := loadUntil(t, cluster, 2*time.Minute, func(l endpoint.Load) bool { return !l.Draining })
	checkNoInterruptions(t, cluster, result)
}

// TestEndpointsFollowDemandWithinTheBudget guards against a daemon that orders
// nothing when a budget is declared, that spends more than the budget, and
// against orders for one failure domain from two lease holders.
func TestEndpointsFollowDemandWithinTheBudget(t *testing.T) {
	t.Parallel()
	const budget = 60
	cluster := startWithFixedRoles(t)
	propose(t, cluster, func(d *declaration.Document) {
		d.Budget = &declaration.Budget{Currency: "EUR", MaxHourlyCost: budget}
	})
	var result LoadResult
	for deadline := time.Now().Add(time.Minute); len(cluster.plat.Orders()) == 0; {
		if time.Now().After(deadline) {
			t.Fatal("no endpoint was ordered within a minute")
		}
		addLoad(&result, cluster.Load(t.Context(), 60, time.Second, 1))
	}
	addLoad(&result, cluster.Load(t.Context(), 60, 5*time.Second, 2))
	if result.Wrong > 0 || result.Unknown > 0 {
		t.Errorf("load: %+v", result)
	}
	holders := map[string]string{}
	for _, o := range cluster.plat.Orders() {
		if holders[o.Domain] != "" && holders[o.Domain] != o.Holder {
			t.Errorf("orders of two holders in %s: %s and %s", o.Domain, holders[o.Domain], o.Holder)
		}
		holders[o.Domain] = o.Holder
	}
	cost := 0.0
	for _, e := range cluster.plat.Endpoints() {
		if e.IsEngine() {
			cost += costOf(e.Kind)
		}
	}
	if cost > budget {
		t.Errorf("engines cost %v an hour, budget %v", cost, budget)
	}
}

// costOf returns the declared hourly cost of a kind.
func costOf(kind string) float64 {
	for _, k := range exampleDeclarations("", "").EndpointKinds {
		if k.Name == kind {
			return k.HourlyCost
		}
	}
	return 0
}
