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

// leaveGrace is how long a draining or leaving endpoint may still get new
// requests (R10: a few seconds).
const leaveGrace = 3 * time.Second

// slowStreams makes a stream of 100 tokens last 5 s.
var slowStreams = []string{"--stream-rate=20"}

// maxStreams bounds the streams that beginStreamsAt starts.
const maxStreams = 60

// beginStreams starts n streams through the hosts in turn and waits for the first
// token of each.
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

// beginStreamsAt starts n streams like beginStreams, and more until each of
// engines has one, because routing picks engines at random.
func beginStreamsAt(t *testing.T, d *Deployment, n, tokens int, engines ...*StandIn) []*Stream {
	t.Helper()
	streams := beginStreams(t, d, n, tokens)
	for _, e := range engines {
		for more := n; ; more += 2 {
			if times, _ := generateTimes(d.engineJournal(e)); len(times) > 0 {
				break
			}
			if more >= maxStreams {
				t.Fatalf("%d streams have begun, none at %s", more, e.Address)
			}
			streams = append(streams, beginStreams(t, d, 2, tokens)...)
		}
	}
	return streams
}

func wantComplete(t *testing.T, what string, streams []*Stream) {
	t.Helper()
	for i, s := range streams {
		if !s.WaitCorrect(callerTimeout) {
			a, ended := s.Wait(time.Second)
			t.Errorf("%s: stream %d of %d has no complete correct answer: ended %v, %d tokens, %s %s", what, i, len(streams), ended, s.Tokens(), a.Code, a.Ran)
		}
	}
}

// generateTimes returns the times of the generate requests that the engine
// accepted, and the number of streams that orders interrupted.
func generateTimes(entries []engined.Entry) (times []time.Time, interrupted int) {
	for _, e := range entries {
		interrupted += e.Interrupted
		if e.Action == "generate" && e.Refused == "" {
			times = append(times, time.UnixMilli(e.TimeMillis))
		}
	}
	return times, interrupted
}

// countSince returns the number of times that are not before at.
func countSince(times []time.Time, at time.Time) int {
	n := 0
	for _, t := range times {
		if !t.Before(at) {
			n++
		}
	}
	return n
}

// TestEndpointLeaves guards against new requests to an endpoint that has
// announced that it leaves and to one that an operator drains, and against
// streams that either interrupts.
func TestEndpointLeaves(t *testing.T) {
	t.Parallel()
	d := Start(t, Options{EnginesPerDomain: 2, EngineFlags: slowStreams, EditSettings: shortLease})
	drained, leaving := d.Engines[0], d.Engines[2]
	streams := beginStreamsAt(t, d, 12, 120, drained, leaving)
	d.registerAs(endpoint.Endpoint{ID: "engine-hartford-1", Instance: "engine-hartford-1-1", Address: leaving.Address, Domain: "hartford",
		ChecksFencing: true, State: endpoint.StateLeaving, LeaveAtMillis: time.Now().Add(time.Minute).UnixMilli()})
	Eventually(t, readyTimeout, "the drain is ordered", func() bool {
		return d.Hosts[0].postEndpointOrder(entryhost.PathDrain, "engine-nashua-1") == nil
	})
	time.Sleep(leaveGrace)
	from := time.Now()
	wantComplete(t, "new streams", beginStreams(t, d, 12, 10))
	wantComplete(t, "streams running when the endpoints began to leave", streams)
	for name, s := range map[string]*StandIn{"drained": drained, "leaving": leaving} {
		times, interrupted := generateTimes(d.engineJournal(s))
		if n := countSince(times, from); n > 0 || interrupted > 0 {
			t.Errorf("%s engine took %d requests after %v, %d streams interrupted", name, n, leaveGrace, interrupted)
		}
		if len(times) == 0 {
			t.Errorf("%s engine had no requests before", name)
		}
	}
	Eventually(t, readyTimeout, "the resume is ordered", func() bool {
		return d.Hosts[0].postEndpointOrder(entryhost.PathResume, "engine-nashua-1") == nil
	})
	Eventually(t, readyTimeout, "the resumed engine gets requests", func() bool {
		wantComplete(t, "after the resume", beginStreams(t, d, 4, 5))
		times, _ := generateTimes(d.engineJournal(drained))
		return countSince(times, from) > 0
	})
}

// registerAs registers e with its own state, and kind steady if empty.
func (d *Deployment) registerAs(e endpoint.Endpoint) {
	if e.Kind == "" {
		e.Kind = platformd.KindSteady
	}
	d.Control(d.Platform.Address, http.MethodPut, "/control/endpoints/"+e.ID, e)
}

