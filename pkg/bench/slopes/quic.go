package slopes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/membership"
	"github.com/clementineshed/clementineshed/pkg/peer"
	"github.com/clementineshed/clementineshed/pkg/tlsconfig"
)

const (
	// quicWarmUp covers the handshakes and the faster synchronization of the hosts
	// in their first 20 s.
	quicWarmUp = 22 * time.Second
	// datagramOverheadBytes is the IPv4 and UDP header of each packet.
	datagramOverheadBytes = 28
	// propagationPollInterval is the resolution of the propagation time.
	propagationPollInterval = 20 * time.Millisecond
)

// QUICOptions configure HostsQUIC.
type QUICOptions struct {
	// WarmUp is the time before the first measurement; 22 s if zero, because
	// hosts synchronize faster in their first 20 s.
	WarmUp time.Duration
	// Window is the duration of the measurement of each size.
	Window time.Duration
	// Domains is the number of failure domains; one if zero.
	Domains int
}

// HostsQUIC measures membership between real peers on loopback, in real time;
// sizes are numbers of hosts. A host's connections grow with the hosts of its
// failure domain and not with all hosts, so the target is the hosts per domain of
// the target system times the domains of the run. Each result holds command.
func HostsQUIC(ctx context.Context, command string, sizes []int, opts QUICOptions) ([]Result, error) {
	if opts.WarmUp == 0 {
		opts.WarmUp = quicWarmUp
	}
	opts.Domains = max(1, opts.Domains)
	name := fmt.Sprintf("hosts in %d domains, QUIC on loopback in one process", opts.Domains)
	s := newScenario(command, sweep{
		name: "membership-quic", text: name,
		today:  float64(opts.Domains) * TodayHosts / TodayDomains,
		target: float64(opts.Domains) * TargetHosts / TargetDomains,
	})
	points, err := measureQUIC(ctx, sizes, opts)
	if err != nil {
		return nil, errors.Wrap(err, s.name)
	}
	for i, size := range sizes {
		s.add(size, points[i].figures())
	}
	return s.results(), nil
}

// host is one peer of a run.
type host struct {
	source *tlsconfig.Source
	node   *peer.Node
	table  *membership.Table
}

func (h *host) close() {
	if h.table != nil {
		h.table.Close()
	}
	if h.node != nil {
		h.node.Close()
	}
	if h.source != nil {
		h.source.Close()
	}
}

// hostGroup is a group of peers that are closed together.
type hostGroup []*host

// close closes the hosts concurrently, since each waits for its peers' streams.
func (group hostGroup) close() {
	var wg sync.WaitGroup
	for _, h := range group {
		wg.Go(h.close)
	}
	wg.Wait()
}

