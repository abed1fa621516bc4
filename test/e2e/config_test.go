package e2e

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/configstore"
	"github.com/clementineshed/clementineshed/pkg/declaration"
	"github.com/clementineshed/clementineshed/pkg/refusal"
	"github.com/clementineshed/clementineshed/pkg/standin/engined"
)

// slowAnswers makes the answer to a LongPrompt take about 14 s, longer than the
// confirmation window.
var slowAnswers = []string{"--stream-rate=20"}

// probe sends a short chat, which shows whether the host accepts the key.
func probe(h *Host, key string) Answer {
	a, _ := h.Chat(key, "short", 1).Wait(callerTimeout)
	return a
}

// currentVersion returns the version in force as the diff command prints it.
func (d *Deployment) currentVersion(file string) int64 {
	d.t.Helper()
	output, _ := d.Run("diff", "--output", "json", file)
	var answer struct{ Version int64 }
	if err := json.Unmarshal([]byte(output), &answer); err != nil {
		d.t.Fatalf("diff: %v\n%s", err, output)
	}
	return answer.Version
}

// applyToCurrent applies doc with the version in force as its base.
func (d *Deployment) applyToCurrent(doc declaration.Document, flags ...string) {
	d.t.Helper()
	file := d.WriteDeclarations(doc)
	d.MustRun(append(append([]string{"apply", "--base", fmt.Sprint(d.currentVersion(file))}, flags...), file)...)
}

// withKey returns doc with one more key of Team.
func withKey(doc declaration.Document, name, hash string) declaration.Document {
	doc.Keys = append(append([]declaration.Key{}, doc.Keys...), declaration.Key{Name: name, Team: Team, SHA256: hash})
	return doc
}

// withCompletionTarget returns doc with another target for the order class.
func withCompletionTarget(doc declaration.Document, target time.Duration) declaration.Document {
	doc.Classes = append([]declaration.Class{}, doc.Classes...)
	doc.Classes[1].Completion = declaration.Duration(target)
	return doc
}

// Guards against a change that is reported as in force before every host has it,
// and against operators who overwrite each other's changes.
func TestConfigurationChange(t *testing.T) {
	t.Parallel()
	d := Start(t, Options{})
	old := fmt.Sprint(d.currentVersion(d.WriteDeclarations(d.Declarations)))
	key, hash := NewKey("second")
	if a := probe(d.Hosts[0], key); a.Code != refusal.CodeUnknownKey {
		t.Fatalf("an undeclared key: %+v", a)
	}
	began := time.Now()
	d.applyToCurrent(withKey(d.Declarations, "second", hash))
	t.Logf("diff and apply until every host confirmed: %v", time.Since(began).Round(time.Millisecond))
	for _, h := range d.Hosts {
		if a := probe(h, key); !a.OK() {
			t.Errorf("%s after apply reported success: %+v", h.Name, a)
		}
	}
	doc := withKey(d.Declarations, "second", hash)
	before, _ := d.Hosts[0].Status()
	output, code := d.Run("apply", "--base", old, d.WriteDeclarations(withCompletionTarget(doc, 7*time.Second)))
	after, _ := d.Hosts[0].Status()
	if code != 1 || !strings.Contains(output, "conflict") || before.ConfigVersion != after.ConfigVersion {
		t.Errorf("apply from an old base: exit code %d, version %d to %d\n%s", code, before.ConfigVersion, after.ConfigVersion, output)
	}
	// The same change is accepted from the current base, so only the base caused
	// the refusal above.
	d.applyToCurrent(withCompletionTarget(doc, 7*time.Second))
	decided := 0
	for round := range Scaled(3, 30) {
		decided += raceApplies(t, d, doc, round)
	}
	if decided == 0 {
		t.Error("no race was decided by the order in the log, so the test did not cover that case")
	}
}

// raceApplies lets two operators change the same class from the same base at the
// same time. It returns 1 if both found the base in force, so that the order in
// the log decided, else 0.
func raceApplies(t *testing.T, d *Deployment, doc declaration.Document, round int) int {
	t.Helper()
	var files [2]string
	for i := range files {
		files[i] = d.WriteDeclarations(withCompletionTarget(doc, time.Duration(10+2*round+i)*time.Second))
	}
	base := fmt.Sprint(d.currentVersion(files[0]))
	// With the slow log, both operators read before either appends.
	d.SetFaults(d.Log, map[string]any{"slow_ms": 300})
	var wg sync.WaitGroup
	var codes [2]int
	var outputs [2]string
	for i := range files {
		wg.Go(func() { outputs[i], codes[i] = d.Run("apply", "--base", base, files[i]) })
	}
	wg.Wait()
	d.SetFaults(d.Log, map[string]any{})
	if codes[0]+codes[1] != 1 {
		t.Fatalf("want one success and one conflict: %v %q", codes, outputs)
	}
	winner := codes[0] // The winner's exit code is 0, the other one's is 1.
	if !strings.Contains(outputs[1-winner], "conflict") {
		t.Errorf("the other operator got no conflict: %q", outputs[1-winner])
	}
	if output, code := d.Run("diff", files[winner]); code != 0 {
		t.Errorf("the accepted change is not in force: %s", output)
	}
	if strings.Contains(outputs[1-winner], "changed by somebody else") {
		return 1
	}
	return 0
}

