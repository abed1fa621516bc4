package configstore

import (
	"sort"
	"time"

	"github.com/clementineshed/clementineshed/pkg/declaration"
)

// ConfirmWindow is the time after a confirmation for which a view counts as
// confirmed.
const ConfirmWindow = 8 * time.Second

// Confirmation holds the times, on the host's monotonic clock, at which the
// host's configuration is known to have contained every accepted record. Zero
// means never. Each time precedes the request whose answer confirmed the
// configuration.
type Confirmation struct {
	// OwnRead is the time of the host's last read that reached the end of the log.
	OwnRead time.Time
	// PeerRead is the time of the last such read by a peer whose configuration
	// this host contains. It is computed from the age that the peer reports.
	PeerRead time.Time
	// Majority is the time since which hosts in a majority of the failure domains
	// have reported a configuration that this host contains (see
	// MajorityContact).
	Majority time.Time
}

// At returns the latest confirmation, or zero if there was none.
func (c Confirmation) At() time.Time {
	at := c.lastRead()
	if c.Majority.After(at) {
		at = c.Majority
	}
	return at
}

// lastRead returns the time of the latest confirmation by a read of the log.
func (c Confirmation) lastRead() time.Time {
	if c.PeerRead.After(c.OwnRead) {
		return c.PeerRead
	}
	return c.OwnRead
}

// Usability is the outcome of a key check.
type Usability int

// Outcomes of a key check. All but KeyUsable refuse the request. After
// KeyUnconfirmed the request counts as not run, and a later check may accept the
// key.
const (
	KeyUnknown Usability = iota
	KeyWithdrawn
	KeyUnconfirmed
	KeyUsable
)

// String implements fmt.Stringer.
func (u Usability) String() string {
	return [...]string{"unknown", "withdrawn", "unconfirmed", "usable"}[u]
}

// CheckKey decides whether the key with hash h may be used. It is a pure
// function of the time, the view and its confirmation, and does not allocate.
//
// A key that an unconfirmed view does not declare is KeyUnconfirmed, because it
// may have been granted since. Keys of an offline team, whose OfflineKeys are
// OfflineServe, stay usable for the team's OfflineLimit after the last
// confirmation, or for ConfirmWindow if that is longer.
func CheckKey(now time.Time, v *View, c Confirmation, h KeyHash) (KeyEntry, Usability) {
	if v.Withdrawn(h) {
		return KeyEntry{}, KeyWithdrawn
	}
	at := c.At()
	confirmed := !at.IsZero() && now.Sub(at) <= ConfirmWindow
	entry, declared := v.Key(h)
	if !declared {
		if confirmed {
			return KeyEntry{}, KeyUnknown
		}
		return KeyEntry{}, KeyUnconfirmed
	}
	if confirmed || offlineUsable(now, at, entry.Team) {
		return entry, KeyUsable
	}
	return KeyEntry{}, KeyUnconfirmed
}

func offlineUsable(now, at time.Time, team *declaration.Team) bool {
	serve := team != nil && team.OfflineKeys == declaration.OfflineServe
	return serve && !at.IsZero() && now.Sub(at) <= team.OfflineLimit.Std()
}

// MajorityContact returns the latest time since which hosts in a majority of the
// domains have been in contact, or zero if there is no such majority.
// lastContact holds the time of the last contact per domain. If ownCounts, the
// host's own domain counts without contact. The result is also zero for a single
// domain whose own host counts, because that majority includes no other host.
func MajorityContact(ownDomain string, ownCounts bool, domains []string, lastContact map[string]time.Time) time.Time {
	needed := len(domains)/2 + 1
	var times []time.Time
	for _, domain := range domains {
		if domain == ownDomain && ownCounts {
			needed--
		} else if t, ok := lastContact[domain]; ok {
			times = append(times, t)
		}
	}
	if needed < 1 || len(times) < needed {
		return time.Time{}
	}
	sort.Slice(times, func(i, j int) bool { return times[i].After(times[j]) })
	return times[needed-1]
}
