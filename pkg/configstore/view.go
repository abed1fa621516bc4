package configstore

import (
	"bytes"
	"maps"
	"slices"

	"github.com/clementineshed/clementineshed/pkg/declaration"
)

// View is the configuration at one version. It is immutable and safe for
// concurrent use. The time of a lookup of a key, route or named object does not
// depend on the size of the configuration, and such a lookup does not allocate.
type View struct {
	version     int64
	next        int64
	keys        map[KeyHash]KeyEntry
	teams       map[string]*declaration.Team
	classes     map[string]*declaration.Class
	modelRoutes map[string]*RouteEntry
	pathRoutes  map[string]*RouteEntry
	longestPath int
	// direct holds the direct withdrawals that the fold may not contain.
	direct map[KeyHash]struct{}
	// withdrawnInFold holds the withdrawals that the fold contains.
	withdrawnInFold map[KeyHash]struct{}
	others          others
}

// others holds the declared objects other than teams, keys, classes and routes.
type others struct {
	models   map[string]*declaration.Model
	services map[string]*declaration.Service
	kinds    map[string]*declaration.EndpointKind
	budget   *declaration.Budget
}

// KeyEntry is a key in force with its team.
type KeyEntry struct {
	Name string
	Team *declaration.Team
}

// RouteEntry is a route with the class and model that it refers to.
type RouteEntry struct {
	declaration.Route
	ClassDeclaration *declaration.Class
	// ModelDeclaration is nil for service routes.
	ModelDeclaration *declaration.Model
	teams            map[string]struct{}
}

// Allows reports whether team may use the route. Every team may use a route
// that names no teams.
func (r *RouteEntry) Allows(team string) bool {
	if len(r.teams) == 0 {
		return true
	}
	_, ok := r.teams[team]
	return ok
}

// Version returns the offset of the last record that changed the configuration,
// or NoVersion.
func (v *View) Version() int64 { return v.version }

// Next returns the offset up to which the stream is folded, exclusive.
func (v *View) Next() int64 { return v.next }

// Key returns the key with hash h. The result is false if the key is not
// declared or is withdrawn. Key ignores whether the view is confirmed; use
// Store.Check to decide on a request.
func (v *View) Key(h KeyHash) (KeyEntry, bool) {
	if _, withdrawn := v.direct[h]; withdrawn {
		return KeyEntry{}, false
	}
	k, ok := v.keys[h]
	return k, ok
}

// Withdrawn reports whether the key with hash h was ever withdrawn.
func (v *View) Withdrawn(h KeyHash) bool {
	if _, ok := v.direct[h]; ok {
		return true
	}
	_, ok := v.withdrawnInFold[h]
	return ok
}

// ModelRoute returns the model route with the given name.
func (v *View) ModelRoute(name []byte) (*RouteEntry, bool) {
	r, ok := v.modelRoutes[string(name)]
	return r, ok
}

// ServiceRoute returns the service route whose declared path is the longest
// prefix of path that ends with a slash. Its cost is bounded by the length of
// the longest declared path.
func (v *View) ServiceRoute(path []byte) (*RouteEntry, bool) {
	if len(path) > v.longestPath {
		path = path[:v.longestPath]
	}
	for end := bytes.LastIndexByte(path, '/'); end >= 0; end = bytes.LastIndexByte(path[:end], '/') {
		if r, ok := v.pathRoutes[string(path[:end+1])]; ok {
			return r, true
		}
	}
	return nil, false
}

// Team returns a declared team, which the caller must not modify.
func (v *View) Team(name string) (*declaration.Team, bool) { t, ok := v.teams[name]; return t, ok }

// Class returns a declared class, which the caller must not modify.
func (v *View) Class(name string) (*declaration.Class, bool) { c, ok := v.classes[name]; return c, ok }

// Model returns a declared model, which the caller must not modify.
func (v *View) Model(name string) (*declaration.Model, bool) {
	m, ok := v.others.models[name]
	return m, ok
}

// EndpointKind returns a declared endpoint kind. The caller must not modify it.
func (v *View) EndpointKind(name string) (*declaration.EndpointKind, bool) {
	k, ok := v.others.kinds[name]
	return k, ok
}

// Budget returns the budget, which the caller must not modify, or nil if none.
func (v *View) Budget() *declaration.Budget { return v.others.budget }

// Classes returns the declared classes in the order of their names. Unlike that
// of Document, the cost of Classes, EndpointKinds and Models does not depend on
// the number of teams and keys.
func (v *View) Classes() []declaration.Class { return sortedValues(v.classes) }

// EndpointKinds returns the declared endpoint kinds in the order of their names.
func (v *View) EndpointKinds() []declaration.EndpointKind { return sortedValues(v.others.kinds) }

// Models returns the declared models in the order of their names.
func (v *View) Models() []declaration.Model { return sortedValues(v.others.models) }

func sortedValues[T any](byName map[string]*T) []T {
	var values []T
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		values = append(values, *byName[name])
	}
	return values
}

