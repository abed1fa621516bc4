package engineclient

// Close implements net.Conn.
func (c *progressTimeoutConn) Close() error {
	if c.open != nil && !c.closed.Swap(true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}

// makeRoom closes idle connections until there is room for another one. Connections in
// use are not limited, because each serves a request that has been accepted.
func (p *pool) makeRoom() {
	for p.maxOpen > 0 && p.open.Load() >= int64(p.maxOpen) && p.closeLongestIdle() {
	}
}

// closeLongestIdle closes the connection that has been idle longest and reports whether
// there was one.
func (p *pool) closeLongestIdle() bool {
	p.mu.Lock()
	var longest *pooledConn
	var of string
	for address, conns := range p.idle {
		if len(conns) > 0 && (longest == nil || conns[0].idleSince.Before(longest.idleSince)) {
			longest, of = conns[0], address
		}
	}
	if longest != nil {
		// The connections to an address are in the order in which they became idle.
		if p.idle[of] = p.idle[of][1:]; len(p.idle[of]) == 0 {
			delete(p.idle, of)
		}
		p.closedForRoom++
	}
	p.mu.Unlock()
	if longest == nil {
		return false
	}
	// The end of a TLS session would be written first, which may block.
	_ = longest.raw.Close()
	return true
}

// CloseLongestIdle closes the connection that has been idle longest. It reports whether
// there was one.
func (c *Client) CloseLongestIdle() bool { return c.pool.closeLongestIdle() }

// Open returns the number of open connections, and how many idle ones have been closed
// to make room.
func (c *Client) Open() (open, closedForRoom int64) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.pool.open.Load(), c.pool.closedForRoom
}
