package admission

import "time"

// SetNeighbourLimit replaces the strictest limit between tokens of the classes;
// zero if none has one. Call it when the declared classes change.
func (c *Controller) SetNeighbourLimit(limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.config.NeighbourLimit = limit
}
