package configstore

import (
	"fmt"
	"sort"

	"github.com/clementineshed/clementineshed/pkg/declaration"
	"github.com/clementineshed/clementineshed/pkg/logservice"
)

// maxBaseAgeOffsets limits how many offsets the base of a change may lie behind
// the change. It bounds the number of tombstones. At 10,000 changes a day it is
// about ten days.
const maxBaseAgeOffsets = 100_000

// tombstonePruneThreshold is the number of tombstones from which a commit
// removes those older than maxBaseAgeOffsets. Pruning does not affect verdicts,
// because a change with a base that old is refused anyway.
const tombstonePruneThreshold = 1024

// object is one declared object in the fold.
type object struct {
	// value is a declaration such as declaration.Team or declaration.Key.
	value any
	// changed is the version that last changed the object.
	changed int64
	// referrers counts the objects that refer to this one.
	referrers int
}

// fold is the state that results from the records of the stream up to one
// offset. The same records give the same fold on every host. It is not safe for
// concurrent use.
type fold struct {
	// next is the offset of the next record.
	next int64
	// version is the offset of the last record that changed the configuration.
	version    int64
	objects    map[declaration.Ref]*object
	tombstones map[declaration.Ref]int64
	// withdrawn maps each withdrawn key to the version that withdrew it.
	withdrawn       map[KeyHash]int64
	keyNameByHash   map[KeyHash]string
	routeNameByPath map[string]string

	// lastView is the last view. changedKeys and changedNonKeys record what
	// changed since, so that a change of keys only does not rebuild the whole view.
	lastView       *View
	changedKeys    map[KeyHash]struct{}
	changedNonKeys bool

	// ignoreConflicts accepts changes in spite of conflicts. Only tests set it.
	ignoreConflicts bool
}

func newFold() *fold {
	return &fold{
		version:         NoVersion,
		objects:         map[declaration.Ref]*object{},
		tombstones:      map[declaration.Ref]int64{},
		withdrawn:       map[KeyHash]int64{},
		keyNameByHash:   map[KeyHash]string{},
		routeNameByPath: map[string]string{},

		changedKeys: map[KeyHash]struct{}{},
	}
}

// apply folds record r, whose data is decoded. It returns the verdict on a
// change or withdrawal, and nil for any other record.
func (f *fold) apply(r logservice.Record, decoded record) *Verdict {
	f.next = r.Offset + 1
	switch {
	case decoded.Change != nil:
		v := f.applyChange(r.Offset, *decoded.Change)
		return &v
	case decoded.Withdraw != nil:
		f.applyWithdrawal(r.Offset, decoded.Withdraw.Hashes)
		return &Verdict{ID: decoded.Withdraw.ID, Accepted: true, Version: r.Offset}
	}
	return nil
}

func (f *fold) applyWithdrawal(offset int64, hashes []KeyHash) {
	for _, h := range hashes {
		if name, declared := f.keyNameByHash[h]; declared {
			f.remove(offset, declaration.Ref{Kind: declaration.KindKey, Name: name})
		}
		if _, known := f.withdrawn[h]; !known {
			f.withdrawn[h] = offset
			f.changedKeys[h] = struct{}{}
			f.version = offset
		}
	}
}

func (f *fold) applyChange(offset int64, c Change) Verdict {
	verdict := Verdict{ID: c.ID, Version: offset}
	s := &staged{fold: f, base: c.Base, values: map[declaration.Ref]any{}}
	s.stage(c)
	if c.Base >= offset {
		s.addProblem("base %d is not older than the change at %d", c.Base, offset)
	}
	if offset-c.Base > maxBaseAgeOffsets && f.version > c.Base {
		s.addProblem("base %d is more than %d offsets old; load the current version", c.Base, maxBaseAgeOffsets)
	}
	s.findConflicts(c)
	if len(s.conflicts) == 0 && len(s.problems) == 0 {
		s.validate()
	}
	if f.ignoreConflicts {
		s.conflicts = nil
	}
	if len(s.conflicts) > 0 || len(s.problems) > 0 {
		verdict.Conflicts = s.conflicts
		verdict.Invalid = s.problems
		return verdict
	}
	f.commit(offset, s)
	verdict.Accepted = true
	return verdict
}

// changedAt returns the version that last changed or removed ref.
func (f *fold) changedAt(ref declaration.Ref) int64 {
	if o, ok := f.objects[ref]; ok {
		return o.changed
	}
	if at, ok := f.tombstones[ref]; ok {
		return at
	}
	return NoVersion
}

// commit applies the validated change. It removes old values before it inserts
// new ones, so that one change can move a hash or path from one object to
// another.
func (f *fold) commit(offset int64, s *staged) {
	for _, ref := range s.order {
		if s.values[ref] == nil {
			f.remove(offset, ref)
		} else if old, ok := f.objects[ref]; ok {
			f.unlink(offset, old.value, s.values[ref])
		}
	}
	for _, ref := range s.order {
		if value := s.values[ref]; value != nil {
			f.insert(ref, value, offset)
		}
	}
	f.countReferrers(s.order, s.values, 1)
	f.version = offset
	f.pruneTombstones(offset)
}

