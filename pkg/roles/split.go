package roles

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
)

// SplitMix divides engines that run one phase each between the phases. It keeps
// a base of decode engines and adds to them as the offered decode work grows;
// all others read prompts. The load pattern: prompts are many times longer than
// outputs, so that nearly all engines have to read, and the mix swings faster
// than an engine changes its role.
type SplitMix struct {
	// BaseShare is the part of the engines that generate without any load, and
	// MinDecode the least number, so that one can be lost.
	BaseShare float64
	MinDecode int
	// Use, 0 to 1, is the part of a decode engine that is planned.
	Use float64
	// Rest is the least time between two changes of one engine, and between any
	// change and the next that takes a decode engine away under load.
	Rest time.Duration
	// AtOnce bounds the share of the engines that change at the same time while
	// there is load.
	AtOnce float64
}

// DefaultSplitMix returns the strategy in use. One engine in six generates, and
// three at least: transfers to a decode engine take 10 to 30 ms of its link each,
// and at the declared loads this keeps the links at about half of Use, so that a
// burst needs no change, which takes an engine away for seconds.
func DefaultSplitMix() SplitMix {
	return SplitMix{BaseShare: 1.0 / 6, MinDecode: 3, Use: 0.5, Rest: 15 * time.Second, AtOnce: 0.17}
}

// idleWork is the offered work below which changes cost nothing.
const idleWork = 0.05

// Decode returns the number of decode engines wanted among n.
func (p SplitMix) Decode(work Work, n int) int {
	base := max(p.MinDecode, int(math.Ceil(p.BaseShare*float64(n)-1e-9)))
	need := int(math.Ceil(work.Decode/p.Use - 1e-9))
	return max(1, min(max(base, need), n/2))
}

// Decide implements Policy.
func (p SplitMix) Decide(in Input) []Change {
	var decode, prefill []Engine
	usable, changing := 0, 0
	inDomain := map[string]int{}
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
			inDomain[e.Domain]++
		} else {
			prefill = append(prefill, e)
		}
	}
	if usable < 2 {
		// The rest of the fleet may not have announced itself yet, and one engine
		// cannot run both phases.
		return nil
	}
	want := p.Decode(in.Work, usable)
	room := usable
	loaded := in.Work.Prefill+in.Work.Decode > idleWork
	if loaded {
		room = max(1, int(p.AtOnce*float64(usable))) - changing
	}
	from, to, n := prefill, endpoint.RoleDecode, want-len(decode)
	if n < 0 {
		from, to, n = decode, endpoint.RolePrefill, -n
		if loaded && in.Now.Sub(lastChange(in.Engines)) < p.Rest {
			return nil
		}
	}
	return p.pick(in, from, to, min(n, room), inDomain)
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

// pick takes up to n engines, such that the decode engines stay spread over the
// failure domains, idle ones first.
func (p SplitMix) pick(in Input, from []Engine, to endpoint.Role, n int, inDomain map[string]int) []Change {
	var out []Change
	left := slices.Clone(from)
	for len(out) < n && len(left) > 0 {
		sign := 1
		if to == endpoint.RolePrefill {
			sign = -1
		}
		slices.SortFunc(left, func(a, b Engine) int {
			return cmp.Or(sign*cmp.Compare(inDomain[a.Domain], inDomain[b.Domain]),
				cmp.Compare(a.DecodeStreams, b.DecodeStreams), cmp.Compare(a.ID, b.ID))
		})
		e := left[0]
		left = left[1:]
		rested := e.ChangedAt.IsZero() || in.Now.Sub(e.ChangedAt) >= p.Rest
		if e.Changing || !rested || in.Domain != "" && in.Domain != e.Domain {
			continue
		}
		inDomain[e.Domain] += sign
		out = append(out, Change{Engine: e.ID, From: e.Role, To: to})
	}
	return out
}
