package declaration

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
)

// ChangeKind is the way an object differs between two documents.
type ChangeKind string

// Kinds of change.
const (
	Added   ChangeKind = "added"
	Changed ChangeKind = "changed"
	Removed ChangeKind = "removed"
)

// FieldChange is one changed field of an object. From and To are nil where the
// field is absent.
type FieldChange struct {
	Field string          `json:"field"`
	From  json.RawMessage `json:"from,omitempty"`
	To    json.RawMessage `json:"to,omitempty"`
}

// ObjectChange is one added, changed or removed object.
type ObjectChange struct {
	Change ChangeKind `json:"change"`
	Ref
	Fields []FieldChange `json:"fields,omitempty"`
	// Value is the new value of an added or changed object.
	Value json.RawMessage `json:"-"`
}

// Difference is the list of changes between two documents, in canonical order.
// It encodes to JSON as a list.
type Difference []ObjectChange

// Diff returns the changes that turn before into after. Both documents must be
// valid. The order of objects and explicitly written defaults are not changes.
func Diff(before, after Document) Difference {
	old, new := before.Objects(), after.Objects()
	difference := Difference{}
	for len(old) > 0 || len(new) > 0 {
		order := 0
		switch {
		case len(old) == 0:
			order = 1
		case len(new) == 0:
			order = -1
		default:
			order = old[0].Compare(new[0].Ref)
		}
		switch {
		case order < 0:
			difference = append(difference, ObjectChange{Change: Removed, Ref: old[0].Ref})
			old = old[1:]
		case order > 0:
			difference = append(difference, ObjectChange{Change: Added, Ref: new[0].Ref, Value: new[0].Value})
			new = new[1:]
		default:
			if fields := diffFields(old[0].Value, new[0].Value); len(fields) > 0 {
				difference = append(difference, ObjectChange{Changed, new[0].Ref, fields, new[0].Value})
			}
			old, new = old[1:], new[1:]
		}
	}
	return difference
}

func diffFields(before, after json.RawMessage) []FieldChange {
	if bytes.Equal(before, after) {
		return nil
	}
	old, new := fieldsOf(before), fieldsOf(after)
	var changes []FieldChange
	for field, to := range new {
		if from := old[field]; !bytes.Equal(from, to) {
			changes = append(changes, FieldChange{field, from, to})
		}
	}
	for field, from := range old {
		if _, kept := new[field]; !kept {
			changes = append(changes, FieldChange{field, from, nil})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Field < changes[j].Field })
	return changes
}

// Text returns the difference with one line per object and changed field, or
// "no changes".
func (d Difference) Text() string {
	if len(d) == 0 {
		return "no changes\n"
	}
	var b strings.Builder
	for _, change := range d {
		fmt.Fprintf(&b, "%s %s\n", change.Change, change.Ref)
		for _, f := range change.Fields {
			fmt.Fprintf(&b, "  %s: %s -> %s\n", f.Field, orAbsent(f.From), orAbsent(f.To))
		}
	}
	return b.String()
}

func orAbsent(value json.RawMessage) string {
	if value == nil {
		return "(absent)"
	}
	return string(value)
}
