package configcheck

import (
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/clementineshed/clementineshed/pkg/routes"
)

// Differences returns what differs between the version in force and the next one.
func Differences(active, next routes.Document) []Finding {
	c := &checker{}
	if next.Version <= active.Version {
		c.add(Error, "document", "version %d is not above version %d in force", next.Version, active.Version)
	}
	compare(c, "route", active.Routes, next.Routes, func(r routes.Route) string { return r.Name })
	compare(c, "service", active.Services, next.Services, func(s routes.Service) string { return s.Name })
	compare(c, "team", active.Teams, next.Teams, func(t routes.Team) string { return t.Name })
	if fields := changedFields(active.Limits, next.Limits); len(fields) > 0 {
		c.add(Difference, "limits", "changed: %s", strings.Join(fields, ", "))
	}
	return c.findings
}

func compare[T any](c *checker, kind string, active, next []T, name func(T) string) {
	before, after := map[string]T{}, map[string]T{}
	for _, v := range active {
		before[name(v)] = v
	}
	for _, v := range next {
		after[name(v)] = v
	}
	for _, n := range slices.Sorted(maps.Keys(before)) {
		if _, kept := after[n]; !kept {
			c.add(Difference, named(kind, n), "removed")
		}
	}
	for _, n := range slices.Sorted(maps.Keys(after)) {
		old, known := before[n]
		if !known {
			c.add(Difference, named(kind, n), "added")
			continue
		}
		if fields := changedFields(old, after[n]); len(fields) > 0 {
			c.add(Difference, named(kind, n), "changed: %s", strings.Join(fields, ", "))
		}
	}
}

// changedFields returns the names of the fields in which two structs differ. It leaves
// out the values, because keys are secret.
func changedFields(a, b any) []string {
	x, y := reflect.ValueOf(a), reflect.ValueOf(b)
	var names []string
	for i := range x.NumField() {
		if !reflect.DeepEqual(x.Field(i).Interface(), y.Field(i).Interface()) {
			names = append(names, x.Type().Field(i).Name)
		}
	}
	return names
}
