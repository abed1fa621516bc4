package entryhost

import (
	"github.com/clementineshed/clementineshed/pkg/configstore"
	"github.com/clementineshed/clementineshed/pkg/declaration"
	"github.com/clementineshed/clementineshed/pkg/gate"
)

// configView implements gate.Config with the configuration store.
type configView struct {
	store *configstore.Store
}

// Key implements gate.Config.
func (c configView) Key(hash gate.KeyHash) (string, gate.KeyStatus) {
	entry, usability := c.store.Check(configstore.KeyHash(hash))
	switch usability {
	case configstore.KeyUsable:
		return entry.Team.Name, gate.KeyUsable
	case configstore.KeyWithdrawn:
		return "", gate.KeyWithdrawn
	case configstore.KeyUnconfirmed:
		return "", gate.KeyUnconfirmed
	default:
		return "", gate.KeyUnknown
	}
}

// ModelRoute implements gate.Config.
func (c configView) ModelRoute(name string) (declaration.Route, bool) {
	return routeOf(c.store.View().ModelRoute([]byte(name)))
}

// ServiceRoute implements gate.Config.
func (c configView) ServiceRoute(path string) (declaration.Route, bool) {
	return routeOf(c.store.View().ServiceRoute([]byte(path)))
}

func routeOf(entry *configstore.RouteEntry, ok bool) (declaration.Route, bool) {
	if !ok {
		return declaration.Route{}, false
	}
	return entry.Route, true
}

// Class implements gate.Config.
func (c configView) Class(name string) (declaration.Class, bool) {
	class, ok := c.store.View().Class(name)
	if !ok {
		return declaration.Class{}, false
	}
	return *class, true
}

// Team implements gate.Config.
func (c configView) Team(name string) (declaration.Team, bool) {
	team, ok := c.store.View().Team(name)
	if !ok {
		return declaration.Team{}, false
	}
	return *team, true
}

// Ready implements gate.Config.
func (c configView) Ready() bool {
	select {
	case <-c.store.Ready():
		return true
	default:
		return false
	}
}
