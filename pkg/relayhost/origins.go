package relayhost

import (
	"slices"
	"sync"

	"github.com/clementineshed/clementineshed/pkg/streamorigin"
)

// servedVersions caches the software versions of the endpoints of each service. It is safe for
// concurrent use.
type servedVersions struct {
	mu sync.Mutex
	// fleetVersion is that of the registry which byService was made of; guarded by mu.
	fleetVersion int64
	byService    map[string][]string // guarded by mu
}

// of returns the versions of a service at a version of the registry. list returns those that
// the registry holds.
func (v *servedVersions) of(service string, fleetVersion int64, list func() []string) []string {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.byService == nil || v.fleetVersion != fleetVersion {
		v.fleetVersion, v.byService = fleetVersion, map[string][]string{}
	}
	versions, found := v.byService[service]
	if !found {
		versions = list()
		v.byService[service] = versions
	}
	return versions
}

// softwareVersions returns the software versions of the announced endpoints of a service.
func (h *Host) softwareVersions(service string) []string {
	return h.served.of(service, h.fleet.Version(), func() []string {
		var versions []string
		for _, m := range h.fleet.Members(service) {
			if !slices.Contains(versions, m.SoftwareVersion) {
				versions = append(versions, m.SoftwareVersion)
			}
		}
		return versions
	})
}

// resumableServices returns the services whose streams callers may take up.
func (h *Host) resumableServices() []string {
	table, err := h.routes.Current()
	if err != nil {
		return nil
	}
	return table.ResumableServices()
}

func (h *Host) newOrigins() *streamorigin.Service {
	return streamorigin.New(streamorigin.Options{
		Client: h.adapter.LogService, Services: h.resumableServices, Serving: h.softwareVersions,
		LiveHosts: h.liveHosts, Leads: h.leads, Log: h.log,
	})
}
