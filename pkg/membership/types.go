package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Scope is the set of hosts that an entry reaches.
type Scope int

// Scopes of entries.
const (
	// ScopeDomain entries reach the hosts of the publisher's failure domain.
	ScopeDomain Scope = iota
	// ScopeGlobal entries reach every host.
	ScopeGlobal
)

// Entry is one versioned value. Its identity is the publisher, kind and key.
type Entry struct {
	Kind  string
	Key   string
	Scope Scope
	// Version orders values of one identity, and values of several publishers
	// with the same kind and key; the highest is in force.
	Version uint64
	Value   []byte
	// TTL is how long the entry lives after Publish; zero means as long as the
	// publisher's incarnation. Each transfer between hosts can lengthen it by
	// the delay of the transfer.
	TTL time.Duration
	// Lasting entries live on after their publisher until their TTL ends. They
	// need ScopeGlobal and a TTL.
	Lasting bool
	// Bulk marks entries of ScopeGlobal that are many and change often, such as
	// one per team. An exchange sends them after all other entries, so they
	// spread more slowly when its byte limit is reached.
	Bulk bool
	// Host is the publisher. Publish sets it.
	Host string
}

// ErrLasting reports a lasting entry without ScopeGlobal or TTL.
var ErrLasting = errors.New("a lasting entry needs global scope and a TTL")

// MaxValueBytes bounds the value of an entry. Larger values belong in the log
// or in requests of their own.
const MaxValueBytes = 16 << 10

// ErrTooLarge reports a value over MaxValueBytes.
var ErrTooLarge = errors.New("entry value exceeds the size limit")

// ErrStale reports an entry whose version is not higher than the published one.
var ErrStale = errors.New("version is not higher than the published one")

// Incarnation identifies one run of the process of a host.
type Incarnation struct {
	_        struct{} `cbor:",toarray"`
	Host     string
	Domain   string
	Instance string
	// Nonce orders the incarnations of a host. It is the start time in Unix
	// milliseconds, raised above any nonce that peers know at the start.
	Nonce uint64
}

// id identifies the incarnation in digests.
func (i Incarnation) id() uint64 {
	h := xxhash.New()
	for _, s := range []string{i.Host, i.Domain, i.Instance} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	return mix(h.Sum64(), i.Nonce)
}

// mix combines two numbers into one that depends on both in every bit.
func mix(a, b uint64) uint64 {
	x := a ^ (b+0x9e3779b97f4a7c15)*0xbf58476d1ce4e5b9
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// State is the liveness of a host as this host sees it.
type State string

// States of hosts.
const (
	StateAlive State = "alive"
	// StateSuspected hosts get no forwarded work but keep their authority.
	StateSuspected State = "suspected"
	// StateGone hosts are no longer on the host list.
	StateGone State = "gone"
)

// ListedHost is one host of the platform's host list or the settings.
type ListedHost struct {
	Host   string
	Domain string
	// Address is the host's peer address as "IP:port".
	Address string
	Leaving bool
}

// Host is one row of the table.
type Host struct {
	ListedHost
	Incarnation Incarnation
	State       State
	// LastSeen is when a higher heartbeat last arrived, directly or through a
	// peer; zero if no incarnation of the host is known.
	LastSeen time.Time
	// ConfigOffset is what the host reported in the last direct exchange.
	ConfigOffset int64
}

// LocalStatus is what this host reports in each message of an exchange.
type LocalStatus struct {
	ConfigOffset int64
	// ConfirmedAge is the age of the last confirmed read to the end of the log;
	// negative if there was none.
	ConfirmedAge time.Duration
}

// AnswerFunc is called for each answer of a peer. ageOfConfirmation is the age of
// the peer's last confirmed log read at time at; negative if there was none. at
// is when the answered request was sent, so the sum of the age and the time since
// at is never below the true age.
type AnswerFunc func(host, domain string, ageOfConfirmation time.Duration, at time.Time)
