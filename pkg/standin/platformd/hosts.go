package platformd

import (
	"sort"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpointapi"
)

// hostHistory holds the versions of one host that the lagging host list may
// still show, oldest first.
type hostHistory struct {
	versions []hostVersion
}

type hostVersion struct {
	at      time.Time
	host    endpointapi.Host
	present bool
}

// SetHost adds or replaces a host. The host list shows the change after
// Options.HostListLag.
func (s *Server) SetHost(h endpointapi.Host) {
	s.addHostVersion(h.Name, hostVersion{host: h, present: true})
}

// RemoveHost removes a host. The host list shows the change after
// Options.HostListLag.
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

// visible returns the newest version that is not later than cutoff, and drops
// the older ones. It returns false if the host is not listed then.
func (h *hostHistory) visible(cutoff time.Time) (endpointapi.Host, bool) {
	newest := -1
	for i, v := range h.versions {
		if !v.at.After(cutoff) {
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
	cutoff := s.opts.Clock.Now().Add(-s.opts.HostListLag)
	answer := endpointapi.HostsAnswer{Hosts: []endpointapi.Host{}, LagMillis: s.opts.HostListLag.Milliseconds()}
	for _, history := range s.hosts {
		if host, ok := history.visible(cutoff); ok {
			answer.Hosts = append(answer.Hosts, host)
		}
	}
	sort.Slice(answer.Hosts, func(i, j int) bool { return answer.Hosts[i].Name < answer.Hosts[j].Name })
	return answer
}
