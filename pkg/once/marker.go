package once

import (
	"context"
	"fmt"
	"time"
)

// A starting host refuses requests while records younger than the period may be
// missing; it dates the missing ones by the first record that it can read. In a
// quiet stream that record may be young although nothing relevant is missing.
// Therefore hosts append a marker when no record was folded for a quarter of the
// period. If the period is at most half the log's retention, the first record is
// then older than the period at every start.
const (
	markersPerPeriod = 4
	// checksPerMarker is the number of checks per marker interval. Jitter spreads
	// the checks of the hosts, so that usually one host appends for all.
	checksPerMarker = 4
)

// startMarkers starts the goroutine that appends markers until Close.
func (x *Executor) startMarkers() {
	ctx, cancel := context.WithCancel(context.Background())
	x.stopMarkers = cancel
	interval := x.opts.Period / markersPerPeriod
	step := interval / checksPerMarker
	jitter := time.Duration(x.markerJitter * float64(step))
	x.markers.Go(func() {
		for n := int64(0); ; n++ {
			select {
			case <-ctx.Done():
				return
			case <-x.opts.Clock.After(step + jitter/checksPerMarker):
			}
			x.appendMarkerIfQuiet(n, interval)
		}
	})
}

// appendMarkerIfQuiet appends marker n if no record was folded for quiet.
func (x *Executor) appendMarkerIfQuiet(n int64, quiet time.Duration) {
	x.mu.Lock()
	due := !x.disabled.markers && x.opts.Clock.Since(x.foldedAt) >= quiet
	x.mu.Unlock()
	if due {
		x.recorder.add(fmt.Sprintf("marker:%s/%d", x.opts.Incarnation, n), kindMarker, struct{}{})
	}
}
