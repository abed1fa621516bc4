package membership

import "time"

// ensureOrigin returns the record of an incarnation, creating it if needed. A
// new incarnation supersedes the host's current one. The result is nil for an
// ended incarnation that brings no lasting entry.
func (c *core) ensureOrigin(i Incarnation, lasting bool, now time.Time) *origin {
	if o := c.origins[i.id()]; o != nil {
		return o
	}
	if i.Host == c.self.Host {
		c.handleOwnHost(i, now)
	}
	current := c.byHost[i.Host]
	mark, gone := c.gone[i.Host]
	ended := gone && i.Nonce <= mark.nonce || current != nil && !newer(i, current.Incarnation)
	if ended && !lasting {
		return nil
	}
	o := newOrigin(i, now)
	c.add(o)
	if ended {
		o.superseded = true
		return o
	}
	c.byHost[i.Host] = o
	if current != nil {
		c.supersede(current)
	}
	return o
}

// newer reports whether incarnation a of a host is newer than b.
func newer(a, b Incarnation) bool {
	if a.Nonce != b.Nonce {
		return a.Nonce > b.Nonce
	}
	return a.id() > b.id()
}

// handleOwnHost handles another incarnation of the own host. A process within
// its startupWindow raises its nonce above that of its predecessor, whose clock
// may have been ahead. A process that has run for longer has been replaced.
func (c *core) handleOwnHost(i Incarnation, now time.Time) {
	if i.Nonce < c.self.Nonce {
		return
	}
	if now.Sub(c.started) > startupWindow {
		c.replaced = true
		return
	}
	delete(c.origins, c.self.id)
	delete(c.byDomain[c.self.Domain], c.self.id)
	c.self.Nonce = i.Nonce + 1
	c.self.id = c.self.Incarnation.id()
	c.add(c.self)
}

// merge stores a delta and returns the entries that were new.
func (c *core) merge(d delta, now time.Time) []Entry {
	o := c.ensureOrigin(d.Origin, d.Through[streamLasting] > 0 && len(d.Entries) > 0, now)
	if o == nil || o == c.self {
		return nil
	}
	c.raiseHeartbeat(o, d.Heartbeat, now)
	base := o.seqs()
	var changed []Entry
	for _, w := range d.Entries {
		if w.Stream < 0 || w.Stream >= streamCount || o.superseded && w.Stream != streamLasting {
			continue
		}
		st := &o.streams[w.Stream]
		if base[w.Stream] < d.Base[w.Stream] || w.Seq <= st.through {
			continue
		}
		it := w.seqEntry(o.Host, now)
		c.store(st, it)
		st.through = w.Seq
		changed = append(changed, it.Entry)
		c.urgent = c.urgent || it.Lasting
	}
	for s := range o.streams {
		if base[s] >= d.Base[s] && (!o.superseded || stream(s) == streamLasting) {
			o.streams[s].through = max(o.streams[s].through, d.Through[s])
		}
	}
	if o.superseded && len(o.streams[streamLasting].byKey) == 0 {
		c.remove(o)
	}
	return changed
}

// raiseHeartbeat records a higher heartbeat and the time at which it arrived.
func (c *core) raiseHeartbeat(o *origin, heartbeat uint64, now time.Time) {
	if heartbeat <= o.heartbeat || o == c.self {
		return
	}
	o.heartbeat = heartbeat
	o.advanced = now
}

// mergeAll merges each delta and returns the entries that were new.
func (c *core) mergeAll(deltas []delta, now time.Time) []Entry {
	var changed []Entry
	for _, d := range deltas {
		changed = append(changed, c.merge(d, now)...)
	}
	return changed
}
