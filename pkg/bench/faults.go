package bench

import (
	"container/heap"
	"time"

	"github.com/clementineshed/clementineshed/pkg/capacity"
	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/retry"
)

func (s *simulation) inject(f Fault) {
	switch f.Kind {
	case ReclaimDomain:
		s.reclaim(f)
	case CrashInRoleChange:
		s.crashDuringRoleChange(f)
	case HostLost:
		s.killHost(f)
	case DomainPartitioned:
		s.partitionDomain(f)
	case PlatformDown:
		s.platformDown = true
		s.after(f.For, func() { s.platformDown = false })
	}
}

// reclaim withdraws all reclaimable engines of the domain that has most of
// them. The domain offers no new ones while the fault lasts.
func (s *simulation) reclaim(f Fault) {
	domain := s.domainWithMostReclaimable()
	s.unavailableUntil[capacity.Place{Domain: domain, Kind: kindReclaimable}] = s.now + f.For
	for _, e := range s.engines {
		if !e.Reclaimable || e.Domain != domain || e.State == "" {
			continue
		}
		s.after(reclaimNotice, func() { s.remove(e, true) })
		s.announceLeave(e, reclaimNotice)
	}
	if _, fixed := s.policy.Capacity.(capacity.Static); fixed {
		// The platform replaces the engines that a fixed fleet declares.
		s.after(f.For, func() { s.addEngine(capacity.Place{Domain: domain, Kind: kindReclaimable}, engineStartTime) })
	}
}

func (s *simulation) domainWithMostReclaimable() string {
	count := map[string]int{}
	best := s.dep.Domains[0]
	for _, e := range s.engines {
		if e.Reclaimable && e.up {
			count[e.Domain]++
		}
	}
	for _, d := range s.dep.Domains {
		if count[d] > count[best] {
			best = d
		}
	}
	return best
}

// announceLeave marks an engine as leaving and updates the hosts, both after
// noticeDelay.
func (s *simulation) announceLeave(e *fakeEngine, in time.Duration) {
	s.after(noticeDelay, func() {
		e.State, e.since = endpoint.StateLeaving, s.now
		if in > 0 {
			e.LeaveAtMillis = at(s.now + in).UnixMilli()
		}
		for _, h := range s.hosts {
			if h.up {
				s.refresh(h)
			}
		}
	})
}

// remove stops an engine for good; its streams resume elsewhere.
func (s *simulation) remove(e *fakeEngine, reclaimed bool) {
	e.up = false
	e.State = ""
	for _, item := range e.drop() {
		if reclaimed {
			item.job.interrupted = true
		}
		s.after(resetDelay, func() { s.retrySend(item, retry.Attempt{}) })
	}
	for i, other := range s.engines {
		if other == e {
			s.engines = append(s.engines[:i:i], s.engines[i+1:]...)
			break
		}
	}
	for _, h := range s.hosts {
		h.config.Index.Forget(e.ID)
		h.config.Sends.Forget(e.ID)
	}
}

// crashDuringRoleChange crashes the first engine that is changing its role after
// roleChangeCrashDelay. It starts a role change after five seconds, as an
// operator would, so that there is one.
func (s *simulation) crashDuringRoleChange(f Fault) {
	s.crashPending = true
	s.after(5*time.Second, func() {
		if s.crashPending {
			s.changeRole(s.engines[0], s.engines[0].role)
		}
	})
	s.after(roleChangeCrashDelay, func() {
		for _, e := range s.engines {
			if e.changing {
				s.crash(e, f.For)
				s.crashPending = false
				return
			}
		}
	})
}

// roleChangeCrashDelay is long enough for an ordered change to have begun.
const roleChangeCrashDelay = 8 * time.Second

// crash ends an engine's process. It restarts with an empty cache and its old
// role.
func (s *simulation) crash(e *fakeEngine, back time.Duration) {
	e.up, e.changing = false, false
	for _, item := range e.drop() {
		s.after(resetDelay, func() { s.retrySend(item, retry.Attempt{}) })
	}
	s.after(back, func() {
		e.Instance += "+"
		e.draining = false
		newCache(e)
		e.sequence, e.events = 0, nil
		e.up, e.at = true, s.now
	})
}

// killHost kills the first host, which restarts later. Callers resend.
func (s *simulation) killHost(f Fault) {
	h := s.hosts[0]
	h.up = false
	s.after(balancerDelay, func() { h.inBalancer = false })
	for _, e := range s.engines {
		e.cancel(h)
	}
	for _, j := range s.jobs {
		if !j.closed && j.req != nil && j.entryHost == h {
			s.resend(j)
		}
	}
	s.after(f.For, func() {
		s.startHost(h, s.result.Seed)
		h.up, h.inBalancer = true, true
		s.refresh(h)
	})
}

// partitionDomain cuts the last domain off from the others and from role
// changes. Streams across the partition go silent, and their hosts resume them.
func (s *simulation) partitionDomain(f Fault) {
	s.partitioned = s.dep.Domains[len(s.dep.Domains)-1]
	for _, e := range s.engines {
		for _, item := range e.removeWork(func(h *host) bool { return !s.reachable(h.domain, e.Domain) }) {
			s.after(silenceTimeout, func() { s.retrySend(item, retry.Attempt{}) })
		}
	}
	s.after(f.For, func() { s.partitioned = "" })
}

// cancel drops the host's work, as an engine does when the connection breaks.
func (e *fakeEngine) cancel(h *host) {
	e.removeWork(func(other *host) bool { return other == h })
}

// removeWork removes and returns the work of the hosts for which gone is true.
func (e *fakeEngine) removeWork(gone func(h *host) bool) []*work {
	var lost []*work
	all := e.drop()
	for _, item := range all {
		if gone(item.host) {
			lost = append(lost, item)
		}
	}
	for _, item := range all {
		if gone(item.host) {
			continue
		}
		if item.first > 0 || item.last > 0 {
			e.resume(item)
		} else {
			e.submit(item)
		}
	}
	return lost
}

// resume restores a stream that drop removed.
func (e *fakeEngine) resume(item *work) {
	item.job.produced -= e.steps - item.first + 1
	e.kvUsed += item.tokens
	heap.Push(&e.streams, item)
}