// checkWithdrawal runs command, which withdraws key, and expects every host to
// refuse the key and every stream to end with a refusal within twice the
// confirmation window. It logs how long each takes.
func checkWithdrawal(t *testing.T, hosts []*Host, key string, streams []*Stream, command func()) {
	t.Helper()
	began := time.Now()
	var wg sync.WaitGroup
	wg.Go(command)
	for i, h := range hosts {
		wg.Go(func() {
			var a Answer
			// A probe in flight at the withdrawal may have run.
			for a = probe(h, key); a.Ran != refusal.RanNo && time.Since(began) < 2*configstore.ConfirmWindow; a = probe(h, key) {
				time.Sleep(10 * time.Millisecond)
			}
			stopped := time.Since(began)
			if a.Ran != refusal.RanNo || a.Code != refusal.CodeKeyWithdrawn && a.Code != refusal.CodeKeyUnconfirmed {
				t.Errorf("%s does not refuse the withdrawn key: %+v", h.Name, a)
			}
			end, ended := streams[i].Wait(2*configstore.ConfirmWindow - time.Since(began))
			t.Logf("%s: refused (%s) after %v, its stream ended (%s) after %v", h.Name, a.Code,
				stopped.Round(time.Millisecond), end.Code, end.EndedAt.Sub(began).Round(time.Millisecond))
			if !ended || end.Complete || end.Code != refusal.CodeKeyWithdrawn && end.Code != refusal.CodeKeyUnconfirmed {
				t.Errorf("%s: stream with a withdrawn key: ended %v, %+v", h.Name, ended, end)
			}
		})
	}
	wg.Wait()
}

// startStreams starts a long stream on every host and waits for its first token.
func startStreams(t *testing.T, hosts []*Host, key, prompt string) []*Stream {
	t.Helper()
	var streams []*Stream
	for _, h := range hosts {
		s := h.Chat(key, LongPrompt(prompt+" over "+h.Name), engined.MaxAnswerTokens)
		Eventually(t, callerTimeout, "stream runs on "+h.Name, func() bool { return s.Tokens() > 0 })
		streams = append(streams, s)
	}
	return streams
}

// startWithKeys starts a deployment with n additional keys and returns them.
func startWithKeys(t *testing.T, n int, opts Options) (*Deployment, []string) {
	t.Helper()
	var keys []string
	opts.EngineFlags = slowAnswers
	edit := opts.EditDeclarations
	opts.EditDeclarations = func(doc *declaration.Document) {
		for i := range n {
			key, hash := NewKey(t.Name() + fmt.Sprint(i))
			keys = append(keys, key)
			*doc = withKey(*doc, fmt.Sprint("key-", i), hash)
		}
		if edit != nil {
			edit(doc)
		}
	}
	return Start(t, opts), keys
}

// Guards against a host that still accepts a withdrawn key and against a running
// stream that outlives its key, with the log up and down.
func TestWithdrawnKey(t *testing.T) {
	t.Parallel()
	d, keys := startWithKeys(t, 2, Options{})
	// The key that is not withdrawn shows that requests and streams end because
	// of the withdrawal and not because of the outage.
	kept := startStreams(t, d.Hosts, d.Key, "kept")
	streams := startStreams(t, d.Hosts, keys[0], "log up")
	checkWithdrawal(t, d.Hosts, keys[0], streams, func() {
		began := time.Now()
		if output, code := d.Run("keys", "withdraw", "--name", "key-0"); code != 0 {
			t.Errorf("withdraw: exit code %d\n%s", code, output)
		}
		t.Logf("withdraw until every host confirmed: %v", time.Since(began).Round(time.Millisecond))
	})

	streams = startStreams(t, d.Hosts, keys[1], "log down")
	declared := strings.Count(d.logRecords("config"), HashOf(keys[1]))
	d.SetFaults(d.Log, map[string]any{"outage": "silent"})
	checkWithdrawal(t, d.Hosts, keys[1], streams, func() {
		output, code := d.Run("keys", "withdraw", "--wait", "2s", "--sha256", HashOf(keys[1]))
		if code != 0 || !strings.Contains(output, "not in the log yet") {
			t.Errorf("withdraw while the log is down: exit code %d\n%s", code, output)
		}
	})
	for i, s := range kept {
		if !s.WaitCorrect(callerTimeout) || !probe(d.Hosts[i], d.Key).OK() {
			t.Errorf("%s: requests with the key that was not withdrawn failed", d.Hosts[i].Name)
		}
	}
	d.SetFaults(d.Log, map[string]any{})
	Eventually(t, callerTimeout, "the hosts record the withdrawal in the log", func() bool {
		return strings.Count(d.logRecords("config"), HashOf(keys[1])) > declared
	})
}

