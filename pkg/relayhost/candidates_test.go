package relayhost

import (
	"slices"
	"testing"

	"github.com/clementineshed/clementineshed/pkg/loadshare"
)

// TestRankHostsPrefersWideLinks guards against a host with a narrow link that
// reads the store for a whole fleet although hosts with wide links are
// available, and against hosts that compute different results.
func TestRankHostsPrefersWideLinks(t *testing.T) {
	hosts := []loadshare.Member{{Host: "wide-2", LinkBytesPerSecond: 25e6}}
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		hosts = append(hosts, loadshare.Member{Host: name, LinkBytesPerSecond: 1.25e6})
	}
	hosts = append(hosts, loadshare.Member{Host: "wide-1", LinkBytesPerSecond: 25e6})
	got := rankHosts(slices.Clone(hosts), 3)
	if !slices.Contains(got[:2], "wide-1") || !slices.Contains(got[:2], "wide-2") {
		t.Errorf("got %v, want the hosts with wide links first", got)
	}
	slices.Reverse(hosts)
	if other := rankHosts(hosts, 3); !slices.Equal(other, got) {
		t.Errorf("reversed input gives %v, want %v", other, got)
	}
	if few := rankHosts([]loadshare.Member{{Host: "a"}}, 3); !slices.Equal(few, []string{"a"}) {
		t.Errorf("got %v, want the only host", few)
	}
}

// TestRankHostsSpreadsDomains guards against leaders and candidates that are all in
// one failure domain and are lost with it.
func TestRankHostsSpreadsDomains(t *testing.T) {
	var hosts []loadshare.Member
	for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
		hosts = append(hosts, loadshare.Member{Host: name + "-1", Domain: "d1", LinkBytesPerSecond: 25e6},
			loadshare.Member{Host: name + "-2", Domain: "d2", LinkBytesPerSecond: 20e6},
			loadshare.Member{Host: name + "-3", Domain: "d3", LinkBytesPerSecond: 1.25e6})
	}
	got := rankHosts(hosts, 4)
	domains := map[string]int{}
	for _, name := range got {
		domains[name[2:]]++
	}
	if domains["1"] != 2 || domains["2"] != 2 {
		t.Errorf("got %v, want two hosts of each domain with wide links", got)
	}
}