// Document returns a copy of all declarations in canonical order. It is too slow
// for the request path.
func (v *View) Document() declaration.Document {
	var doc declaration.Document
	for _, t := range v.teams {
		doc.Put(*t)
	}
	for h, k := range v.keys {
		doc.Put(declaration.Key{Name: k.Name, Team: k.Team.Name, SHA256: h.String()})
	}
	for _, c := range v.classes {
		doc.Put(*c)
	}
	for _, m := range v.others.models {
		doc.Put(*m)
	}
	for _, s := range v.others.services {
		doc.Put(*s)
	}
	for _, r := range v.modelRoutes {
		doc.Put(r.Route)
	}
	for _, r := range v.pathRoutes {
		doc.Put(r.Route)
	}
	for _, k := range v.others.kinds {
		doc.Put(*k)
	}
	if v.others.budget != nil {
		doc.Put(*v.others.budget)
	}
	doc.Sort()
	return doc
}

// view returns a view of the fold, which shares no mutable state with the fold.
// If nothing but a few keys changed since the last view, it copies that view and
// updates these keys. Otherwise it builds a new one.
func (f *fold) view() *View {
	few := len(f.changedKeys) <= len(f.keyNameByHash)/4
	if f.lastView != nil && !f.changedNonKeys && few {
		f.lastView = f.viewWithChangedKeys()
	} else {
		f.lastView = f.rebuildView()
	}
	f.changedKeys = map[KeyHash]struct{}{}
	f.changedNonKeys = false
	return f.lastView
}

// viewWithChangedKeys returns a copy of the last view with the changed keys.
func (f *fold) viewWithChangedKeys() *View {
	v := *f.lastView
	v.version, v.next = f.version, f.next
	if len(f.changedKeys) == 0 {
		return &v
	}
	v.keys = maps.Clone(v.keys)
	v.withdrawnInFold = maps.Clone(v.withdrawnInFold)
	for h := range f.changedKeys {
		delete(v.keys, h)
		if _, withdrawn := f.withdrawn[h]; withdrawn {
			v.withdrawnInFold[h] = struct{}{}
		}
		if name, declared := f.keyNameByHash[h]; declared {
			v.addReferrer(f.objects[declaration.Ref{Kind: declaration.KindKey, Name: name}].value)
		}
	}
	return &v
}

func (f *fold) rebuildView() *View {
	v := &View{
		version: f.version, next: f.next,
		keys:            make(map[KeyHash]KeyEntry, len(f.keyNameByHash)),
		teams:           map[string]*declaration.Team{},
		classes:         map[string]*declaration.Class{},
		modelRoutes:     map[string]*RouteEntry{},
		pathRoutes:      map[string]*RouteEntry{},
		withdrawnInFold: make(map[KeyHash]struct{}, len(f.withdrawn)),
		others: others{
			models:   map[string]*declaration.Model{},
			services: map[string]*declaration.Service{},
			kinds:    map[string]*declaration.EndpointKind{},
		},
	}
	for h := range f.withdrawn {
		v.withdrawnInFold[h] = struct{}{}
	}
	for _, o := range f.objects {
		v.add(o.value)
	}
	for _, o := range f.objects {
		v.addReferrer(o.value)
	}
	return v
}

func (v *View) add(value any) {
	switch value := value.(type) {
	case declaration.Team:
		v.teams[value.Name] = &value
	case declaration.Class:
		v.classes[value.Name] = &value
	case declaration.Model:
		v.others.models[value.Name] = &value
	case declaration.Service:
		v.others.services[value.Name] = &value
	case declaration.EndpointKind:
		v.others.kinds[value.Name] = &value
	case declaration.Budget:
		v.others.budget = &value
	}
}

func (v *View) addReferrer(value any) {
	switch value := value.(type) {
	case declaration.Key:
		v.keys[decodeValidHash(value.SHA256)] = KeyEntry{Name: value.Name, Team: v.teams[value.Team]}
	case declaration.Route:
		v.addRoute(value)
	}
}

func (v *View) addRoute(route declaration.Route) {
	r := &RouteEntry{Route: route, ClassDeclaration: v.classes[route.Class], ModelDeclaration: v.others.models[route.Model]}
	if len(route.Teams) > 0 {
		r.teams = map[string]struct{}{}
		for _, team := range route.Teams {
			r.teams[team] = struct{}{}
		}
	}
	if route.Kind == declaration.RouteModel {
		v.modelRoutes[route.Name] = r
		return
	}
	v.pathRoutes[route.Path] = r
	v.longestPath = max(v.longestPath, len(route.Path))
}

// withDirect returns a copy of v with the direct withdrawals replaced. The copy
// shares all other maps, so that a direct withdrawal is cheap with many keys.
func (v *View) withDirect(direct map[KeyHash]struct{}) *View {
	next := *v
	next.direct = direct
	return &next
}
