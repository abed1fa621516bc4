package relay

import (
	"encoding/binary"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/fleet"
	"github.com/clementineshed/clementineshed/pkg/quarantine"
	"github.com/clementineshed/clementineshed/pkg/refusal"
)

// maxWritingTime is how long after its first event a stream may still have caused the
// crash of its engine. An engine that survives a prompt for longer can run it.
const maxWritingTime = time.Second

// crashProbeWait bounds how long a broken request waits, before it is sent again, for the
// answer to whether its endpoint has crashed. A refused connection takes one round trip.
const crashProbeWait = 20 * time.Millisecond

// featuresOf returns what the request may have in common with others that crash
// endpoints: the parts of its prompt except the last one, which is its own, and the
// whole request.
func featuresOf(call *Call, team string) []quarantine.Feature {
	whole := xxhash.New()
	write := func(data []byte) {
		// Lengths keep different splits of the same bytes apart. Writes to a hash do
		// not fail.
		_, _ = whole.Write(binary.BigEndian.AppendUint64(nil, uint64(len(data))))
		_, _ = whole.Write(data)
	}
	for _, s := range []string{team, call.Method, call.Host, call.Target} {
		write([]byte(s))
	}
	write(call.Body)
	var features []quarantine.Feature
	if call.Prompt != nil {
		for i, p := range call.Prompt.Parts {
			write(binary.BigEndian.AppendUint64(nil, p.ID))
			if i < len(call.Prompt.Parts)-1 {
				features = append(features, quarantine.Feature(p.ID))
			}
		}
	}
	return append(features, quarantine.Feature(whole.Sum64()))
}

// crashFeatures returns the features of the request.
func (x *exchange) crashFeatures() []quarantine.Feature {
	if x.features == nil {
		x.features = featuresOf(&x.call, x.team)
	}
	return x.features
}

// quarantineRefusal returns the refusal of a request that is expected to crash the
// endpoint that runs it, nil for any other one.
func (h *Handler) quarantineRefusal(x *exchange) *refusal.Refusal {
	if !h.Guard.Harmful(x.crashFeatures()) {
		return nil
	}
	if x.ran || x.attempts > 0 {
		return refusal.Unknown(502, refusal.CodeQuarantined, "the request has crashed endpoints; it may have run")
	}
	return refusal.NotRun(503, refusal.CodeQuarantined, "requests like this one crash endpoints").WithRetryAfter(x.retryAfter(quarantine.SuspicionTTL))
}

// confirmCrash records that the endpoint broke off the request, which was sent at a
// time, while it may have been running it. firstEventAt is when its first event
// arrived, zero if none did. It returns once it is known whether the endpoint has
// crashed, or after crashProbeWait, so that the request is not sent again in ignorance.
func (h *Handler) confirmCrash(x *exchange, m fleet.Member, sentAt, firstEventAt time.Time) {
	if x.workCtx.Err() != nil || !firstEventAt.IsZero() && time.Since(firstEventAt) > maxWritingTime {
		return
	}
	if x.attempt.retryTaken {
		// The host gave the silent endpoint up; the endpoint broke off nothing.
		return
	}
	// A leaving endpoint ends without a crash. The announcement of one that has crashed
	// may be gone already, or be that of its next process.
	if current, found := h.Fleet.Find(m.ID); found && current.StartedMillis == m.StartedMillis && current.State == endpoint.StateLeaving {
		return
	}
	process := quarantine.Crash{Endpoint: m.ID, Process: strconv.FormatInt(m.StartedMillis, 10)}
	known := h.Guard.Broken(process, m.Address, x.crashFeatures(), sentAt)
	timer := time.NewTimer(crashProbeWait)
	defer timer.Stop()
	select {
	case <-known:
	case <-timer.C:
	case <-x.workCtx.Done():
	}
}
