package slopes

import (
	"context"
	"fmt"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/membership"
)

const (
	// warmUpIntervals precede a measurement: hosts synchronize faster in their
	// first 20 s, which would hide the steady traffic.
	warmUpIntervals   = 25
	measuredIntervals = 20
	// propagationLimit ends the wait for an entry on the last host, in
	// intervals of 1 s.
	propagationLimit = 120
	// changePeriodIntervals is the period in which every entry changes once.
	changePeriodIntervals = 30
	// valueBytes is the size of an entry's value: two numbers and a name.
	valueBytes = 24
	// entryHosts and entryDomains are the fixed numbers of membership-teams. A
	// host holds each entry once, whatever the number of hosts.
	entryHosts, entryDomains = 64, 8
	// runnerDomains is the number of the target's domains that membership-runners
	// runs, with their share of the runners. runnerHosts is the number of their
	// hosts.
	runnerDomains = 2
	runnerHosts   = TargetHosts / TargetDomains * runnerDomains
	seed          = 1
)

// load is the size of one in-memory run.
type load struct {
	hosts, domains, entries int
	scope                   membership.Scope
}

// Hosts measures membership in memory; sizes are numbers of hosts in 25 failure
// domains. Each result holds command.
func Hosts(ctx context.Context, command string, sizes []int) ([]Result, error) {
	return measureSizes(ctx, newScenario(command, sweep{"membership-hosts", "hosts in 25 domains, in memory", TodayHosts, TargetHosts}), sizes, func(size int) load {
		return load{hosts: size, domains: TargetDomains}
	})
}

// Domains measures membership in memory with a fixed number of hosts; sizes are
// numbers of failure domains. Each result holds command.
func Domains(ctx context.Context, command string, hosts int, sizes []int) ([]Result, error) {
	text := fmt.Sprintf("failure domains of %d hosts together, in memory", hosts)
	return measureSizes(ctx, newScenario(command, sweep{"membership-domains", text, TodayDomains, TargetDomains}), sizes, func(size int) load {
		return load{hosts: hosts, domains: size}
	})
}

// Teams measures membership in memory with one global entry per team, each of
// which changes every 30 s; sizes are numbers of teams.
func Teams(ctx context.Context, command string, sizes []int) ([]Result, error) {
	return measureSizes(ctx, newScenario(command, sweep{"membership-teams", "teams with one global entry each that changes every 30 s, 64 hosts in 8 domains, in memory", TodayTeams, TargetTeams}), sizes, func(size int) load {
		return load{hosts: entryHosts, domains: entryDomains, entries: size, scope: membership.ScopeGlobal}
	})
}

// Runners measures membership in memory with one domain entry per runner, each
// of which changes every 30 s. Sizes are runners of the whole system; the run has
// two domains of 60 hosts each with their share of the runners.
func Runners(ctx context.Context, command string, sizes []int) ([]Result, error) {
	return measureSizes(ctx, newScenario(command, sweep{"membership-runners", "runners in 25 domains with one domain entry each that changes every 30 s, two domains of 60 hosts run, in memory", TodayRunners, TargetRunners}), sizes, func(size int) load {
		return load{hosts: runnerHosts, domains: runnerDomains, entries: max(1, size*runnerDomains/TargetDomains)}
	})
}

func measureSizes(ctx context.Context, s *scenario, sizes []int, loadOf func(size int) load) ([]Result, error) {
	for _, size := range sizes {
		if err := ctx.Err(); err != nil {
			return nil, errors.Wrap(err, s.name)
		}
		p, err := measureNetwork(loadOf(size))
		if err != nil {
			return nil, errors.Wrapf(err, "%s: size %d", s.name, size)
		}
		s.add(size, p.figures())
	}
	return s.results(), nil
}

// networkRun is an in-memory membership network whose entries change.
type networkRun struct {
	load
	network *membership.Network
	version uint64
	next    int
}

// publishEntries publishes the next count entries, in turn from all hosts.
func (r *networkRun) publishEntries(count int) error {
	for range count {
		if r.next == 0 {
			r.version++
		}
		e := membership.Entry{
			Kind: "slopes/entry", Key: fmt.Sprintf("name-%06d", r.next), Scope: r.scope,
			Version: r.version, Bulk: true, Value: make([]byte, valueBytes),
		}
		if err := r.network.Tables[r.next%r.hosts].Publish(e); err != nil {
			return err
		}
		r.next = (r.next + 1) % r.entries
	}
	return nil
}

func (r *networkRun) runIntervals(n int) error {
	for i := range n {
		// Distributes the remainder over the intervals, so that fewer entries
		// than intervals change too.
		due := r.entries*(i+1)/changePeriodIntervals - r.entries*i/changePeriodIntervals
		if err := r.publishEntries(due); err != nil {
			return err
		}
		r.network.Run(1)
	}
	return nil
}

func measureNetwork(l load) (point, error) {
	before := liveHeap()
	r := &networkRun{load: l, network: membership.NewNetwork(l.hosts, l.domains, seed)}
	r.network.Codec = true
	if err := r.publishEntries(l.entries); err != nil {
		return point{}, err
	}
	if err := r.runIntervals(warmUpIntervals); err != nil {
		return point{}, err
	}
	messages, bytes, cpu := r.network.Messages, r.network.Bytes, processorTime()
	if err := r.runIntervals(measuredIntervals); err != nil {
		return point{}, err
	}
	cpu = processorTime() - cpu
	perHost := float64(l.hosts * measuredIntervals)
	p := point{
		// Each message counts for its sender and its receiver.
		messages: 2 * float64(r.network.Messages-messages) / perHost,
		bytes:    2 * float64(r.network.Bytes-bytes) / perHost,
		cpu:      cpu.Seconds() / perHost / membership.Interval.Seconds(),
		heap:     (liveHeap() - before) / float64(l.hosts),
	}
	var err error
	p.propagation, err = r.measurePropagation()
	return p, err
}

// measurePropagation publishes one global entry and returns the seconds until
// every host has it, while the other entries keep changing.
func (r *networkRun) measurePropagation() (float64, error) {
	marker := membership.Entry{Kind: "slopes/marker", Key: "m", Scope: membership.ScopeGlobal, Version: 1}
	if err := r.network.Tables[0].Publish(marker); err != nil {
		return 0, err
	}
	for i := range propagationLimit {
		arrived := r.network.Count(func(t *membership.Table) bool {
			_, ok := t.Get(marker.Kind, marker.Key)
			return ok
		})
		if arrived == r.hosts {
			return float64(i) * membership.Interval.Seconds(), nil
		}
		if err := r.runIntervals(1); err != nil {
			return 0, err
		}
	}
	return (propagationLimit * membership.Interval).Seconds(), nil
}
