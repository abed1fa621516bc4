package declaration

import (
	"bytes"
	"encoding/json"
	"reflect"
	"slices"
	"sort"
	"strings"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/strictjson"
)

// Kind is the kind of a declared object.
type Kind string

// Kinds of object. Each is the JSON name of a field of Document.
const (
	KindTeam         Kind = "teams"
	KindKey          Kind = "keys"
	KindClass        Kind = "classes"
	KindModel        Kind = "models"
	KindService      Kind = "services"
	KindRoute        Kind = "routes"
	KindEndpointKind Kind = "endpoint_kinds"
	KindBudget       Kind = "budget"
)

// BudgetName is the name in the Ref of the budget, which has no name of its own.
const BudgetName = "budget"

// Ref identifies an object.
type Ref struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns "kind/name".
func (r Ref) String() string { return string(r.Kind) + "/" + r.Name }

// Compare orders references canonically: by kind, then by name.
func (r Ref) Compare(other Ref) int {
	if c := strings.Compare(string(r.Kind), string(other.Kind)); c != 0 {
		return c
	}
	return strings.Compare(r.Name, other.Name)
}

// Object is one declared object, encoded.
type Object struct {
	Ref
	// Value is the JSON of the object; Objects returns it in canonical form.
	Value json.RawMessage `json:"value"`
}

// Objects returns the objects of d in canonical order: by kind, then by name.
// The values are canonical: fields in the order of the Go types, sets sorted,
// defaults omitted. Equal declarations have equal objects.
func (d Document) Objects() []Object {
	var objects []Object
	add := func(kind Kind, name string, value any) {
		objects = append(objects, Object{Ref: Ref{kind, name}, Value: encodeCanonical(value)})
	}
	d.Each(add)
	sort.SliceStable(objects, func(i, j int) bool { return objects[i].Compare(objects[j].Ref) < 0 })
	return objects
}

// Each calls visit for each object, by kind in the order of Document's fields
// and then in declared order. value has one of the types of this package, with
// defaults omitted and sets sorted.
func (d Document) Each(visit func(kind Kind, name string, value any)) {
	for _, v := range d.Teams {
		if v.OfflineKeys == OfflineRefuse {
			v.OfflineKeys = ""
		}
		visit(KindTeam, v.Name, v)
	}
	for _, v := range d.Keys {
		visit(KindKey, v.Name, v)
	}
	for _, v := range d.Classes {
		visit(KindClass, v.Name, v)
	}
	for _, v := range d.Models {
		v.Adapters = sortedSet(v.Adapters)
		visit(KindModel, v.Name, v)
	}
	for _, v := range d.Services {
		visit(KindService, v.Name, v)
	}
	for _, v := range d.Routes {
		v.Teams = sortedSet(v.Teams)
		visit(KindRoute, v.Name, v)
	}
	for _, v := range d.EndpointKinds {
		visit(KindEndpointKind, v.Name, v)
	}
	if d.Budget != nil {
		visit(KindBudget, BudgetName, *d.Budget)
	}
}

func sortedSet(names []string) []string {
	if len(names) == 0 {
		return nil
	}
	names = slices.Clone(names)
	slices.Sort(names)
	return slices.Compact(names)
}

// encodeCanonical encodes a declared object without HTML escapes. It returns
// null for a number that is not finite, which no JSON document can contain; the
// types of this package have no other encoding errors.
func encodeCanonical(value any) json.RawMessage {
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return json.RawMessage("null")
	}
	return bytes.TrimRight(b.Bytes(), "\n")
}

// Decode decodes the object's value strictly into one of the types of this
// package and checks that it has the object's name. It does not validate the
// value.
func (o Object) Decode() (any, error) {
	doc := Document{}
	if err := doc.AddObject(o); err != nil {
		return nil, err
	}
	var value any
	var name string
	doc.Each(func(_ Kind, n string, v any) { name, value = n, v })
	if name != o.Name {
		return nil, errors.Errorf("object %s contains the name %q", o.Ref, name)
	}
	return value, nil
}

