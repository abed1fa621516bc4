package relayhost

import (
	"slices"

	"github.com/clementineshed/clementineshed/pkg/loadshare"
)

// rankHosts returns the names of the n hosts preferred as leaders and
// candidates, best first. It sorts hosts in place. Hosts with wide links, at least
// half as wide as the widest, come first, because a leader sends what it reads to
// every other host. Among them as many failure domains as possible have one, because
// a domain may be lost. Hosts that hear each other compute the same result,
// regardless of their start order.
func rankHosts(hosts []loadshare.Member, n int) []string {
	loadshare.SortByLink(hosts)
	names := make([]string, 0, n)
	if len(hosts) == 0 {
		return names
	}
	wide := hosts[0].LinkBytesPerSecond / 2
	chosen := map[string]int{}
	left := slices.Clone(hosts)
	for len(names) < n && len(left) > 0 {
		best := 0
		for i, h := range left {
			if h.LinkBytesPerSecond < wide && left[best].LinkBytesPerSecond >= wide {
				break
			}
			if chosen[h.Domain] < chosen[left[best].Domain] {
				best = i
			}
		}
		names = append(names, left[best].Host)
		chosen[left[best].Domain]++
		left = slices.Delete(left, best, best+1)
	}
	return names
}
