package platformd

import (
	"sort"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpointapi"
)

// hostHistory holds the versions of one host that the lagging list may still
// show, oldest first.
type hostHistory struct {
	versions []hostVersion
}

type hostVersion struct {
	at      time.Time
	host    endpointapi.Host
	present bool
}

// SetHost adds or changes a host. The list shows it after HostListLag.
func (s *Server) SetHost(h endpointapi.Host) {
	s.addHostVersion(h.Name, hostVersion{host: h, present: true})
}

// RemoveHost takes a host off the list, which shows it after HostListLag.
func (s *Server) RemoveHost(name string) {
	s.addHostVersion(name, hostVersion{})
}

func (s *Server) addHostVersion(name string, v hostVersion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v.at = s.opts.Clock.Now()
	history := s.hosts[name]
	if history == nil {
		history = &hostHistory{}
		s.hosts[name] = history
	}
	history.versions = append(history.versions, v)
}

// visible returns the newest version that is older than the lag, and forgets
// the ones before.
func (h *hostHistory) visible(horizon time.Time) (endpointapi.Host, bool) {
	newest := -1
	for i, v := range h.versions {
		if !v.at.After(horizon) {
			newest = i
		}
	}
	if newest < 0 {
		return endpointapi.Host{}, false
	}
	h.versions = h.versions[newest:]
	return h.versions[0].host, h.versions[0].present
}

func (s *Server) hostsAnswer() endpointapi.HostsAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	horizon := s.opts.Clock.Now().Add(-s.opts.HostListLag)
	answer := endpointapi.HostsAnswer{Hosts: []endpointapi.Host{}, LagMillis: s.opts.HostListLag.Milliseconds()}
	for _, history := range s.hosts {
		if host, ok := history.visible(horizon); ok {
			answer.Hosts = append(answer.Hosts, host)
		}
	}
	sort.Slice(answer.Hosts, func(i, j int) bool { return answer.Hosts[i].Name < answer.Hosts[j].Name })
	return answer
}
