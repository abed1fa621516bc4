package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
)

// decodeReplay plays streams at engines that differ in speed by 0.6, 1.0 and 1.6 and
// that all take 1.6 times longer per event with all slots taken. Two hosts choose by
// turns; every second stream is seen by the other host only by its report. It returns
// the share of the streams that end within limit, without the first second.
func decodeReplay(t *testing.T, speedsKnown bool, limit time.Duration) float64 {
	t.Helper()
	const (
		engines  = 24
		perToken = 9 * time.Millisecond
		slots    = 64
		rate     = 140.0 // streams a second
		length   = 12 * time.Second
		// outputLimit is the same for all, as that of the requests of one route.
		outputLimit = 600
	)
	rng := rand.New(rand.NewPCG(1, 7))
	members := replayFleet(0, engines)
	speed := map[string]float64{}
	for i, m := range members {
		speed[m.ID] = []float64{0.6, 1.0, 1.6}[i%3]
	}
	hosts := []*Model{replayModel(members), replayModel(members)}
	running := map[string]int{}
	type stream struct {
		end    time.Time
		host   int
		send   *InFlightSend
		id     string
		tokens int
		took   time.Duration
	}
	var open []stream
	onTime, all := 0, 0
	for now := replayStart; now.Before(replayStart.Add(length)); now = now.Add(time.Duration(rng.ExpFloat64() / rate * float64(time.Second))) {
		kept := open[:0]
		for _, s := range open {
			if s.end.After(now) {
				kept = append(kept, s)
				continue
			}
			running[s.id]--
			if sample, ok := hosts[s.host].ObserveDecode(s.send, outputLimit, s.tokens, s.took, s.end); ok {
				hosts[1-s.host].ApplyPeerDecode(sample, s.end)
			}
			hosts[s.host].EndSend(s.send, Completed, s.end)
			if s.end.After(replayStart.Add(time.Second)) {
				all++
				if s.took <= limit {
					onTime++
				}
			}
		}
		open = kept
		tokens := int(min(outputLimit, 20+rng.ExpFloat64()*150))
		job := Job{Parts: []Part{{ID: rng.Uint64(), Tokens: 1500}}, PromptTokens: 1500}
		if speedsKnown {
			job.OutputLimit = outputLimit
		}
		host := rng.IntN(2)
		c, ok := hosts[host].ChooseDecode(job, members[0], noneEjected{}, now)
		if !ok {
			t.Fatal("no engine was chosen")
		}
		send, report := hosts[host].BeginSend(endpoint.RoleDecode, job, c, now)
		hosts[1-host].ApplyPeerSend(report, now)
		running[c.Engine.ID]++
		took := time.Duration(float64(tokens) * float64(perToken) * speed[c.Engine.ID] * (1 + 1.6*float64(running[c.Engine.ID])/slots))
		open = append(open, stream{end: now.Add(took), host: host, send: send, id: c.Engine.ID, tokens: tokens, took: took})
	}
	return float64(onTime) / float64(all)
}

// Guards against outputs that miss their deadline at slow engines because the choice
// does not know the engines' speeds. The deadline is one and a half times what an idle
// engine of mean speed needs for the longest output. How long an output will be is not
// known, so that not every one can be in time.
func TestOutputsGoToFastEngines(t *testing.T) {
	const deadline = 8100 * time.Millisecond
	without, with := decodeReplay(t, false, deadline), decodeReplay(t, true, deadline)
	t.Logf("within %s: %.4f without the speeds, %.4f with them", deadline, without, with)
	if missed, before := 1-with, 1-without; missed > before*2/3 {
		t.Errorf("%.4f of the streams miss their deadline, %.4f without the speeds; want a third fewer", missed, before)
	}
}

// Guards against an engine that is avoided for ever after a pause, which no stream could
// then correct.
func TestDecodeMeanReturnsToThatOfAll(t *testing.T) {
	s := decodeSpeed{fleet: decodeMean{perEvent: 0.01, streams: 4, samples: 100}}
	e := &engine{decode: decodeMean{perEvent: 0.03, streams: 4, samples: 5, at: replayStart}}
	if got := s.meanAt(e, replayStart).perEvent; got != 0.03 {
		t.Errorf("%.4f s a token at the last stream, want 0.03", got)
	}
	if got := s.meanAt(e, replayStart.Add(5*decodeLife)).perEvent; got > 0.011 {
		t.Errorf("%.4f s a token long after the last stream, want about 0.01", got)
	}
}

// Guards against samples of another host that would spoil the estimates.
func TestImpossibleDecodeSamplesAreIgnored(t *testing.T) {
	members := replayFleet(0, 1)
	m := replayModel(members)
	for _, s := range []DecodeSample{
		{EngineID: "unknown", OutputLimit: 100, Events: 50, Streams: 1, Took: time.Second},
		{EngineID: members[0].ID, OutputLimit: 100, Events: 1, Streams: 1, Took: time.Second},
		{EngineID: members[0].ID, OutputLimit: 100, Events: 50, Streams: 0, Took: time.Second},
		{EngineID: members[0].ID, OutputLimit: 100, Events: 50, Streams: 1},
	} {
		m.ApplyPeerDecode(s, replayStart)
	}
	if n := m.decodeSpeed.fleet.samples; n != 0 {
		t.Errorf("%d samples were taken", n)
	}
}
