package roles

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
)

// SplitRolePolicy divides the engines between prefill and decode such that both
// phases are equally far from their limit. It keeps a base of decode engines.
//
// It suits prompts many times longer than outputs, so that most engines have to
// prefill, and a mix that changes faster than an engine's role can. The division
// therefore follows the peaks of both phases. When the fleet cannot carry both
// peaks, such as after the loss of a failure domain, it follows the present work.
type SplitRolePolicy struct {
	// BaseDecodeSlots is the number of slots for decodes, per engine of the fleet,
	// that are kept without any load. MinDecode is the least number of decode
	// engines, so that one can be lost.
	BaseDecodeSlots float64
	MinDecode       int
	// MaxPeakUtilization, from 0 to 1, is the load of the fleet at the peaks of both
	// phases up to which the division follows them.
	MaxPeakUtilization float64
	// MinGain is the least decrease of the load of the busier phase for which
	// engines change under load.
	MinGain float64
	// Cooldown is the least time between two changes of one engine. PeakWindow is
	// the time for which a peak counts: bursts come again within it.
	Cooldown, PeakWindow time.Duration
	// MaxChangingShare bounds the share of engines that change at the same time
	// under load.
	MaxChangingShare float64
}

// DefaultSplitRolePolicy returns the default policy. Without load, one engine in
// six with 64 slots decodes, and at least three engines. A burst then needs no role
// change, which would take an engine out of service for seconds.
func DefaultSplitRolePolicy() SplitRolePolicy {
	return SplitRolePolicy{BaseDecodeSlots: 64.0 / 6, MinDecode: 3, MaxPeakUtilization: 0.7, MinGain: 0.12, Cooldown: 15 * time.Second, PeakWindow: 40 * time.Second, MaxChangingShare: 0.17}
}

const (
	// maxIdleWork is the offered work up to which the fleet counts as idle. All
	// engines may then change at once, because a change costs nothing.
	maxIdleWork = 0.05
	// defaultSlots is assumed for engines that declare no slots.
	defaultSlots = 64
)

// busierPhase returns the load of the busier phase if d of n engines decode.
func busierPhase(work Work, d, n int) float64 {
	return max(work.Decode/float64(max(d, 1)), work.Prefill/float64(max(n-d, 1)))
}

// DecodeEngines returns the wanted number of decode engines among n engines with a
// number of slots each. It is at least the base, at most half of n and at least 1.
func (p SplitRolePolicy) DecodeEngines(work Work, n, slots int) int {
	if slots <= 0 {
		slots = defaultSlots
	}
	base := max(p.MinDecode, int(math.Ceil(p.BaseDecodeSlots/float64(slots)*float64(n)-1e-9)))
	best := max(1, min(base, n/2))
	for d := best + 1; d <= n/2; d++ {
		if busierPhase(work, d, n) < busierPhase(work, best, n)-1e-9 {
			best = d
		}
	}
	return best
}

// demand returns the work that the division of n engines follows.
func (p SplitRolePolicy) demand(in Input, n int) Work {
	peak := Work{Prefill: max(in.Work.Prefill, in.Peak.Prefill), Decode: max(in.Work.Decode, in.Peak.Decode)}
	if peak.Prefill+peak.Decode > p.MaxPeakUtilization*float64(n) {
		return in.Work
	}
	return peak
}

// Decide implements Policy. Engines of different software versions cannot work on the same
// request, so that the engines of each version are divided by themselves.
func (p SplitRolePolicy) Decide(in Input) []Change {
	byVersion := map[string][]Engine{}
	usable := map[string]int{}
	total := 0
	for _, e := range in.Engines {
		byVersion[e.SoftwareVersion] = append(byVersion[e.SoftwareVersion], e)
		if e.Usable {
			usable[e.SoftwareVersion]++
			total++
		}
	}
	if len(usable) <= 1 {
		return p.decideVersion(in, false)
	}
	var out []Change
	for _, version := range slices.Sorted(maps.Keys(usable)) {
		part := in
		share := float64(usable[version]) / float64(total)
		part.Engines, part.Work, part.Peak = byVersion[version], in.Work.scaled(share), in.Peak.scaled(share)
		out = append(out, p.decideVersion(part, true)...)
	}
	return out
}

// scaled returns a share of the work.
func (w Work) scaled(share float64) Work {
	return Work{Prefill: w.Prefill * share, Decode: w.Decode * share}
}

// decideVersion decides on the engines of one software version. beside says that engines of
// other versions serve beside them. A version that then lacks a phase changes an engine also
// if the load is no reason to: its other engines are of no use.
func (p SplitRolePolicy) decideVersion(in Input, beside bool) []Change {
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
	if usable < 2 && (!beside || len(decode) > 0) {
		// The rest of the fleet may not have announced itself yet, and one engine
		// cannot run both phases. A decode engine can also prefill.
		return nil
	}
	work := p.demand(in, usable)
	want := p.DecodeEngines(work, usable, in.Slots)
	allowed := usable
	lacksPhase := beside && (len(decode) == 0 || len(prefill) == 0 && usable > 1)
	if in.Work.Prefill+in.Work.Decode > maxIdleWork {
		allowed = max(1, int(p.MaxChangingShare*float64(usable))) - changing
		if lacksPhase {
			want = max(1, min(len(decode), usable-1))
		} else if busierPhase(work, len(decode), usable)-busierPhase(work, want, usable) < p.MinGain {
			return nil
		}
	}
	from, to, n := prefill, endpoint.RoleDecode, want-len(decode)
	if n < 0 {
		from, to, n = decode, endpoint.RolePrefill, -n
	}
	return p.pickChanges(in, from, to, min(n, allowed), decodeByDomain)
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