func startHosts(size, domains int) (group hostGroup, err error) {
	dir, err := os.MkdirTemp("", "slopes")
	if err != nil {
		return nil, errors.Wrap(err, "create directory for certificates")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ca, err := tlsconfig.NewDevCA(time.Now())
	if err != nil {
		return nil, err
	}
	var list []membership.ListedHost
	for i := range size {
		h := &host{}
		group = append(group, h)
		l := membership.ListedHost{Host: fmt.Sprintf("host-%04d", i), Domain: fmt.Sprintf("domain-%02d", i%domains)}
		if err := h.start(ca, dir, l, uint64(i)); err != nil {
			group.close()
			return nil, err
		}
		l.Address = h.node.Address()
		list = append(list, l)
	}
	for _, h := range group {
		h.table.SetHosts(list)
		h.table.Run()
	}
	return group, nil
}

func (h *host) start(ca *tlsconfig.DevCA, dir string, l membership.ListedHost, number uint64) error {
	clock := clockwork.NewRealClock()
	logger := &log.Logger{Handler: discard.New()}
	files, err := ca.WriteFiles(dir, l.Host)
	if err != nil {
		return err
	}
	// The files are removed after the start, so they must not be polled during
	// the run.
	h.source, err = tlsconfig.Open(tlsconfig.Options{Files: files, Clock: clock, Log: logger, PollInterval: time.Hour})
	if err != nil {
		return err
	}
	h.node, err = peer.Start(peer.Options{
		Host: l.Host, Listen: "127.0.0.1:0", TLS: h.source, Clock: clock, Log: logger,
		Rand:    rand.New(rand.NewPCG(seed, number)),
		Resolve: func(host string) (string, bool) { return h.table.Address(host) },
	})
	if err != nil {
		return err
	}
	h.table = membership.New(membership.Options{
		Self:      membership.Incarnation{Host: l.Host, Domain: l.Domain, Instance: "i", Nonce: 1},
		Transport: membership.PeerTransport{Node: h.node}, Clock: clock, Log: logger,
		Rand: rand.New(rand.NewPCG(seed+1, number)),
	})
	membership.Serve(h.node, h.table)
	return nil
}

func (group hostGroup) traffic() (messages, bytes float64) {
	for _, h := range group {
		c := h.node.Counters()
		messages += float64(c.MessagesSent + c.MessagesReceived)
		bytes += float64(c.WireBytesSent + c.WireBytesReceived)
		bytes += float64(c.PacketsSent+c.PacketsReceived) * datagramOverheadBytes
	}
	return messages, bytes
}

// measureQUIC starts a group of hosts for each size, so that all warm up at the
// same time. It then measures and closes one group after the other. The processor
// time and heap of a group are the decrease in those of the process once the
// group is closed.
func measureQUIC(ctx context.Context, sizes []int, opts QUICOptions) ([]point, error) {
	var groups []hostGroup
	defer func() {
		for _, group := range groups {
			group.close()
		}
	}()
	for _, size := range sizes {
		group, err := startHosts(size, opts.Domains)
		if err != nil {
			return nil, err
		}
		groups = append(groups, group)
	}
	if err := sleep(ctx, opts.WarmUp); err != nil {
		return nil, err
	}
	points := make([]point, len(sizes))
	var process []point
	for i := range sizes {
		p, whole, err := groups[0].measure(ctx, opts.Window)
		if err != nil {
			return nil, err
		}
		points[i], process = p, append(process, whole)
		groups[0].close()
		groups[0], groups = nil, groups[1:]
	}
	idle, err := measureProcess(ctx, opts.Window)
	process = append(process, idle)
	for i, size := range sizes {
		points[i].cpu = (process[i].cpu - process[i+1].cpu) / float64(size)
		points[i].heap = (process[i].heap - process[i+1].heap) / float64(size)
	}
	return points, err
}

// measure returns the group's traffic per host and propagation time, and the
// processor share and heap of the whole process.
func (group hostGroup) measure(ctx context.Context, window time.Duration) (own, process point, err error) {
	start := time.Now()
	messages, bytes := group.traffic()
	if process, err = measureProcess(ctx, window); err != nil {
		return own, process, err
	}
	perHost := time.Since(start).Seconds() * float64(len(group))
	messagesAfter, bytesAfter := group.traffic()
	own.messages = (messagesAfter - messages) / perHost
	own.bytes = (bytesAfter - bytes) / perHost
	own.propagation, err = group.measurePropagation(ctx)
	return own, process, err
}

// measureProcess returns the used share of a core in the window and the heap after
// it.
func measureProcess(ctx context.Context, window time.Duration) (point, error) {
	cpu, start := processorTime(), time.Now()
	err := sleep(ctx, window)
	share := (processorTime() - cpu).Seconds() / time.Since(start).Seconds()
	return point{cpu: share, heap: liveHeap()}, err
}

func (group hostGroup) measurePropagation(ctx context.Context) (float64, error) {
	marker := membership.Entry{Kind: "slopes/marker", Key: "m", Scope: membership.ScopeGlobal, Version: 1}
	start := time.Now()
	if err := group[0].table.Publish(marker); err != nil {
		return 0, err
	}
	for _, h := range group {
		for {
			if _, ok := h.table.Get(marker.Kind, marker.Key); ok {
				break
			}
			if time.Since(start) > propagationLimit*time.Second {
				return time.Since(start).Seconds(), nil
			}
			if err := sleep(ctx, propagationPollInterval); err != nil {
				return 0, err
			}
		}
	}
	return time.Since(start).Seconds(), nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}
