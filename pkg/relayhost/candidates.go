package relayhost

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/clementineshed/clementineshed/pkg/loadshare"
)

// mostFit returns the names of the n hosts that are preferred for what one host
// does for all. Hosts that hear each other name the same ones, whatever their
// order of start. Wide links come first: the load pattern is a fleet with hosts of
// unequal size, where a leader sends what it reads to every other host.
func mostFit(hosts []loadshare.Member, n int) []string {
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