// Guards against a withdrawn key that is still accepted in a partitioned failure
// domain, with the log up and down. A team declared with offline_keys "serve"
// shows that the domain could still serve.
func TestWithdrawnKeyInCutDomain(t *testing.T) {
	t.Parallel()
	for _, logDown := range []bool{false, true} {
		t.Run(fmt.Sprint("logDown=", logDown), func(t *testing.T) {
			t.Parallel()
			withdrawInPartitionedDomain(t, logDown)
		})
	}
}

func withdrawInPartitionedDomain(t *testing.T, logDown bool) {
	offline, offlineHash := NewKey("offline" + t.Name())
	d, keys := startWithKeys(t, 1, Options{
		Domains: []string{"nashua", "hartford", "worcester"},
		EditDeclarations: func(doc *declaration.Document) {
			doc.Teams = append(doc.Teams, declaration.Team{Name: "toffee", OfflineKeys: declaration.OfflineServe, OfflineLimit: declaration.Duration(time.Minute)})
			doc.Keys = append(doc.Keys, declaration.Key{Name: "toffee-1", Team: "toffee", SHA256: offlineHash})
		},
	})
	isolated := d.Hosts[2]
	streams := startStreams(t, d.Hosts, keys[0], "cut")
	if logDown {
		d.SetFaults(d.Log, map[string]any{"outage": "unavailable"})
	}
	d.Partition(isolated.Domain)
	var limit time.Time
	checkWithdrawal(t, d.Hosts, keys[0], streams, func() {
		for _, key := range []string{offline, keys[0]} {
			output, code := d.Run("keys", "withdraw", "--wait", "1s", "--sha256", HashOf(key))
			if code != 1 || !strings.Contains(output, "not confirmed: "+isolated.Name) {
				t.Errorf("withdraw with a partitioned domain: exit code %d\n%s", code, output)
			}
			_, after, _ := strings.Cut(output, "accepts no key after ")
			stamp, _, _ := strings.Cut(after, ",")
			var err error
			if limit, err = time.Parse(time.RFC3339, stamp); err != nil {
				t.Errorf("the output does not say when the host stops accepting keys: %v\n%s", err, output)
			}
		}
	})
	if time.Now().Before(limit) {
		time.Sleep(time.Until(limit))
	}
	if a := probe(isolated, keys[0]); a.Code != refusal.CodeKeyUnconfirmed {
		t.Errorf("after the time that the command reported: %+v", a)
	}
	if !logDown {
		// A withdrawn key can't be declared again, so only the first key stays.
		target := withCompletionTarget(d.Declarations, 6*time.Second)
		target.Keys = target.Keys[:1]
		file := d.WriteDeclarations(target)
		output, code := d.Run("apply", "--wait", "1s", "--base", fmt.Sprint(d.currentVersion(file)), file)
		if code != 1 || !strings.Contains(output, "not confirmed: "+isolated.Name) {
			t.Errorf("apply with a partitioned domain: exit code %d\n%s", code, output)
		}
	}
	if a := probe(isolated, offline); !a.OK() {
		t.Errorf("a team with offline keys in the partitioned domain: %+v", a)
	}
	if a := probe(d.Hosts[0], d.Key); !a.OK() {
		t.Errorf("a key that was not withdrawn, outside the partitioned domain: %+v", a)
	}
	if a := probe(isolated, d.Key); a.Code != refusal.CodeKeyUnconfirmed {
		t.Errorf("a key that was not withdrawn, in the partitioned domain: %+v", a)
	}
	d.Heal(isolated.Domain)
	d.SetFaults(d.Log, map[string]any{})
	healed := time.Now()
	Eventually(t, callerTimeout, "the partitioned domain applies the withdrawals", func() bool {
		return probe(isolated, offline).Code == refusal.CodeKeyWithdrawn && probe(isolated, keys[0]).Code == refusal.CodeKeyWithdrawn && probe(isolated, d.Key).OK()
	})
	t.Logf("the domain applied the withdrawals and served %v after the partition", time.Since(healed).Round(time.Millisecond))
	if logDown {
		return
	}
	want, _ := d.Hosts[0].Status()
	Eventually(t, callerTimeout, "the partitioned domain has the configuration", func() bool {
		s, err := isolated.Status()
		return err == nil && s.ConfigVersion == want.ConfigVersion
	})
	t.Logf("the domain had the configuration %v after the partition", time.Since(healed).Round(time.Millisecond))
}

