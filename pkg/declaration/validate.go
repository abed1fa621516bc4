package declaration

import (
	"encoding/hex"
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/clementineshed/clementineshed/pkg/strictjson"
)

// Limits of declared values.
const (
	// MaxLatency bounds the latency limits of a class. A longer limit is a
	// mistake in the unit; work without a limit declares none.
	MaxLatency = 24 * time.Hour
	// MaxOfflineLimit bounds Team.OfflineLimit. It is the longest time for which
	// a failure domain that is cut off may accept a withdrawn key.
	MaxOfflineLimit = 7 * 24 * time.Hour
	// MaxNameBytes is the maximum length of a name.
	MaxNameBytes = 128
	// MaxPathSegments bounds the segments of a route's path, because a path
	// lookup tries one prefix per segment.
	MaxPathSegments = 8
)

var (
	namePattern     = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:@+-]{0,127}$`)
	pathPattern     = regexp.MustCompile(`^/([A-Za-z0-9._~-]+/)+$`)
	currencyPattern = regexp.MustCompile(`^[A-Z]{3}$`)
)

const nameAllowed = "1 to 128 letters, digits and . _ : @ + -, beginning with a letter or digit"

// Validate checks the whole document, including references between objects. The
// error is of type strictjson.Errors and contains every error.
func Validate(d Document) error { return validate(d, locations{}.locate) }

// ValidateObject checks one object without its references. value has one of the
// types of this package. The error is of type strictjson.Errors.
func ValidateObject(value any) error {
	var d Document
	d.Put(value)
	v := newValidator(d, locations{}.locate)
	v.validateObjects()
	return v.errs.Err()
}

type validator struct {
	doc    Document
	locate func(object, field string) (string, int, string)
	errs   strictjson.Errors

	declared map[Ref]any
}

func newValidator(d Document, locate func(object, field string) (string, int, string)) *validator {
	return &validator{doc: d, locate: locate, declared: map[Ref]any{}}
}

func validate(d Document, locate func(object, field string) (string, int, string)) error {
	v := newValidator(d, locate)
	v.collectNames()
	v.validateObjects()
	v.validateUnique()
	v.validateReferences()
	return v.errs.Err()
}

func (v *validator) addError(object, field, found, allowed string) {
	file, line, path := v.locate(object, field)
	v.errs = append(v.errs, strictjson.Error{File: file, Line: line, Path: path, Found: found, Allowed: allowed})
}

func objectPath(kind Kind, i int) string { return fmt.Sprintf("%s[%d]", kind, i) }

// collectNames fills declared and reports duplicate names.
func (v *validator) collectNames() {
	index := map[Kind]int{}
	v.doc.Each(func(kind Kind, name string, value any) {
		i := index[kind]
		index[kind]++
		ref := Ref{kind, name}
		if _, ok := v.declared[ref]; ok {
			v.addError(objectPath(kind, i), "name", "duplicate name "+strconv.Quote(name), "each name once per kind")
		}
		v.declared[ref] = value
	})
}

// validateObjects checks each object without its references.
func (v *validator) validateObjects() {
	index := map[Kind]int{}
	v.doc.Each(func(kind Kind, name string, value any) {
		object := objectPath(kind, index[kind])
		index[kind]++
		if kind == KindBudget {
			v.budget(value.(Budget))
			return
		}
		v.name(object, "name", name)
		switch value := value.(type) {
		case Team:
			v.team(object, value)
		case Key:
			v.key(object, value)
		case Class:
			v.class(object, value)
		case Model:
			v.model(object, value)
		case Route:
			v.route(object, value)
		case EndpointKind:
			v.requireNonNegative(object, "hourly_cost", value.HourlyCost)
		}
	})
}

func (v *validator) name(object, field, name string) {
	if !namePattern.MatchString(name) {
		v.addError(object, field, strconv.Quote(name), nameAllowed)
	}
}

func (v *validator) team(object string, t Team) {
	if t.CacheGroup != "" {
		v.name(object, "cache_group", t.CacheGroup)
	}
	if t.Quota != nil {
		v.requirePositive(object, "quota.tokens_per_second", t.Quota.TokensPerSecond)
		v.requirePositive(object, "quota.burst_tokens", t.Quota.BurstTokens)
	}
	switch t.OfflineKeys {
	case "", OfflineRefuse:
		if t.OfflineLimit != 0 {
			v.addError(object, "offline_limit", strconv.Quote(t.OfflineLimit.String()), `no limit, or offline_keys "serve"`)
		}
	case OfflineServe:
		v.duration(object, "offline_limit", t.OfflineLimit, time.Second, MaxOfflineLimit)
	default:
		v.addError(object, "offline_keys", strconv.Quote(string(t.OfflineKeys)), `"refuse" or "serve"`)
	}
}

func (v *validator) duration(object, field string, d Duration, low, high time.Duration) {
	if d.Std() < low || d.Std() > high {
		v.addError(object, field, strconv.Quote(d.String()), fmt.Sprintf("%q to %q", low, high))
	}
}

func (v *validator) key(object string, k Key) {
	if ValidSHA256(k.SHA256) {
		return
	}
	// The error omits the value, which may be a key in clear text.
	v.addError(object, "sha256", fmt.Sprintf("a text of %d bytes", len(k.SHA256)), "64 lower-case hexadecimal digits: the SHA-256 of the key, never the key")
}

// ValidSHA256 reports whether text is a SHA-256 in lower-case hexadecimal.
func ValidSHA256(text string) bool {
	raw, err := hex.DecodeString(text)
	return err == nil && len(raw) == 32 && strings.ToLower(text) == text
}

func (v *validator) class(object string, c Class) {
	limits := map[string]Duration{"first_token": c.FirstToken, "between_tokens": c.BetweenTokens, "completion": c.Completion}
	for _, field := range []string{"first_token", "between_tokens", "completion"} {
		if limits[field] != 0 {
			v.duration(object, field, limits[field], time.Millisecond, MaxLatency)
		}
	}
	if c.Completion != 0 && c.FirstToken > c.Completion {
		v.addError(object, "first_token", strconv.Quote(c.FirstToken.String()), "at most the completion limit "+strconv.Quote(c.Completion.String()))
	}
	// A share of 1 leaves no error budget: the burn rate of the first late
	// request would be infinite.
	if !(c.Share > 0 && c.Share < 1) {
		v.addError(object, "share", fmt.Sprint(c.Share), "more than 0 and less than 1")
	}
}

func (v *validator) model(object string, m Model) {
	v.name(object, "version", m.Version)
	seen := map[string]bool{}
	for i, adapter := range m.Adapters {
		field := fmt.Sprintf("adapters[%d]", i)
		v.name(object, field, adapter)
		if seen[adapter] {
			v.addError(object, field, "duplicate adapter "+strconv.Quote(adapter), "each adapter once")
		}
		seen[adapter] = true
	}
}

func (v *validator) route(object string, r Route) {
	seen := map[string]bool{}
	for i, team := range r.Teams {
		if seen[team] {
			v.addError(object, fmt.Sprintf("teams[%d]", i), "duplicate team "+strconv.Quote(team), "each team once")
		}
		seen[team] = true
	}
	switch r.Kind {
	case RouteModel:
		v.modelRoute(object, r)
	case RouteService:
		v.serviceRoute(object, r)
	default:
		v.addError(object, "kind", strconv.Quote(string(r.Kind)), `"model" or "service"`)
	}
}

func (v *validator) modelRoute(object string, r Route) {
	v.requireEmpty(object, "service", r.Service, "a model route")
	v.requireEmpty(object, "path", r.Path, "a model route")
	if r.Open {
		v.addError(object, "open", "true", "false: model work is accounted to a team, which only a key names")
	}
	if !r.Repeatable {
		v.addError(object, "repeatable", "false", "true: a model route is always repeatable, because streams are resumed on other engines")
	}
}

func (v *validator) serviceRoute(object string, r Route) {
	v.requireEmpty(object, "model", r.Model, "a service route")
	v.requireEmpty(object, "adapter", r.Adapter, "a service route")
	if !pathPattern.MatchString(r.Path) || strings.Contains(r.Path, "/./") || strings.Contains(r.Path, "/../") {
		v.addError(object, "path", strconv.Quote(r.Path), `a path prefix such as "/stock/", with a leading and a trailing slash`)
	}
	if strings.HasPrefix(r.Path, "/v1/chat/") {
		v.addError(object, "path", strconv.Quote(r.Path), `a path outside "/v1/chat/", which serves the model routes`)
	}
	if n := strings.Count(r.Path, "/") - 1; n > MaxPathSegments {
		v.addError(object, "path", fmt.Sprintf("%d segments", n), fmt.Sprintf("at most %d segments", MaxPathSegments))
	}
	if r.Open && !r.Repeatable {
		v.addError(object, "open", "true", "false on a route that is not repeatable: attempts are recorded per team, which only a key names")
	}
	if r.Open && len(r.Teams) > 0 {
		v.addError(object, "teams", fmt.Sprintf("%d teams", len(r.Teams)), "no teams on an open route, which has no key")
	}
}

func (v *validator) requireEmpty(object, field, value, routeKind string) {
	if value != "" {
		v.addError(object, field, strconv.Quote(value), "nothing on "+routeKind)
	}
}

func (v *validator) requireNonNegative(object, field string, value float64) {
	if !(value >= 0) {
		v.addError(object, field, fmt.Sprint(value), "0 or more")
	}
}

func (v *validator) requirePositive(object, field string, value float64) {
	if !(value > 0) {
		v.addError(object, field, fmt.Sprint(value), "more than 0")
	}
}

func (v *validator) budget(b Budget) {
	if !currencyPattern.MatchString(b.Currency) {
		v.addError(string(KindBudget), "currency", strconv.Quote(b.Currency), `three capital letters, such as "EUR"`)
	}
	v.requireNonNegative(string(KindBudget), "max_hourly_cost", b.MaxHourlyCost)
}

// validateUnique checks that no two keys have the same hash and no two routes
// the same path.
func (v *validator) validateUnique() {
	hashes := map[string]string{}
	for i, k := range v.doc.Keys {
		if other, ok := hashes[k.SHA256]; ok {
			v.addError(objectPath(KindKey, i), "sha256", "the hash of key "+strconv.Quote(other), "each hash once")
		}
		hashes[k.SHA256] = k.Name
	}
	paths := map[string]string{}
	for i, r := range v.doc.Routes {
		if r.Kind != RouteService {
			continue
		}
		if other, ok := paths[r.Path]; ok {
			v.addError(objectPath(KindRoute, i), "path", "the path of route "+strconv.Quote(other), "each path once")
		}
		paths[r.Path] = r.Name
	}
}

// validateReferences checks the references of each object.
func (v *validator) validateReferences() {
	index := map[Kind]int{}
	lookup := func(ref Ref) (any, bool) { value, ok := v.declared[ref]; return value, ok }
	v.doc.Each(func(kind Kind, _ string, value any) {
		object := objectPath(kind, index[kind])
		index[kind]++
		for _, issue := range CheckReferences(value, lookup) {
			v.addError(object, issue.Field, issue.Found, issue.Allowed)
		}
	})
}
