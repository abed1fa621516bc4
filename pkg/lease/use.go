package lease

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// Use is an order in flight under a lease. While it is open, this process
// writes no release for the key.
type Use struct {
	m   *Manager
	key Key
	// fence is the fencing token at Begin.
	fence int64
	once  sync.Once
}

// Begin opens a use. It fails like Check. The caller must end the use with Done
// once the order was answered, was certainly not sent, or can no longer arrive.
func (m *Manager) Begin(k Key) (*Use, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	grant, err := m.check(k)
	if err != nil {
		return nil, err
	}
	m.ownLeases[k].uses[grant.Fence]++
	return &Use{m: m, key: k, fence: grant.Fence}, nil
}

// Check is Manager.Check for the term in which the use began. It fails with
// ErrNotHolder in a later term, so that a result of Uncleared obtained since
// Begin still applies. It must be called immediately before the order is sent.
func (u *Use) Check() (Grant, error) {
	grant, err := u.m.Check(u.key)
	if err == nil && grant.Fence != u.fence {
		return Grant{}, errors.Wrapf(ErrNotHolder, "%s: a later term has begun", u.key)
	}
	return grant, err
}

// Done ends the use. Further calls have no effect.
func (u *Use) Done() {
	u.once.Do(func() {
		u.m.mu.Lock()
		defer u.m.mu.Unlock()
		o := u.m.ownLeases[u.key]
		o.uses[u.fence]--
		if o.uses[u.fence] == 0 {
			delete(o.uses, u.fence)
		}
		if len(o.uses) == 0 {
			close(o.idle)
			o.idle = make(chan struct{})
		}
	})
}

// Release gives up a lease for the lifetime of the process: Check and Begin fail
// from now on. It waits until no use is open, then appends the release record.
// If ctx ends first, it fails with ErrInUse and writes no release, and the lease
// expires after its duration. Errors of the append are returned as they are. A
// key that is not in Options.Keys fails with ErrNotHolder.
func (m *Manager) Release(ctx context.Context, k Key) error {
	m.mu.Lock()
	o := m.ownLeases[k]
	if o == nil {
		m.mu.Unlock()
		return errors.Wrap(ErrNotHolder, k.String())
	}
	o.stopped = true
	m.mu.Unlock()
	if err := m.waitIdle(ctx, k); err != nil {
		return err
	}
	return m.appendRelease(ctx, k)
}

func (m *Manager) waitIdle(ctx context.Context, k Key) error {
	for {
		m.mu.Lock()
		uses, idle := len(m.ownLeases[k].uses), m.ownLeases[k].idle
		m.mu.Unlock()
		if uses == 0 || m.disabled.releaseInUse {
			return nil
		}
		select {
		case <-idle:
		case <-ctx.Done():
			return errors.Wrapf(ErrInUse, "%s: orders of %d terms are open", k, uses)
		}
	}
}