// Guards against a host that resumes after a pause and serves a key withdrawn
// during the pause, because it has not read the log or its peers yet.
func TestWithdrawnKeyOnPausedHost(t *testing.T) {
	t.Parallel()
	d, keys := startWithKeys(t, 1, Options{})
	h := d.Hosts[0]
	stream := startStreams(t, []*Host{h}, keys[0], "paused")[0]
	h.Pause()
	output, code := d.Run("keys", "withdraw", "--wait", "1s", "--sha256", HashOf(keys[0]))
	if code != 1 || !strings.Contains(output, "not confirmed: "+h.Name) {
		t.Errorf("withdraw with a paused host: exit code %d\n%s", code, output)
	}
	time.Sleep(configstore.ConfirmWindow)
	// These wait in the listener's backlog, so the host handles them first.
	withdrawn, kept := h.Chat(keys[0], "queued", 1), h.Chat(d.Key, "queued", 1)
	time.Sleep(100 * time.Millisecond)
	h.Continue()
	a, _ := withdrawn.Wait(callerTimeout)
	if a.Ran != refusal.RanNo {
		t.Errorf("a request with a withdrawn key may have run after the pause: %+v", a)
	}
	b, _ := kept.Wait(callerTimeout)
	t.Logf("first answers after the pause: withdrawn key %s, other key %q", a.Code, b.Code)
	if a, ended := stream.Wait(callerTimeout); !ended || a.Complete {
		t.Errorf("the stream of the withdrawn key went on: %+v", a)
	}
	Eventually(t, callerTimeout, "the host serves the other key again", func() bool { return probe(h, d.Key).OK() })
}

// logRecords returns the records of a log stream, one per line.
func (d *Deployment) logRecords(stream string) string {
	d.t.Helper()
	var page struct {
		Records []struct{ Data []byte }
	}
	d.getJSON(d.Log.Address, "/v1/streams/"+stream+"/records?from=0&wait_ms=0", &page)
	var all strings.Builder
	for _, r := range page.Records {
		all.Write(append(r.Data, '\n'))
	}
	return all.String()
}

// Guards against a restarted host that serves an older configuration because
// its reads of the log lag.
func TestRestartWithLaggingLog(t *testing.T) {
	t.Parallel()
	d, keys := startWithKeys(t, 1, Options{})
	h := d.Hosts[0]
	hash := HashOf(keys[0])
	declared := strings.Count(d.logRecords("config"), hash)
	// Without a peer, the host can learn of the withdrawal only from the log.
	d.Hosts[1].Kill()
	d.Control(d.Platform.Address, "DELETE", "/control/hosts/"+d.Hosts[1].Name, nil)
	Eventually(t, callerTimeout, "every listed host confirms the withdrawal", func() bool {
		_, code := d.Run("keys", "withdraw", "--wait", "1s", "--sha256", hash)
		return code == 0
	})
	want, _ := h.Status()
	h.Kill()
	d.SetFaults(d.Log, map[string]any{"read_lag_ms": 4000})
	if n := strings.Count(d.logRecords("config"), hash); n > declared {
		t.Log("the lagging read already shows the withdrawal, so the test does not cover a lagging restart")
	}
	h.Restart()
	answers := map[string]int{}
	Eventually(t, readyTimeout, h.Name+" refuses the withdrawn key and is ready", func() bool {
		a := probe(h, keys[0])
		answers[a.Code]++
		if a.OK() {
			t.Error("the restarted host serves a withdrawn key")
		}
		s, err := h.Status()
		if err == nil && s.Ready && s.ConfigVersion < want.ConfigVersion {
			t.Errorf("ready with version %d, which is older than %d", s.ConfigVersion, want.ConfigVersion)
		}
		return err == nil && s.Ready && a.Code == refusal.CodeKeyWithdrawn
	})
	t.Logf("answers to the withdrawn key after the restart: %v", answers)
}
