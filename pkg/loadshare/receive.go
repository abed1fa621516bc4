package loadshare

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/keyedlog"
	"github.com/clementineshed/clementineshed/pkg/placement"
	"github.com/clementineshed/clementineshed/pkg/quotashare"
	"github.com/clementineshed/clementineshed/pkg/sleep"
)

// receive applies the datagrams of other hosts until ctx ends.
func (x *Exchange) receive(ctx context.Context) {
	buf := make([]byte, 64<<10)
	for ctx.Err() == nil {
		n, from, err := x.opts.Conn.ReadFrom(buf)
		if err != nil {
			if ctx.Err() == nil {
				// The socket reports failed deliveries of earlier datagrams
				// here.
				sleep.For(ctx, readErrorDelay)
			}
			continue
		}
		if n > 0 && buf[0] == envelopeHeader {
			var e envelope
			if err := cbor.Unmarshal(buf[:n], &e); err != nil {
				x.opts.Log.WithError(err).Warn("load_report_not_readable")
				continue
			}
			x.applyEnvelope(e)
			continue
		}
		if n > 0 && buf[0] == evidenceHeader {
			x.receiveEvidence(buf[:n])
			continue
		}
		if n > 0 && (buf[0] == quotashare.QuestionHeader || buf[0] == quotashare.AnswerHeader) {
			x.opts.OnQuota(buf[:n], func(data []byte) { _, _ = x.opts.Conn.WriteTo(data, from) })
			continue
		}
		var m message
		if err := cbor.Unmarshal(buf[:n], &m); err != nil {
			x.opts.Log.WithError(err).Warn("load_report_not_readable")
			continue
		}
		x.apply(m)
	}
}

// apply applies a message. It ignores the messages of unknown hosts.
func (x *Exchange) apply(m message) {
	x.mu.Lock()
	p := x.peers[m.Host]
	if p != nil {
		now := time.Now()
		p.directAt = now
		x.markHeard(p, now)
	}
	x.mu.Unlock()
	if p == nil {
		return
	}
	for _, p := range m.Pages {
		x.opts.OnPage(p.Topic, p.From, keyedlog.Page{Records: p.Records, Next: p.Next, End: p.Next, Era: m.Followed[EraTopic].Next})
	}
	// Pages are passed on first, because the progress says that their records
	// exist.
	x.opts.OnProgress(m.Followed)
	if len(m.Flushes) > 0 {
		x.opts.OnUsage(m.Flushes)
	}
	x.applyReports(m.Host, m.Reports)
}

// applyReports applies the reports of another host.
func (x *Exchange) applyReports(host string, reports []report) {
	for _, r := range reports {
		switch r.Phase {
		case phasePace:
			if p, startedMillis, ok := r.pace(); ok {
				x.opts.OnPace(p, startedMillis)
			}
			continue
		case phasePrefilled:
			if sample, ok := r.prefillSample(); ok {
				x.opts.OnPrefilled(r.Service, sample)
			}
			continue
		case phaseTeamWork:
			if ms, ok := r.teamWork(); ok {
				x.opts.OnTeamWork(r.Service, r.Engine, ms)
			}
			continue
		}
		if len(r.Parts) != len(r.Sizes) || r.WorkMicros < 0 {
			continue
		}
		switch r.Phase {
		case phaseBlocked:
			x.opts.OnBlock(r.Service, r.Engine, time.Duration(r.WorkMicros)*time.Microsecond)
			continue
		case phaseEjected, phaseEjectedUnreachable:
			x.opts.OnEject(r.Engine, host, r.failureKind())
			continue
		case phaseLeaving:
			if len(r.Parts) == 1 {
				x.opts.OnLeaving(r.Engine, host, int64(r.Parts[0]))
			}
			continue
		case phaseDecoded:
			if sample, ok := r.decodeSample(); ok {
				x.opts.OnDecoded(r.Service, sample)
			}
			continue
		case phaseCached:
			x.opts.OnCached(r.Service, r.Engine, r.parts())
			continue
		case phasePlain:
			x.opts.OnSend(r.Service, placement.SendReport{EngineID: r.Engine, WorkMicros: r.WorkMicros, Answers: r.answers()})
			continue
		}
		sent := placement.SendReport{EngineID: r.Engine, Role: endpoint.RolePrefill, WorkMicros: r.WorkMicros, Parts: r.parts()}
		if r.Phase == phaseDecode {
			sent.Role = endpoint.RoleDecode
		}
		x.opts.OnSend(r.Service, sent)
	}
}
