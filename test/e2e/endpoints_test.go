package e2e

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/entryhost"
	"github.com/clementineshed/clementineshed/pkg/jsonhttp"
	"github.com/clementineshed/clementineshed/pkg/membership"
	"github.com/clementineshed/clementineshed/pkg/standin/engined"
	"github.com/clementineshed/clementineshed/pkg/standin/platformd"
)

// leaveTime is how long an endpoint that leaves may still get new work (R10: a
// few seconds).
const leaveTime = 3 * time.Second

// slowStreams makes a stream of 100 tokens last 5 s.
var slowStreams = []string{"--stream-rate=20"}

// mostStreams bounds the streams that are begun to reach a certain engine.
const mostStreams = 60

// beginStreams starts n streams over the hosts in turn and waits until each has
// a token.
func beginStreams(t *testing.T, d *Deployment, n, tokens int) []*Stream {
	t.Helper()
	var streams []*Stream
	for i := range n {
		streams = append(streams, d.Hosts[i%len(d.Hosts)].Chat(d.Key, fmt.Sprint(t.Name(), tokens, i), tokens))
	}
	for _, s := range streams {
		Eventually(t, callerTimeout, "a stream has begun", func() bool { return s.Tokens() > 0 })
	}
	return streams
}

// beginStreamsAt starts n streams like beginStreams, and more until each of the
// engines generates one: which engine gets a stream is drawn.
func beginStreamsAt(t *testing.T, d *Deployment, n, tokens int, engines ...*StandIn) []*Stream {
	t.Helper()
	streams := beginStreams(t, d, n, tokens)
	for _, e := range engines {
		for more := n; ; more += 2 {
			if times, _ := generates(d.journal(e)); len(times) > 0 {
				break
			}
			if more >= mostStreams {
				t.Fatalf("%d streams have begun, none at %s", more, e.Address)
			}
			streams = append(streams, beginStreams(t, d, 2, tokens)...)
		}
	}
	return streams
}

func wantWhole(t *testing.T, what string, streams []*Stream) {
	t.Helper()
	for i, s := range streams {
		if !s.Right(callerTimeout) {
			a, ended := s.Ended(time.Second)
			t.Errorf("%s: stream %d of %d is not whole: ended %v, %d tokens, %s %s", what, i, len(streams), ended, s.Tokens(), a.Code, a.Ran)
		}
	}
}

// generates returns the times of the generate requests that the engine took,
// and the streams that orders broke.
func generates(entries []engined.Entry) (times []time.Time, interrupted int) {
	for _, e := range entries {
		interrupted += e.Interrupted
		if e.Action == "generate" && e.Refused == "" {
			times = append(times, time.UnixMilli(e.TimeMillis))
		}
	}
	return times, interrupted
}

// since counts the times from at on.
func since(times []time.Time, at time.Time) int {
	n := 0
	for _, t := range times {
		if !t.Before(at) {
			n++
		}
	}
	return n
}

// TestEndpointLeaves guards against new work for an endpoint under notice and
// for one that an operator drains, and against streams that either interrupts.
func TestEndpointLeaves(t *testing.T) {
	t.Parallel()
	d := Start(t, Options{EnginesPerDomain: 2, EngineFlags: slowStreams, Settings: shortLease})
	drained, leaving := d.Engines[0], d.Engines[2]
	streams := beginStreamsAt(t, d, 12, 120, drained, leaving)
	d.register2(endpoint.Endpoint{ID: "engine-hartford-1", Instance: "engine-hartford-1-1", Address: leaving.Address, Domain: "hartford",
		ChecksFencing: true, State: endpoint.StateLeaving, LeaveAtMillis: time.Now().Add(time.Minute).UnixMilli()})
	Eventually(t, readyTime, "the drain is ordered", func() bool {
		return d.Hosts[0].order(entryhost.PathDrain, "engine-nashua-1") == nil
	})
	time.Sleep(leaveTime)
	from := time.Now()
	wantWhole(t, "new work", beginStreams(t, d, 12, 10))
	wantWhole(t, "running at the notice", streams)
	for name, s := range map[string]*StandIn{"drained": drained, "leaving": leaving} {
		times, interrupted := generates(d.journal(s))
		if n := since(times, from); n > 0 || interrupted > 0 {
			t.Errorf("%s engine took %d requests after %v, %d streams interrupted", name, n, leaveTime, interrupted)
		}
		if len(times) == 0 {
			t.Errorf("%s engine had no work before", name)
		}
	}
	Eventually(t, readyTime, "the resume is ordered", func() bool {
		return d.Hosts[0].order(entryhost.PathResume, "engine-nashua-1") == nil
	})
	Eventually(t, readyTime, "the resumed engine gets work", func() bool {
		wantWhole(t, "after the resume", beginStreams(t, d, 4, 5))
		times, _ := generates(d.journal(drained))
		return since(times, from) > 0
	})
}

