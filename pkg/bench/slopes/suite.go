package slopes

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Options select what Run measures.
type Options struct {
	// Only names the slopes to run; all if empty.
	Only []string
	// Quick selects smaller sizes and shorter windows, which only check that
	// every slope works; the figures must not be published.
	Quick bool
	// Progress receives a line for each finished slope; nil for none.
	Progress io.Writer
}

// slope is one varied quantity with its sizes in a full and in a quick run.
type slope struct {
	name         string
	sizes, quick []int
	run          func(ctx context.Context, command string, sizes []int) ([]Result, error)
}

// newSlope returns a slope that runs measure at every size.
func newSlope(sw sweep, sizes, quick []int, measure func(ctx context.Context, size int) ([]figure, error)) slope {
	return slope{name: sw.name, sizes: sizes, quick: quick, run: func(ctx context.Context, command string, sizes []int) ([]Result, error) {
		s := newScenario(command, sw)
		for _, size := range sizes {
			if err := ctx.Err(); err != nil {
				return nil, errors.Wrap(err, sw.name)
			}
			figures, err := measure(ctx, size)
			if err != nil {
				return nil, errors.Wrapf(err, "%s: size %d", sw.name, size)
			}
			s.add(size, figures)
		}
		return s.results(), nil
	}}
}

// windows bound the measurements of the slopes that run in real time.
type windows struct {
	quic QUICOptions
	// poll, orders and leases are the durations of the measurement of each size.
	// Polling warms up for a third of poll beforehand.
	poll, orders, leases time.Duration
	// requests is the maximum number of requests of a size.
	requests int
	// domainHosts is the fixed number of hosts of membership-domains.
	domainHosts int
}

var (
	wholeWindows = windows{
		quic: QUICOptions{Window: 2 * time.Second},
		poll: 1500 * time.Millisecond, orders: 1500 * time.Millisecond, leases: 2 * leaseDuration,
		requests: 300, domainHosts: 300,
	}
	quickWindows = windows{
		quic: QUICOptions{WarmUp: 300 * time.Millisecond, Window: 300 * time.Millisecond},
		poll: 300 * time.Millisecond, orders: 300 * time.Millisecond, leases: leaseDuration / 3,
		requests: 20, domainHosts: 50,
	}
)

func allSlopes(quick bool) []slope {
	w := wholeWindows
	if quick {
		w = quickWindows
	}
	quicHosts := func(ctx context.Context, command string, sizes []int) ([]Result, error) {
		return HostsQUIC(ctx, command, sizes, w.quic)
	}
	domains := func(ctx context.Context, command string, sizes []int) ([]Result, error) {
		return Domains(ctx, command, w.domainHosts, sizes)
	}
	return slices.Concat(
		[]slope{
			{"membership-quic", []int{2, 16, 32, 64}, []int{2, 3, 4}, quicHosts},
			{"membership-hosts", []int{25, 100, 400, 1500}, []int{10, 25, 50}, Hosts},
			{"membership-domains", []int{5, 10, 15, 25}, []int{5, 10, 25}, domains},
			{"membership-teams", []int{8, 160, 1600, 13000}, []int{8, 16, 32}, Teams},
			{"membership-runners", []int{16, 160, 1600, 10000}, []int{16, 32, 64}, Runners},
		},
		routingSlopes(w), decisionSlopes(), fairnessSlopes(), configSlopes(), logSlopes(w), pathSlopes(w),
	)
}

// Names returns the names of all slopes.
func Names() []string {
	var names []string
	for _, s := range allSlopes(false) {
		names = append(names, s.name)
	}
	return names
}

// Run measures the selected slopes one after the other. Each result holds the
// command that repeats it. An unknown slope fails before any measurement; an error
// ends the run and is returned with the results so far.
func Run(ctx context.Context, opts Options) (Report, error) {
	for _, name := range opts.Only {
		if !Known(name) {
			return Report{}, errors.Errorf("unknown slope %q; known: %s", name, strings.Join(Names(), ", "))
		}
	}
	var report Report
	for _, s := range allSlopes(opts.Quick) {
		if len(opts.Only) > 0 && !slices.Contains(opts.Only, s.name) {
			continue
		}
		command, sizes := "clementineshed bench slopes --only "+s.name, s.sizes
		if opts.Quick {
			command, sizes = command+" --quick", s.quick
		}
		start := time.Now()
		results, err := s.run(ctx, command, sizes)
		if err != nil {
			return report, err
		}
		report.Results = append(report.Results, results...)
		if opts.Progress != nil {
			_, _ = fmt.Fprintf(opts.Progress, "%s: %.1f s\n", s.name, time.Since(start).Seconds())
		}
	}
	return report, nil
}

// repeats is the number of measurements of a time. The shortest one counts,
// because other load can only lengthen it.
const repeats = 3

// secondsPerCall returns the shortest mean time of n calls.
func secondsPerCall(n int, call func(i int)) float64 {
	shortest := time.Duration(1<<63 - 1)
	for range repeats {
		start := time.Now()
		for i := range n {
			call(i)
		}
		shortest = min(shortest, time.Since(start))
	}
	return shortest.Seconds() / float64(n)
}