func (f *fold) insert(ref declaration.Ref, value any, offset int64) {
	o := f.objects[ref]
	if o == nil {
		o = &object{}
		f.objects[ref] = o
	}
	o.value, o.changed = value, offset
	delete(f.tombstones, ref)
	switch v := value.(type) {
	case declaration.Key:
		h := decodeValidHash(v.SHA256)
		f.keyNameByHash[h] = v.Name
		f.changedKeys[h] = struct{}{}
	case declaration.Route:
		if v.Kind == declaration.RouteService {
			f.routeNameByPath[v.Path] = v.Name
		}
	}
	f.changedNonKeys = f.changedNonKeys || ref.Kind != declaration.KindKey
}

// countReferrers adds delta to the referrer count of each object that the values
// of refs refer to.
func (f *fold) countReferrers(refs []declaration.Ref, values map[declaration.Ref]any, delta int) {
	for _, ref := range refs {
		for _, to := range declaration.References(values[ref]) {
			if o, ok := f.objects[to]; ok {
				o.referrers += delta
			}
		}
	}
}

func (f *fold) remove(offset int64, ref declaration.Ref) {
	o, ok := f.objects[ref]
	if !ok {
		return
	}
	f.unlink(offset, o.value, nil)
	f.changedNonKeys = f.changedNonKeys || ref.Kind != declaration.KindKey
	delete(f.objects, ref)
	f.tombstones[ref] = offset
	f.version = offset
}

// unlink removes the referrer counts and index entries of the value old, which
// new replaces; new is nil for a removal. A key hash that new no longer declares
// is withdrawn for good.
func (f *fold) unlink(offset int64, old, new any) {
	for _, to := range declaration.References(old) {
		if o, ok := f.objects[to]; ok {
			o.referrers--
		}
	}
	switch v := old.(type) {
	case declaration.Key:
		h := decodeValidHash(v.SHA256)
		delete(f.keyNameByHash, h)
		f.changedKeys[h] = struct{}{}
		if next, kept := new.(declaration.Key); !kept || next.SHA256 != v.SHA256 {
			f.withdrawn[h] = offset
		}
	case declaration.Route:
		delete(f.routeNameByPath, v.Path)
	}
}

func (f *fold) pruneTombstones(offset int64) {
	if len(f.tombstones) < tombstonePruneThreshold {
		return
	}
	for ref, at := range f.tombstones {
		if offset-at > maxBaseAgeOffsets {
			delete(f.tombstones, ref)
		}
	}
}

// decodeValidHash decodes a hash that validation has accepted.
func decodeValidHash(text string) KeyHash {
	h, _ := ParseKeyHash(text)
	return h
}

// document returns the declarations in force in canonical order.
func (f *fold) document() declaration.Document {
	refs := f.sortedRefs()
	var doc declaration.Document
	for _, ref := range refs {
		doc.Put(f.objects[ref].value)
	}
	return doc
}

func (f *fold) sortedRefs() []declaration.Ref {
	refs := make([]declaration.Ref, 0, len(f.objects))
	for ref := range f.objects {
		refs = append(refs, ref)
	}
	sort.Slice(refs, func(i, j int) bool { return refs[i].Compare(refs[j]) < 0 })
	return refs
}

// staged is a change that is validated against the fold before it takes effect.
type staged struct {
	fold *fold
	base int64
	// values holds the new value of each touched object; nil is a deletion.
	values    map[declaration.Ref]any
	order     []declaration.Ref
	conflicts []Conflict
	problems  []string
	// routesChecked is true once the untouched routes were checked.
	routesChecked bool
}

func (s *staged) addProblem(format string, args ...any) {
	s.problems = append(s.problems, fmt.Sprintf(format, args...))
}

func (s *staged) stage(c Change) {
	for _, o := range c.Upserts {
		value, err := o.Decode()
		if err == nil {
			err = declaration.ValidateObject(value)
		}
		if err != nil {
			s.addProblem("%s: %v", o.Ref, err)
			continue
		}
		s.put(o.Ref, value)
	}
	for _, ref := range c.Deletes {
		s.put(ref, nil)
	}
}

func (s *staged) put(ref declaration.Ref, value any) {
	if _, twice := s.values[ref]; twice {
		s.addProblem("%s: more than once in one change", ref)
		return
	}
	s.values[ref] = value
	s.order = append(s.order, ref)
}

// findConflicts records a conflict for each touched object that changed after
// the base, and for each object that an upsert refers to and that was removed
// after it.
func (s *staged) findConflicts(c Change) {
	for _, ref := range s.order {
		s.addConflict(ref)
		for _, to := range declaration.References(s.values[ref]) {
			if _, exists := s.lookup(to); !exists {
				s.addConflict(to)
			}
		}
	}
}