// register2 registers an endpoint with its own kind and state.
func (d *Deployment) register2(e endpoint.Endpoint) {
	if e.Kind == "" {
		e.Kind = platformd.KindSteady
	}
	d.Control(d.Platform.Address, http.MethodPut, "/control/endpoints/"+e.ID, e)
}

// TestReclaim guards against streams that are lost when an engine is reclaimed
// at 2 s notice and gone afterwards.
func TestReclaim(t *testing.T) {
	t.Parallel()
	d := Start(t, Options{EnginesPerDomain: 2, EngineFlags: slowStreams})
	spot := d.Engines[0]
	d.register2(endpoint.Endpoint{ID: "engine-nashua-1", Instance: "engine-nashua-1-1", Address: spot.Address, Domain: "nashua",
		ChecksFencing: true, Kind: platformd.KindSpot, State: endpoint.StateLive})
	time.Sleep(time.Second)
	streams := beginStreamsAt(t, d, 12, 140, spot)
	d.Control(d.Platform.Address, http.MethodPost, "/control/reclaim", platformd.ReclaimRequest{Domain: "nashua", Kind: platformd.KindSpot, NoticeMillis: 2000})
	time.Sleep(2 * time.Second)
	spot.Kill()
	wantWhole(t, "after the reclaim", streams)
}

// TestSilentConnections guards against streams, log readers and peers that wait
// for ever on connections that have gone silent while new ones work.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	d := Start(t, Options{EnginesPerDomain: 2, EngineFlags: slowStreams})
	streams := beginStreams(t, d, 12, 140)
	d.Control(d.Engines[0].Address, http.MethodPost, "/control/mute-open", nil)
	d.links.muteOpen()
	wantWhole(t, "after the silence", streams)
	// Longer than a key stays confirmed without the log or peers (8 s).
	time.Sleep(9 * time.Second)
	for _, h := range d.Hosts {
		h.WaitReady()
		Eventually(t, readyTime, h.Name+" sees its peer", func() bool {
			s, err := h.Status()
			alive := 0
			for _, p := range s.Peers {
				if p.State == string(membership.StateAlive) {
					alive++
				}
			}
			return err == nil && alive == len(d.Hosts)
		})
	}
	wantWhole(t, "new work", beginStreams(t, d, 4, 10))
}

// crashBound is how many engines one request may crash: two make it quarantined
// (design 4.7), and each of the two hosts may count its own two before it hears
// of the other's.
const crashBound = 2 * 2

// TestCrashMarker guards against a request that crashes one engine after the
// other while its caller repeats it through both hosts, and against harm to the
// other requests of the team.
func TestCrashMarker(t *testing.T) {
	t.Parallel()
	const marker = "crash-this-engine"
	d := Start(t, Options{EnginesPerDomain: 4, EngineFlags: []string{"--crash-marker=" + marker}})
	instances := make([]string, len(d.Engines))
	crashes := 0
	watch := func() {
		for i, s := range d.Engines {
			var load endpoint.Load
			if !s.reports(&load) || load.Instance == instances[i] {
				continue
			}
			if instances[i] != "" {
				crashes++
				domain := []string{"nashua", "hartford"}[i/4]
				d.register(endpoint.Endpoint{ID: fmt.Sprintf("engine-%s-%d", domain, i%4+1), Instance: load.Instance, Address: s.Address, Domain: domain, ChecksFencing: true})
			}
			instances[i] = load.Instance
		}
	}
	watch()
	answers := map[string]int{}
	var others []*Stream
	for round := range 12 {
		bad := d.Hosts[round%2].Chat(d.Key, marker, 20)
		others = append(others, d.Hosts[(round+1)%2].Chat(d.Key, fmt.Sprint("harmless ", round), 40))
		a, ended := bad.Ended(callerTimeout)
		answers[fmt.Sprintf("ended=%v status=%d %s", ended, a.Status, a.Code)]++
		time.Sleep(200 * time.Millisecond)
		watch()
	}
	t.Run("others", func(t *testing.T) { wantWhole(t, "other requests of the team", others) })
	time.Sleep(4 * time.Second) // a crashed engine is down for 3 s
	watch()
	t.Logf("%d engines crashed, answers %v", crashes, answers)
	if crashes > crashBound || crashes == 0 {
		t.Errorf("%d engines crashed, want 1 to %d", crashes, crashBound)
	}
}

// reports asks a stand-in engine for its load; it is false while it is down.
func (s *StandIn) reports(load *endpoint.Load) bool {
	client := jsonhttp.New(s.Address, jsonhttp.Options{FreshConnections: true, Timeout: time.Second})
	return client.Do(context.Background(), http.MethodGet, "/v1/load", nil, load) == nil
}

// muteOpen silences the open connections of every link for good.
func (l *links) muteOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, link := range l.open {
		link.MuteOpen()
	}
}
