package loadshare

import (
	"net"
	"time"

	"github.com/clementineshed/clementineshed/pkg/quota"
)

// SendQuota sends a datagram about quotas to a host. It returns false if the host's
// address is not known.
func (x *Exchange) SendQuota(host string, data []byte) bool {
	x.mu.Lock()
	p := x.peers[host]
	x.mu.Unlock()
	if p == nil {
		return false
	}
	// A failed send is a lost datagram.
	_, _ = x.opts.Conn.WriteTo(data, net.UDPAddrFromAddrPort(p.address))
	return true
}

// Heard records that a datagram of a host has arrived.
func (x *Exchange) Heard(host string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if p := x.peers[host]; p != nil {
		now := time.Now()
		p.directAt = now
		x.markHeard(p, now)
	}
}

// QuotaPeers returns what is known of the other hosts, live or not.
func (x *Exchange) QuotaPeers() []quota.Peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	peers := make([]quota.Peer, 0, len(x.peers))
	for name, p := range x.peers {
		peers = append(peers, quota.Peer{Host: name, HeardAt: p.shownAt, HeardSince: p.shownSince, Live: time.Since(p.heardAt) < x.live()})
	}
	return peers
}
