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

// QuotaPeers returns what is known of the other hosts, live or not. It omits those whose
// address another host has taken.
func (x *Exchange) QuotaPeers() []quota.Peer {
	x.mu.Lock()
	defer x.mu.Unlock()
	now, live := time.Now(), x.live()
	peers := make([]quota.Peer, 0, len(x.peers))
	for name, p := range x.peers {
		lives := now.Sub(p.heardAt) < live
		if !lives && x.replaced(p, now.Add(-live)) {
			continue
		}
		peers = append(peers, quota.Peer{Host: name, HeardAt: p.shownAt, HeardSince: p.shownSince, DirectAt: p.directAt, Live: lives})
	}
	return peers
}

// replaced reports whether another peer, heard since a time, has the address of a peer.
// The peer has been killed then, though its announcement remains: it is not cut off. It
// must be called with mu held.
func (x *Exchange) replaced(p *peer, since time.Time) bool {
	for _, other := range x.peers {
		if other != p && other.address == p.address && other.shownAt.After(since) {
			return true
		}
	}
	return false
}
