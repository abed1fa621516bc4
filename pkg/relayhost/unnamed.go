package relayhost

import (
	"sync"
	"time"

	"github.com/clementineshed/clementineshed/pkg/fleet"
	"github.com/clementineshed/clementineshed/pkg/routes"
)

// endpointRecord is an endpoint's announcement with its offset.
type endpointRecord struct {
	member fleet.Member
	offset int64
}

// unnamedEndpoints holds the last announcements in services that the configuration does not
// name: of another writer, or of a service whose configuration is still to come. They do
// not reach the registry, so that none takes the place of an endpoint's own announcement.
type unnamedEndpoints struct {
	// mu also orders the changes of the registry by announcements and by a new
	// configuration.
	mu   sync.Mutex
	last map[string]endpointRecord // guarded by mu
}

// takeNamed removes and returns the announcements in services that table names. It must
// be called with mu held.
func (u *unnamedEndpoints) takeNamed(table *routes.Table) []endpointRecord {
	var named []endpointRecord
	for id, a := range u.last {
		if table.Service(a.member.Service) != nil {
			named = append(named, a)
			delete(u.last, id)
		}
	}
	return named
}

// applyAnnouncement applies an announcement to the registry, or keeps it until a
// configuration names its service. It must be called with unnamed.mu held.
func (h *Host) applyAnnouncement(a endpointRecord) {
	known, found := h.fleet.Find(a.member.ID)
	if found && known.Service != a.member.Service {
		// It may hide that the endpoint's own announcement has lapsed.
		h.fleet.Obscure(a.member.ID, time.Now())
	}
	sameService := found && known.Service == a.member.Service
	table, err := h.routes.Current()
	if !sameService && (err != nil || table.Service(a.member.Service) == nil) {
		h.unnamed.last[a.member.ID] = a
		return
	}
	delete(h.unnamed.last, a.member.ID)
	h.announceMember(a)
}

// announceNamed applies the announcements whose services the configuration names now.
func (h *Host) announceNamed() {
	table, err := h.routes.Current()
	if err != nil {
		return
	}
	h.unnamed.mu.Lock()
	defer h.unnamed.mu.Unlock()
	for _, a := range h.unnamed.takeNamed(table) {
		h.announceMember(a)
	}
}