// AddObject decodes o strictly and appends it to d. A budget replaces that of
// d.
func (d *Document) AddObject(o Object) error {
	switch o.Kind {
	case KindTeam:
		return appendTo(o, &d.Teams)
	case KindKey:
		return appendTo(o, &d.Keys)
	case KindClass:
		return appendTo(o, &d.Classes)
	case KindModel:
		return appendTo(o, &d.Models)
	case KindService:
		return appendTo(o, &d.Services)
	case KindRoute:
		return appendTo(o, &d.Routes)
	case KindEndpointKind:
		return appendTo(o, &d.EndpointKinds)
	case KindBudget:
		d.Budget = &Budget{}
		return strictjson.Decode(o.String(), o.Value, d.Budget, 0)
	default:
		return errors.Errorf("unknown kind of object %q", o.Kind)
	}
}

func appendTo[T any](o Object, list *[]T) error {
	var value T
	if err := strictjson.Decode(o.String(), o.Value, &value, 0); err != nil {
		return err
	}
	*list = append(*list, value)
	return nil
}

// Canonical returns the canonical encoding of d: indented JSON, objects sorted
// by name, sets sorted, defaults omitted. Decoding it yields an equal document.
func (d Document) Canonical() []byte {
	var sorted Document
	d.Each(func(_ Kind, _ string, value any) { sorted.Put(value) })
	sorted.Sort()
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(sorted)
	return b.Bytes()
}

// Put appends value, which has one of the types of this package; other types are
// ignored. A budget replaces that of d.
func (d *Document) Put(value any) {
	switch v := value.(type) {
	case Team:
		d.Teams = append(d.Teams, v)
	case Key:
		d.Keys = append(d.Keys, v)
	case Class:
		d.Classes = append(d.Classes, v)
	case Model:
		d.Models = append(d.Models, v)
	case Service:
		d.Services = append(d.Services, v)
	case Route:
		d.Routes = append(d.Routes, v)
	case EndpointKind:
		d.EndpointKinds = append(d.EndpointKinds, v)
	case Budget:
		d.Budget = &v
	}
}

// Sort sorts the objects of each kind by name.
func (d *Document) Sort() {
	sortBy(d.Teams, func(v Team) string { return v.Name })
	sortBy(d.Keys, func(v Key) string { return v.Name })
	sortBy(d.Classes, func(v Class) string { return v.Name })
	sortBy(d.Models, func(v Model) string { return v.Name })
	sortBy(d.Services, func(v Service) string { return v.Name })
	sortBy(d.Routes, func(v Route) string { return v.Name })
	sortBy(d.EndpointKinds, func(v EndpointKind) string { return v.Name })
}

func sortBy[T any](list []T, name func(T) string) {
	slices.SortStableFunc(list, func(a, b T) int { return strings.Compare(name(a), name(b)) })
}

// References returns the objects that value refers to. value has one of the
// types of this package.
func References(value any) []Ref {
	switch v := value.(type) {
	case Key:
		return []Ref{{KindTeam, v.Team}}
	case Route:
		refs := []Ref{{KindClass, v.Class}}
		if v.Kind == RouteModel {
			refs = append(refs, Ref{KindModel, v.Model})
		} else {
			refs = append(refs, Ref{KindService, v.Service})
		}
		for _, team := range sortedSet(v.Teams) {
			refs = append(refs, Ref{KindTeam, team})
		}
		return refs
	}
	return nil
}

// fieldsOf returns the JSON fields of an object by name.
func fieldsOf(value json.RawMessage) map[string]json.RawMessage {
	fields := map[string]json.RawMessage{}
	_ = json.Unmarshal(value, &fields)
	return fields
}

// Equal reports whether a and b declare the same objects.
func Equal(a, b Document) bool { return reflect.DeepEqual(a.Objects(), b.Objects()) }
