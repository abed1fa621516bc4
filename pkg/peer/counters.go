package peer

import (
	"maps"
	"sync"

	"github.com/quic-go/quic-go"
)

// Traffic counts messages and the bytes of their frames.
type Traffic struct {
	MessagesSent     uint64 `json:"messages_sent"`
	MessagesReceived uint64 `json:"messages_received"`
	BytesSent        uint64 `json:"bytes_sent"`
	BytesReceived    uint64 `json:"bytes_received"`
}

// Counters is a snapshot of a node's counters since its start.
type Counters struct {
	Traffic
	// Kinds splits Traffic by kind.
	Kinds map[Kind]Traffic `json:"kinds"`
	// Connections is the number of open connections, dialed by either side.
	Connections int `json:"connections"`
	// WireBytesSent and WireBytesReceived count UDP payload bytes, including
	// handshakes, keep-alives and retransmissions.
	WireBytesSent     uint64 `json:"wire_bytes_sent"`
	WireBytesReceived uint64 `json:"wire_bytes_received"`
	// PacketsSent and PacketsReceived count QUIC packets.
	PacketsSent     uint64 `json:"packets_sent"`
	PacketsReceived uint64 `json:"packets_received"`
	Dials           uint64 `json:"dials"`
	DialsFailed     uint64 `json:"dials_failed"`
	// SilentConnections counts connections on which nothing arrived during a
	// request; new requests no longer use them.
	SilentConnections uint64 `json:"silent_connections"`
	// RefusedBusy counts incoming messages refused because MaxServing was
	// reached.
	RefusedBusy uint64 `json:"refused_busy"`
	// Timeouts counts own requests and one-way messages that timed out.
	Timeouts uint64 `json:"timeouts"`
}

// counters holds the node's totals. It is safe for concurrent use.
type counters struct {
	mu     sync.Mutex
	totals Counters
}

func newCounters() *counters {
	return &counters{totals: Counters{Kinds: map[Kind]Traffic{}}}
}

func (c *counters) add(change func(*Counters)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.totals)
}

func (c *counters) sent(kind Kind, frameBytes int) {
	c.addTraffic(kind, Traffic{MessagesSent: 1, BytesSent: uint64(frameBytes)})
}

func (c *counters) received(kind Kind, frameBytes int) {
	c.addTraffic(kind, Traffic{MessagesReceived: 1, BytesReceived: uint64(frameBytes)})
}

func (c *counters) addTraffic(kind Kind, t Traffic) {
	c.add(func(all *Counters) {
		all.Traffic = all.plus(t)
		all.Kinds[kind] = all.Kinds[kind].plus(t)
	})
}

func (t Traffic) plus(o Traffic) Traffic {
	t.MessagesSent += o.MessagesSent
	t.MessagesReceived += o.MessagesReceived
	t.BytesSent += o.BytesSent
	t.BytesReceived += o.BytesReceived
	return t
}

// addConnectionStats adds the bytes and packets of one connection.
func (c *Counters) addConnectionStats(s quic.ConnectionStats) {
	c.WireBytesSent += s.BytesSent
	c.WireBytesReceived += s.BytesReceived
	c.PacketsSent += s.PacketsSent
	c.PacketsReceived += s.PacketsReceived
}

func (c *counters) snapshot() Counters {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.totals
	out.Kinds = maps.Clone(c.totals.Kinds)
	return out
}
