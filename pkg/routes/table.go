package routes

import (
	"hash/maphash"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

var (
	// ErrNoConfiguration reports that no document has been read yet.
	ErrNoConfiguration = errors.New("no configuration has been read yet")
	// ErrNoRoute reports that no route matches.
	ErrNoRoute = errors.New("no route matches")
	// ErrUnknownKey reports a key that no team holds, or a missing one.
	ErrUnknownKey = errors.New("no team holds the key")
)

// Table is the index of a document. It is immutable and safe for concurrent use.
type Table struct {
	document Document
	// byHost holds the routes by lower-case Route.Host, longest prefix first.
	byHost   map[string][]*Route
	services map[string]*Service
	keys     map[string]*Team
	// ranks holds, by service, the priorities of its routes, most urgent first.
	ranks map[string][]rank
	// resumable lists the services of resumable streams.
	resumable []string
}

// rank is a priority with the shortest target of the routes that have it.
type rank struct {
	priority int
	target   time.Duration
}

// NewTable indexes a document, which must not be changed afterwards.
func NewTable(document Document) *Table {
	t := &Table{document: document, byHost: map[string][]*Route{}, services: map[string]*Service{}, keys: map[string]*Team{}, ranks: map[string][]rank{}}
	for i := range document.Routes {
		r := &document.Routes[i]
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range document.Services {
		t.services[document.Services[i].Name] = &document.Services[i]
	}
	for i := range document.Teams {
		for _, key := range document.Teams[i].Keys {
			t.keys[key] = &document.Teams[i]
		}
	}
	for i := range document.Routes {
		r := &document.Routes[i]
		for _, s := range r.Services {
			t.addRank(s.Service, rank{r.Priority, r.Target})
			if r.Kind == Stream && r.Resumable && !slices.Contains(t.resumable, s.Service) {
				t.resumable = append(t.resumable, s.Service)
			}
		}
	}
	return t
}

func (t *Table) addRank(service string, r rank) {
	if r.target <= 0 {
		return
	}
	ranks := t.ranks[service]
	i, found := slices.BinarySearchFunc(ranks, r.priority, func(a rank, priority int) int { return a.priority - priority })
	if found {
		ranks[i].target = min(ranks[i].target, r.target)
		return
	}
	t.ranks[service] = slices.Insert(ranks, i, r)
}

// MoreUrgent returns how many priorities that are more urgent than the given one
// the routes of a service have, and the shortest target among them. Priority 0 is
// the most urgent.
func (t *Table) MoreUrgent(service string, priority int) (ranks int, target time.Duration) {
	for _, r := range t.ranks[service] {
		if r.priority >= priority {
			break
		}
		ranks++
		if target == 0 || r.target < target {
			target = r.target
		}
	}
	return ranks, target
}

// Version returns the document's version.
func (t *Table) Version() int64 { return t.document.Version }

// Limits returns the document's limits.
func (t *Table) Limits() Limits { return t.document.Limits }

// Services returns the document's services, which must not be changed.
func (t *Table) Services() []Service { return t.document.Services }

// ResumableServices returns the services of resumable streams. The slice must not be changed.
func (t *Table) ResumableServices() []string { return t.resumable }

// Service returns a service by name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// Match returns the route of the host with the longest matching prefix, or
// ErrNoRoute. The path is compared as the caller wrote it, the host ignoring case.
func (t *Table) Match(host, path string) (*Route, error) {
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, nil
		}
	}
	return nil, ErrNoRoute
}

// Team returns the team that holds the key, or ErrUnknownKey.
func (t *Table) Team(key string) (*Team, error) {
	if team := t.keys[key]; team != nil {
		return team, nil
	}
	return nil, ErrUnknownKey
}

// shareSeed is fixed for the life of the process, so that a request id always
// gets the same service.
var shareSeed = maphash.MakeSeed()

// ServiceFor returns the service of a request. Requests are split by their ids in
// proportion to the weights of the route's shares.
func (r *Route) ServiceFor(requestID string) string {
	total := 0
	for _, s := range r.Services {
		total += s.Weight
	}
	if total <= 0 {
		return r.Services[0].Service
	}
	position := int(maphash.String(shareSeed, requestID) % uint64(total))
	for _, s := range r.Services {
		if position < s.Weight {
			return s.Service
		}
		position -= s.Weight
	}
	return r.Services[0].Service
}

// Holder keeps the newest table. It is safe for concurrent use.
type Holder struct{ current atomic.Pointer[Table] }

// Current returns the newest table, or ErrNoConfiguration.
func (h *Holder) Current() (*Table, error) {
	if t := h.current.Load(); t != nil {
		return t, nil
	}
	return nil, ErrNoConfiguration
}

// Update makes next the current table and returns true, unless its version is not
// higher than that of the current one.
func (h *Holder) Update(next *Table) bool {
	for {
		current := h.current.Load()
		if current != nil && next.Version() <= current.Version() {
			return false
		}
		if h.current.CompareAndSwap(current, next) {
			return true
		}
	}
}
