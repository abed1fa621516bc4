package relayhost

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/clementineshed/clementineshed/pkg/loadshare"
)

// rankHosts returns the names of the n hosts preferred as leaders and
// candidates, best first. It sorts hosts in place. Hosts with wide links come
// first, because a leader sends what it reads to every other host. Hosts that
// hear each other compute the same result, regardless of their start order.
func rankHosts(hosts []loadshare.Member, n int) []string {
	slices.SortFunc(hosts, func(a, b loadshare.Member) int {
		return cmp.Or(cmp.Compare(b.LinkBytesPerSecond, a.LinkBytesPerSecond),
			cmp.Compare(xxhash.Sum64String(a.Host), xxhash.Sum64String(b.Host)), strings.Compare(a.Host, b.Host))
	})
	names := make([]string, 0, n)
	for _, h := range hosts[:min(len(hosts), n)] {
		names = append(names, h.Host)
	}
	return names
}
