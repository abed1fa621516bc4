package declaration

import (
	"fmt"
	"slices"
	"strconv"
)

// Issue is an error of one field of an object, worded as in strictjson.Error.
type Issue struct {
	Field   string
	Found   string
	Allowed string
}

// CheckReferences checks value, which has one of the types of this package,
// against the objects it refers to. Each must exist, the adapter of a route must
// be one of its model's, and the class of a service route must have a completion
// limit. lookup returns the value of a declared object. The fold of the config
// stream uses CheckReferences to check a change without the whole document.
func CheckReferences(value any, lookup func(Ref) (any, bool)) []Issue {
	c := referenceChecker{lookup: lookup}
	switch v := value.(type) {
	case Key:
		c.resolve("team", "team", Ref{KindTeam, v.Team})
	case Route:
		c.route(v)
	}
	return c.issues
}

type referenceChecker struct {
	lookup func(Ref) (any, bool)
	issues []Issue
}

func (c *referenceChecker) addIssue(field, found, allowed string) {
	c.issues = append(c.issues, Issue{field, found, allowed})
}

func (c *referenceChecker) resolve(field, noun string, ref Ref) any {
	value, ok := c.lookup(ref)
	if !ok {
		c.addIssue(field, strconv.Quote(ref.Name), "the name of a declared "+noun)
	}
	return value
}

func (c *referenceChecker) route(r Route) {
	class, _ := c.resolve("class", "class", Ref{KindClass, r.Class}).(Class)
	switch r.Kind {
	case RouteModel:
		model, ok := c.resolve("model", "model", Ref{KindModel, r.Model}).(Model)
		if ok && r.Adapter != "" && !slices.Contains(model.Adapters, r.Adapter) {
			c.addIssue("adapter", strconv.Quote(r.Adapter), "an adapter of model "+strconv.Quote(r.Model))
		}
	case RouteService:
		c.resolve("service", "service", Ref{KindService, r.Service})
		// A request that an order service has not answered within the
		// completion limit ends with an unknown outcome.
		if class.Name != "" && class.Completion == 0 {
			c.addIssue("class", strconv.Quote(r.Class), "a class with a completion limit, which bounds the wait for the service")
		}
	}
	for i, team := range r.Teams {
		c.resolve(fmt.Sprintf("teams[%d]", i), "team", Ref{KindTeam, team})
	}
}
