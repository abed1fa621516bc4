package relayhost

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/cespare/xxhash/v2"

	"github.com/clementineshed/clementineshed/pkg/fleet"
	"github.com/clementineshed/clementineshed/pkg/placement"
	"github.com/clementineshed/clementineshed/pkg/sleep"
	"github.com/clementineshed/clementineshed/pkg/steperr"
)

const (
	// cacheListTimeout bounds the request to one engine, maxCacheLists the number of
	// engines that are asked at the same time.
	cacheListTimeout = time.Second
	maxCacheLists    = 8
	// minRecoveredTokens is the shortest part that is worth telling the other hosts.
	minRecoveredTokens = 512
	// partsPerReport keeps a report at its usual size. reportRetryDelay is the wait
	// while too many reports are queued.
	partsPerReport   = 4
	reportRetryDelay = 50 * time.Millisecond
	// cacheReportRounds is how often each list is told, cacheReportInterval the time
	// between two rounds. Hosts that start later than the leaders miss the first one.
	cacheReportRounds   = 2
	cacheReportInterval = 1500 * time.Millisecond
)

// recoverCaches asks the engines once after the start of this host what they hold, and
// tells the other hosts, until ctx ends. The leaders divide the engines among them.
//
// Load pattern: all hosts lose power at once while the engines go on. Without their
// memory of past sends the hosts would have every shared part of the prompts read
// again.
func (h *Host) recoverCaches(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-h.stateLoaded:
	}
	// The leaders are known once the other hosts are heard.
	sleep.For(ctx, h.discoveryPeriod())
	leaders := h.leaders()
	self := slices.Index(leaders, h.settings.Host)
	table, err := h.routes.Current()
	if self < 0 || err != nil {
		return
	}
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxCacheLists)
	for _, s := range table.Services() {
		if s.Engine == nil {
			continue
		}
		for _, m := range h.fleet.Members(s.Name) {
			if int(xxhash.Sum64String(m.ID)%uint64(len(leaders))) != self {
				continue
			}
			wg.Go(func() {
				h.recoverCache(ctx, s.Name, m, slots)
			})
		}
	}
	wg.Wait()
}

// recoverCache asks one engine. slots bounds the engines that are asked at once.
func (h *Host) recoverCache(ctx context.Context, service string, m fleet.Member, slots chan struct{}) {
	held, err := h.listCache(ctx, m, slots)
	if err != nil {
		step, peer := steperr.StepAndPeer(err)
		h.log.WithFields(log.Fields{"engine": m.ID, "step": step, "peer": peer}).WithError(err).Warn("cache_not_listed")
		return
	}
	held = slices.DeleteFunc(held, func(p placement.Part) bool { return p.Tokens < minRecoveredTokens })
	h.applyCached(service, m.ID, held)
	h.log.WithFields(log.Fields{"engine": m.ID, "parts": len(held)}).Info("cache_listed")
	for round := range cacheReportRounds {
		if round > 0 {
			sleep.For(ctx, cacheReportInterval)
		}
		h.reportCache(ctx, service, m.ID, held)
	}
}

func (h *Host) listCache(ctx context.Context, m fleet.Member, slots chan struct{}) ([]placement.Part, error) {
	slots <- struct{}{}
	defer func() { <-slots }()
	ctx, cancel := context.WithTimeout(ctx, cacheListTimeout)
	defer cancel()
	return h.adapter.Platform.CachedParts(ctx, h.control, m)
}

func (h *Host) reportCache(ctx context.Context, service, engine string, held []placement.Part) {
	for parts := range slices.Chunk(held, partsPerReport) {
		for !h.exchange.ReportCached(service, engine, parts) && ctx.Err() == nil {
			sleep.For(ctx, reportRetryDelay)
		}
	}
}

// applyCached adds parts that an engine holds to the service's placement model.
func (h *Host) applyCached(service, engine string, parts []placement.Part) {
	h.models.For(service).ApplyCached(engine, parts, time.Now())
}
