package roles

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
)

// SplitRolePolicy divides the engines between prefill and decode. It keeps a base
// of decode engines and adds to them as the offered decode work grows. All others
// prefill.
//
// It suits prompts many times longer than outputs, so that nearly all engines
// have to prefill, and a mix that changes faster than an engine's role can.
type SplitRolePolicy struct {
	// BaseDecodeShare is the share of the engines that decode without any load.
	// MinDecode is their least number, so that one can be lost.
	BaseDecodeShare float64
	MinDecode       int
	// TargetUtilization, from 0 to 1, is the planned load of a decode engine.
	TargetUtilization float64
	// Cooldown is the least time between two changes of one engine. Under load
	// no decode engine returns to prefill within Cooldown of any change.
	Cooldown time.Duration
	// MaxChangingShare bounds the share of engines that change at the same time
	// under load.
	MaxChangingShare float64
}

// DefaultSplitRolePolicy returns the default policy. One engine in six decodes,
// and at least three. A transfer to a decode engine takes 10 to 30 ms of its
// link; at the declared loads these shares keep the links at about half of
// TargetUtilization. A burst then needs no role change, which would take an
// engine out of service for seconds.
func DefaultSplitRolePolicy() SplitRolePolicy {
	return SplitRolePolicy{BaseDecodeShare: 1.0 / 6, MinDecode: 3, TargetUtilization: 0.5, Cooldown: 15 * time.Second, MaxChangingShare: 0.17}
}

// maxIdleWork is the offered work up to which the fleet counts as idle. All
// engines may then change at once, because a change costs nothing.
const maxIdleWork = 0.05

// DecodeEngines returns the wanted number of decode engines among n engines. It
// is at most half of n, and at least 1.
func (p SplitRolePolicy) DecodeEngines(work Work, n int) int {
	base := max(p.MinDecode, int(math.Ceil(p.BaseDecodeShare*float64(n)-1e-9)))
	need := int(math.Ceil(work.Decode/p.TargetUtilization - 1e-9))
	return max(1, min(max(base, need), n/2))
}

// Decide implements Policy.
func (p SplitRolePolicy) Decide(in Input) []Change {
	var decode, prefill []Engine
	usable, changing := 0, 0
	decodeByDomain := map[string]int{}
	for _, e := range in.Engines {
		if e.Changing {
			changing++
		}
		if !e.Usable {
			continue
		}
		usable++
		if e.Role == endpoint.RoleDecode {
			decode = append(decode, e)
			decodeByDomain[e.Domain]++
		} else {
			prefill = append(prefill, e)
		}
	}
	if usable < 2 {
		// The rest of the fleet may not have announced itself yet, and one engine
		// cannot run both phases.
		return nil
	}
	want := p.DecodeEngines(in.Work, usable)
	allowed := usable
	loaded := in.Work.Prefill+in.Work.Decode > maxIdleWork
	if loaded {
		allowed = max(1, int(p.MaxChangingShare*float64(usable))) - changing
	}
	from, to, n := prefill, endpoint.RoleDecode, want-len(decode)
	if n < 0 {
		from, to, n = decode, endpoint.RolePrefill, -n
		if loaded && in.Now.Sub(lastChange(in.Engines)) < p.Cooldown {
			return nil
		}
	}
	return p.pickChanges(in, from, to, min(n, allowed), decodeByDomain)
}

func lastChange(engines []Engine) time.Time {
	var last time.Time
	for _, e := range engines {
		if e.ChangedAt.After(last) {
			last = e.ChangedAt
		}
	}
	return last
}

// pickChanges selects up to n engines to change, idle ones first, such that the
// decode engines stay spread over the failure domains. It updates
// decodeByDomain.
func (p SplitRolePolicy) pickChanges(in Input, from []Engine, to endpoint.Role, n int, decodeByDomain map[string]int) []Change {
	var out []Change
	left := slices.Clone(from)
	for len(out) < n && len(left) > 0 {
		sign := 1
		if to == endpoint.RolePrefill {
			sign = -1
		}
		slices.SortFunc(left, func(a, b Engine) int {
			return cmp.Or(sign*cmp.Compare(decodeByDomain[a.Domain], decodeByDomain[b.Domain]),
				cmp.Compare(a.DecodeStreams, b.DecodeStreams), cmp.Compare(a.ID, b.ID))
		})
		e := left[0]
		left = left[1:]
		rested := e.ChangedAt.IsZero() || in.Now.Sub(e.ChangedAt) >= p.Cooldown
		if e.Changing || !rested || in.Domain != "" && in.Domain != e.Domain {
			continue
		}
		decodeByDomain[e.Domain] += sign
		out = append(out, Change{Engine: e.ID, From: e.Role, To: to})
	}
	return out
}
