package bench

import (
	"time"

	"github.com/clementineshed/clementineshed/pkg/declaration"
)

// Deployment describes one of the deployments of docs/design.md, section 1.3.
type Deployment struct {
	Name, Model string
	Domains     []string
	// Delay is the one-way delay between domains, ClientDelay that from callers.
	Delay, ClientDelay time.Duration
	// Engines is the number of engines, including Reclaimable ones of the
	// cheaper, reclaimable kind.
	Engines, Reclaimable  int
	OrderEndpoints, Hosts int
	Teams                 []Team
	// DocumentChunks bounds the length of the documents that prompts begin with,
	// in chunks; Documents is their number per team.
	DocumentChunks [2]int
	Documents      int
	// Rate is in requests a second, for a trace with load 1.
	Rate float64
}

// Team is a team of a deployment. Teams with equal weight have equal demand.
type Team struct {
	Name   string
	Weight float64
}

// Classes of work in the traces.
const (
	classStrict   = "interactive"
	classTolerant = "batch"
	classOrder    = "order"
)

// Shares of the requests in those classes.
const (
	tolerantShare = 0.3
	orderShare    = 0.03
)

func classes() map[string]declaration.Class {
	return map[string]declaration.Class{
		classStrict: {Name: classStrict, Share: 0.95, FirstToken: declaration.Duration(1600 * time.Millisecond),
			BetweenTokens: declaration.Duration(44 * time.Millisecond)},
		classTolerant: {Name: classTolerant, Share: 0.95, FirstToken: declaration.Duration(20 * time.Second)},
		classOrder:    {Name: classOrder, Share: 0.99, Completion: declaration.Duration(2 * time.Second)},
	}
}

// Endpoint kinds. Costs are relative to the hourly cost of one standard engine.
const (
	kindStandard    = "standard"
	kindReclaimable = "reclaimable"
	reclaimableCost = 0.4
	budgetEngines   = 9.6
)

func kinds() []declaration.EndpointKind {
	return []declaration.EndpointKind{
		{Name: kindStandard, HourlyCost: 1},
		{Name: kindReclaimable, Reclaimable: true, HourlyCost: reclaimableCost},
	}
}

func teams(names ...string) []Team {
	out := make([]Team, len(names))
	for i, name := range names {
		out[i] = Team{Name: name, Weight: 1}
		if i < 3 {
			out[i].Weight = 3
		}
	}
	return out
}

// Granite is the Granite Confectioners Sample Exchange: long spec sheets, short
// shelf-life questions.
func Granite() Deployment {
	return Deployment{
		Name: "granite", Model: "tasting-llm",
		Domains: []string{"providence", "worcester", "nashua", "hartford"},
		Delay:   1500 * time.Microsecond, ClientDelay: 3 * time.Millisecond,
		Engines: 12, Reclaimable: 4, OrderEndpoints: 4, Hosts: 8,
		Teams:          teams("truffle", "caramel", "nougat", "fudge", "toffee", "brittle", "praline", "taffy"),
		DocumentChunks: [2]int{2, 7}, Documents: 60, Rate: 80,
	}
}

// ODalaigh is the Ó Dálaigh Gourd Instrument Works: provenance files and tuning
// notes.
func ODalaigh() Deployment {
	return Deployment{
		Name: "odalaigh", Model: "bench-oracle",
		Domains: []string{"ennis-loft", "kilrush-shed", "lahinch-store", "corofin-office"},
		Delay:   500 * time.Microsecond, ClientDelay: 3 * time.Millisecond,
		Engines: 12, Reclaimable: 4, OrderEndpoints: 4, Hosts: 6,
		Teams:          teams("lutes", "fiddles", "drums", "shakers", "repairs", "archive", "apprentices", "shop"),
		DocumentChunks: [2]int{1, 5}, Documents: 80, Rate: 95,
	}
}

// Deployments returns both deployments.
func Deployments() []Deployment { return []Deployment{Granite(), ODalaigh()} }
