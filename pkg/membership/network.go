package membership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/fxamacker/cbor/v2"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/steperr"
)

// errPartitioned reports hosts that cannot reach each other in a Network.
var errPartitioned = errors.New("network partition")

// sampleEvery means that a Network encodes one of so many messages to measure
// their size. Encoding all would dominate the run time at 1,500 hosts.
const sampleEvery = 8

// Network runs many tables in one process without sockets, on a fake clock and
// with seeded randomness, for tests and measurements. It is not safe for
// concurrent use.
type Network struct {
	Clock *clockwork.FakeClock
	// Tables is indexed as Hosts.
	Tables []*Table
	Hosts  []ListedHost
	// Reachable reports whether a message gets from one host to another.
	Reachable func(from, to ListedHost) bool
	// Paused hosts run no ticks and answer nothing.
	Paused map[string]bool
	// Codec encodes and decodes every message, as a real transport does. Without
	// it, messages are passed on as they are and only a sample is encoded.
	Codec bool
	// Messages and Bytes count all messages of all hosts, without transport
	// overhead. Bytes is estimated from a sample unless Codec is set.
	Messages, Bytes uint64

	rand   *rand.Rand
	byHost map[string]int
}

// NewNetwork returns a network of the given number of hosts, spread evenly over
// the domains.
func NewNetwork(hosts, domains int, seed uint64) *Network {
	n := &Network{
		Clock:     clockwork.NewFakeClockAt(time.Unix(1_700_000_000, 0)),
		Reachable: func(_, _ ListedHost) bool { return true },
		Paused:    map[string]bool{},
		rand:      rand.New(rand.NewPCG(seed, 0)),
		byHost:    map[string]int{},
	}
	for i := range hosts {
		l := ListedHost{Host: fmt.Sprintf("host-%04d", i), Domain: fmt.Sprintf("domain-%02d", i%domains)}
		n.Hosts = append(n.Hosts, l)
		n.byHost[l.Host] = i
	}
	n.Tables = make([]*Table, hosts)
	for i := range n.Tables {
		n.Restart(i, 1)
	}
	return n
}

// Restart replaces the table of host i with an empty one of a new incarnation.
func (n *Network) Restart(i int, nonce uint64) {
	l := n.Hosts[i]
	t := New(Options{
		Self:      Incarnation{Host: l.Host, Domain: l.Domain, Instance: "i", Nonce: nonce},
		Transport: networkTransport{n, l},
		Clock:     n.Clock,
		Rand:      rand.New(rand.NewPCG(n.rand.Uint64(), uint64(i))),
		Log:       &log.Logger{Handler: discard.New()},
	})
	t.SetHosts(n.Hosts)
	n.Tables[i] = t
}

// Run advances the clock by the given number of Intervals. In each, every host
// runs one Step, in random order, and then all bursts that are due.
func (n *Network) Run(intervals int) {
	for range intervals {
		n.Clock.Advance(Interval)
		for _, i := range n.rand.Perm(len(n.Tables)) {
			if !n.Paused[n.Hosts[i].Host] {
				n.Tables[i].Step()
			}
		}
		n.RunBursts()
	}
}

// RunBursts runs bursts until none is due and returns the number of rounds.
// Outside a Network this takes a few round trips.
func (n *Network) RunBursts() int {
	for rounds := 0; ; rounds++ {
		any := false
		for i, t := range n.Tables {
			any = !n.Paused[n.Hosts[i].Host] && t.Burst() || any
		}
		if !any {
			return rounds
		}
	}
}

// Count returns the number of tables for which check holds.
func (n *Network) Count(check func(*Table) bool) int {
	count := 0
	for _, t := range n.Tables {
		if check(t) {
			count++
		}
	}
	return count
}

// RunUntil runs until check holds for every table, for at most limit Intervals.
// It returns the number of Intervals that passed and whether check holds.
func (n *Network) RunUntil(limit int, check func(*Table) bool) (intervals int, ok bool) {
	for i := range limit {
		if n.Count(check) == len(n.Tables) {
			return i, true
		}
		n.Run(1)
	}
	return limit, n.Count(check) == len(n.Tables)
}

// transmit counts a message and returns it as the receiver gets it.
func (n *Network) transmit(m *Message) (*Message, error) {
	n.Messages++
	if !n.Codec && n.Messages%sampleEvery != 0 {
		return m, nil
	}
	data, err := cbor.Marshal(m)
	if err != nil || !n.Codec {
		n.Bytes += sampleEvery * uint64(len(data))
		return m, err
	}
	n.Bytes += uint64(len(data))
	var out Message
	return &out, cbor.Unmarshal(data, &out)
}

// networkTransport is the transport of one host of a Network.
type networkTransport struct {
	network *Network
	from    ListedHost
}

// Exchange implements Transport.
func (t networkTransport) Exchange(_ context.Context, host string, m *Message) (*Message, error) {
	n := t.network
	i, known := n.byHost[host]
	carried, err := n.transmit(m)
	if err != nil {
		return nil, steperr.Wrap(err, "encode exchange", host)
	}
	if !known || n.Paused[host] || !n.Reachable(t.from, n.Hosts[i]) || !n.Reachable(n.Hosts[i], t.from) {
		return nil, steperr.Wrap(errPartitioned, "exchange", host)
	}
	reply, err := n.Tables[i].Answer(t.from.Host, carried)
	if err != nil {
		return nil, err
	}
	return n.transmit(reply)
}
