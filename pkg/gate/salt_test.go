package gate

import (
	"testing"

	"github.com/clementineshed/clementineshed/pkg/declaration"
	"github.com/clementineshed/clementineshed/pkg/prefix"
)

// groupConfig declares teams with and without a cache group.
type groupConfig struct{ *fakeConfig }

func (groupConfig) Team(name string) (declaration.Team, bool) {
	groups := map[string]string{"a": "", "b": "", "c": "desk", "d": "desk", "desk": ""}
	group, ok := groups[name]
	return declaration.Team{Name: name, CacheGroup: group}, ok
}

// Guards against prefix caches that teams share without having declared it: the
// time to the first token would reveal to one team what another has asked.
func TestPrefixCachesAreKeptApart(t *testing.T) {
	g := &Gate{Options: Options{Config: groupConfig{}}}
	prompt := make([]byte, prefix.ChunkBytes)
	firstHash := func(team string) uint64 { return prefix.Chain(g.cacheSalt(team), prompt)[0] }
	teams := []string{"a", "b", "c", "d", "desk"}
	for i, one := range teams {
		for _, other := range teams[i+1:] {
			shared := one == "c" && other == "d"
			if (firstHash(one) == firstHash(other)) != shared {
				t.Errorf("teams %s and %s: same prefix hash %v, want %v", one, other, !shared, shared)
			}
		}
	}
}