// TestReclaim guards against streams that are lost when the platform reclaims an
// engine with 2 s notice.
func TestReclaim(t *testing.T) {
	t.Parallel()
	d := Start(t, Options{EnginesPerDomain: 2, EngineFlags: slowStreams})
	spot := d.Engines[0]
	d.registerAs(endpoint.Endpoint{ID: "engine-nashua-1", Instance: "engine-nashua-1-1", Address: spot.Address, Domain: "nashua",
		ChecksFencing: true, Kind: platformd.KindSpot, State: endpoint.StateLive})
	time.Sleep(time.Second)
	streams := beginStreamsAt(t, d, 12, 140, spot)
	d.Control(d.Platform.Address, http.MethodPost, "/control/reclaim", platformd.ReclaimRequest{Domain: "nashua", Kind: platformd.KindSpot, NoticeMillis: 2000})
	time.Sleep(2 * time.Second)
	spot.Kill()
	wantComplete(t, "after the reclaim", streams)
}

// TestSilentConnections guards against streams, log readers and peers that wait
// forever on open connections that went silent although new ones would work.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	d := Start(t, Options{EnginesPerDomain: 2, EngineFlags: slowStreams})
	streams := beginStreams(t, d, 12, 140)
	d.Control(d.Engines[0].Address, http.MethodPost, "/control/mute-open", nil)
	d.links.muteOpen()
	wantComplete(t, "after the silence", streams)
	// Longer than a key stays confirmed without the log or peers (8 s).
	time.Sleep(9 * time.Second)
	for _, h := range d.Hosts {
		h.WaitReady()
		Eventually(t, readyTimeout, h.Name+" sees its peer", func() bool {
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
	wantComplete(t, "new streams", beginStreams(t, d, 4, 10))
}

// maxCrashes is how many engines one request may crash. A host quarantines it
// after two (design 4.7), and each of the two hosts may count two of its own
// before it learns of the other's.
const maxCrashes = 2 * 2

// TestCrashMarker guards against a request that crashes one engine after another
// while its caller repeats it through both hosts, and against failures of the
// team's other requests.
func TestCrashMarker(t *testing.T) {
	t.Parallel()
	const marker = "crash-this-engine"
	d := Start(t, Options{EnginesPerDomain: 4, EngineFlags: []string{"--crash-marker=" + marker}})
	instances := make([]string, len(d.Engines))
	crashes := 0
	registerRestarted := func() {
		for i, s := range d.Engines {
			var load endpoint.Load
			if !s.fetchLoad(&load) || load.Instance == instances[i] {
				continue
			}
			if instances[i] != "" {
				crashes++
				domain := []string{"nashua", "hartford"}[i/4]
				d.registerLive(endpoint.Endpoint{ID: fmt.Sprintf("engine-%s-%d", domain, i%4+1), Instance: load.Instance, Address: s.Address, Domain: domain, ChecksFencing: true})
			}
			instances[i] = load.Instance
		}
	}
	registerRestarted()
	answers := map[string]int{}
	var others []*Stream
	for round := range 12 {
		crashing := d.Hosts[round%2].Chat(d.Key, marker, 20)
		others = append(others, d.Hosts[(round+1)%2].Chat(d.Key, fmt.Sprint("harmless ", round), 40))
		a, ended := crashing.Wait(callerTimeout)
		answers[fmt.Sprintf("ended=%v status=%d %s", ended, a.Status, a.Code)]++
		time.Sleep(200 * time.Millisecond)
		registerRestarted()
	}
	t.Run("others", func(t *testing.T) { wantComplete(t, "other requests of the team", others) })
	time.Sleep(4 * time.Second) // a crashed engine is down for 3 s
	registerRestarted()
	t.Logf("%d engines crashed, answers %v", crashes, answers)
	if crashes > maxCrashes || crashes == 0 {
		t.Errorf("%d engines crashed, want 1 to %d", crashes, maxCrashes)
	}
}

// fetchLoad reads the load of a stand-in engine; it is false if that is down.
func (s *StandIn) fetchLoad(load *endpoint.Load) bool {
	client := jsonhttp.New(s.Address, jsonhttp.Options{FreshConnections: true, Timeout: time.Second})
	return client.Do(context.Background(), http.MethodGet, "/v1/load", nil, load) == nil
}

// muteOpen silences the open connections of every link permanently.
func (l *links) muteOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, link := range l.proxies {
		link.MuteOpen()
	}
}