func (s *staged) addConflict(ref declaration.Ref) {
	changed := s.fold.changedAt(ref)
	if changed <= s.base {
		return
	}
	for _, known := range s.conflicts {
		if known.Ref == ref {
			return
		}
	}
	_, exists := s.fold.objects[ref]
	s.conflicts = append(s.conflicts, Conflict{Ref: ref, Changed: changed, Exists: exists})
}

// lookup returns the value of ref as it would be after the change.
func (s *staged) lookup(ref declaration.Ref) (any, bool) {
	if value, ok := s.values[ref]; ok {
		return value, value != nil
	}
	if o, ok := s.fold.objects[ref]; ok {
		return o.value, true
	}
	return nil, false
}

// validate checks the configuration that results from the change. It reads only
// what the change touches; if a class or model changes, it reads all routes too.
func (s *staged) validate() {
	hashes := map[KeyHash]string{}
	paths := map[string]string{}
	for _, ref := range s.order {
		value := s.values[ref]
		if value == nil {
			s.checkDelete(ref)
			continue
		}
		s.checkReferences(ref, value)
		switch v := value.(type) {
		case declaration.Key:
			s.checkHash(ref, v, hashes)
		case declaration.Route:
			s.checkPath(ref, v, paths)
		case declaration.Class, declaration.Model:
			s.checkRoutes()
		}
	}
}

func (s *staged) checkReferences(ref declaration.Ref, value any) {
	for _, issue := range declaration.CheckReferences(value, s.lookup) {
		s.addProblem("%s.%s: found %s; allowed: %s", ref, issue.Field, issue.Found, issue.Allowed)
	}
}

// checkRoutes checks the references of the routes that the change does not
// touch. It runs once per change.
func (s *staged) checkRoutes() {
	if s.routesChecked {
		return
	}
	s.routesChecked = true
	for ref, o := range s.fold.objects {
		if _, touched := s.values[ref]; ref.Kind == declaration.KindRoute && !touched {
			s.checkReferences(ref, o.value)
		}
	}
	sort.Strings(s.problems)
}

// checkDelete refuses the removal of an object that others refer to. It also
// records a conflict for each referrer that changed after the base.
func (s *staged) checkDelete(ref declaration.Ref) {
	o, exists := s.fold.objects[ref]
	if !exists {
		s.addProblem("%s: not declared", ref)
		return
	}
	if s.referrersAfterChange(ref, o) == 0 {
		return
	}
	s.addProblem("%s: still referred to", ref)
	for _, from := range s.fold.sortedRefs() {
		if _, touched := s.values[from]; touched {
			continue
		}
		for _, to := range declaration.References(s.fold.objects[from].value) {
			if to == ref {
				s.addConflict(from)
			}
		}
	}
}

func (s *staged) referrersAfterChange(ref declaration.Ref, o *object) int {
	n := o.referrers
	for _, touched := range s.order {
		if old, ok := s.fold.objects[touched]; ok {
			n -= countRef(declaration.References(old.value), ref)
		}
		n += countRef(declaration.References(s.values[touched]), ref)
	}
	return n
}

func countRef(refs []declaration.Ref, ref declaration.Ref) int {
	n := 0
	for _, r := range refs {
		if r == ref {
			n++
		}
	}
	return n
}

func (s *staged) checkHash(ref declaration.Ref, key declaration.Key, seen map[KeyHash]string) {
	h := decodeValidHash(key.SHA256)
	if at, withdrawn := s.fold.withdrawn[h]; withdrawn {
		s.addProblem("%s.sha256: the key was withdrawn at version %d; allowed: the hash of a new key", ref, at)
	}
	s.checkUnique(ref, "sha256", seen[h], s.holder(declaration.KindKey, s.fold.keyNameByHash[h], func(v any) bool {
		k, ok := v.(declaration.Key)
		return ok && k.SHA256 == key.SHA256
	}))
	seen[h] = ref.Name
}

func (s *staged) checkPath(ref declaration.Ref, r declaration.Route, seen map[string]string) {
	if r.Kind != declaration.RouteService {
		return
	}
	s.checkUnique(ref, "path", seen[r.Path], s.holder(declaration.KindRoute, s.fold.routeNameByPath[r.Path], func(v any) bool {
		other, ok := v.(declaration.Route)
		return ok && other.Path == r.Path
	}))
	seen[r.Path] = ref.Name
}

// holder returns name if the object of that name still holds the unique value
// after the change, else the empty string.
func (s *staged) holder(kind declaration.Kind, name string, holds func(any) bool) string {
	value, ok := s.lookup(declaration.Ref{Kind: kind, Name: name})
	if ok && holds(value) {
		return name
	}
	return ""
}

func (s *staged) checkUnique(ref declaration.Ref, field, inChange, inFold string) {
	for _, other := range []string{inChange, inFold} {
		if other != "" && other != ref.Name {
			s.addProblem("%s.%s: the same as %q", ref, field, other)
			return
		}
	}
}
