package e2e

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpointapi"
	"github.com/clementineshed/clementineshed/pkg/settings"
	"github.com/clementineshed/clementineshed/pkg/standin/platformd"
)

// usageWindow is short, so that windows close within a test.
const usageWindow = 4 * time.Second

// billed returns the output tokens of all reports, each window once, and the
// windows for which reports differ in their figures or come under two ids.
func billed(reports []platformd.UsageEntry) (tokens int64, faults []string) {
	type window struct {
		team  string
		start int64
	}
	first := map[window]endpointapi.UsageReport{}
	highest := int64(-1)
	for _, r := range reports {
		w := window{r.Team, r.Window}
		known, repeated := first[w]
		switch {
		case !repeated:
			first[w] = r.UsageReport
			tokens += r.Figures.OutputTokens
		case known.Figures != r.Figures:
			faults = append(faults, fmt.Sprintf("%s %d: %+v and %+v", r.Team, r.Window, known.Figures, r.Figures))
		case known.ID != r.ID:
			faults = append(faults, fmt.Sprintf("%s %d: ids %s and %s", r.Team, r.Window, known.ID, r.ID))
		}
		if r.Fence < highest {
			faults = append(faults, fmt.Sprintf("report of term %d after term %d", r.Fence, highest))
		}
		highest = max(highest, r.Fence)
	}
	return tokens, faults
}

// chats sends short chats over random hosts until stop and returns the tokens of
// whole answers, and those of answers that broke off.
func chats(d *Deployment, hosts []*Host, stop chan struct{}) (whole, broken int64) {
	for {
		select {
		case <-stop:
			return whole, broken
		case <-time.After(50 * time.Millisecond):
		}
		s := hosts[rand.IntN(len(hosts))].Chat(d.Key, fmt.Sprint("stock ", rand.Uint64()), 5+rand.IntN(10))
		a, ended := s.Ended(callerTimeout)
		// The engine's tokens begin with a space.
		tokens := int64(len(strings.Fields(a.Body)))
		if ended && a.Whole {
			whole += tokens
		} else {
			broken += tokens
		}
	}
}

// TestUsage guards against windows that are reported twice with different
// figures and against tokens that are billed twice or never: the usage interface
// loses every answer, the holder of the usage reports is paused at its first
// report, and its successor is killed at its own first one, after its counts
// are in the log.
func TestUsage(t *testing.T) {
	t.Parallel()
	const duty = "usage-reports"
	d := Start(t, Options{HostsPerDomain: 2, Settings: func(s *settings.Settings) {
		shortLease(s)
		s.Authority.UsageWindow = settings.Duration(usageWindow)
	}})
	whole, broken := load(d, time.Duration(Scaled(4, 60))*time.Second)
	d.Fault(d.Platform, map[string]any{"lose_answers": -1})
	reported := func() int { return len(d.platformJournal().Usage) }
	Eventually(t, readyTime, "the first report", func() bool { return reported() > 0 })
	old := d.holder(duty)
	if old == nil {
		t.Fatal("nobody holds " + duty)
	}
	old.Pause()
	before := reported()
	d.waitSuccessor(duty, old)
	Eventually(t, readyTime, "a report of the successor", func() bool { return reported() > before })
	if next := d.holder(duty); next != nil {
		next.Kill()
	}
	old.Continue()
	d.Fault(d.Platform, map[string]any{})
	Eventually(t, 2*readyTime, "every delivered token is billed", func() bool {
		tokens, _ := billed(d.platformJournal().Usage)
		return tokens >= whole
	})
	// A token that is billed twice may come in a later window.
	time.Sleep(2 * time.Second)
	reports := d.platformJournal().Usage
	tokens, faults := billed(reports)
	holders := map[string]bool{}
	for _, r := range reports {
		holders[r.Holder] = true
	}
	if len(faults) > 0 || tokens > whole+broken || len(holders) < 2 {
		t.Errorf("%d tokens billed by %d holders, want %d to %d: %v", tokens, len(holders), whole, whole+broken, faults)
	}
	t.Logf("%d tokens delivered in whole answers, %d in others, %d billed in %d reports of %d holders", whole, broken, tokens, len(reports), len(holders))
}

// load runs chats over all hosts for a time and returns the tokens of whole
// answers, and those of answers that broke off.
func load(d *Deployment, length time.Duration) (whole, broken int64) {
	stop := make(chan struct{})
	var running sync.WaitGroup
	var mu sync.Mutex
	for range 4 {
		running.Go(func() {
			w, b := chats(d, d.Hosts, stop)
			mu.Lock()
			defer mu.Unlock()
			whole, broken = whole+w, broken+b
		})
	}
	time.Sleep(length)
	close(stop)
	running.Wait()
	return whole, broken
}
