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

// usageWindow is short so that windows close within a test.
const usageWindow = 4 * time.Second

// billedTokens returns the output tokens of all reports, counting each window
// once. The faults are windows with reports that differ in figures or ID, and
// reports of an earlier term after a later one.
func billedTokens(reports []platformd.UsageEntry) (tokens int64, faults []string) {
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

// sendChats sends short chats through random hosts until stop is closed. It
// returns the tokens of complete answers and those of answers that broke off.
func sendChats(d *Deployment, hosts []*Host, stop chan struct{}) (complete, broken int64) {
	for {
		select {
		case <-stop:
			return complete, broken
		case <-time.After(50 * time.Millisecond):
		}
		s := hosts[rand.IntN(len(hosts))].Chat(d.Key, fmt.Sprint("stock ", rand.Uint64()), 5+rand.IntN(10))
		a, ended := s.Wait(callerTimeout)
		// Every token of the engine begins with a space.
		tokens := int64(len(strings.Fields(a.Body)))
		if ended && a.Complete {
			complete += tokens
		} else {
			broken += tokens
		}
	}
}

// TestUsage guards against windows that are reported twice with different
// figures and against tokens that are billed twice or never. The usage interface
// loses every answer, the holder of the usage-reports lease is paused at its
// first report, and its successor is killed at its own first report, after its
// counts are in the log.
func TestUsage(t *testing.T) {
	t.Parallel()
	const duty = "usage-reports"
	d := Start(t, Options{HostsPerDomain: 2, EditSettings: func(s *settings.Settings) {
		shortLease(s)
		s.Authority.UsageWindow = settings.Duration(usageWindow)
	}})
	complete, broken := runChats(d, time.Duration(Scaled(4, 60))*time.Second)
	d.SetFaults(d.Platform, map[string]any{"lose_answers": -1})
	reported := func() int { return len(d.platformJournal().Usage) }
	Eventually(t, readyTimeout, "the first report", func() bool { return reported() > 0 })
	old := d.leaseHolder(duty)
	if old == nil {
		t.Fatal("no host holds " + duty)
	}
	old.Pause()
	before := reported()
	d.waitNewHolder(duty, old)
	Eventually(t, readyTimeout, "a report of the successor", func() bool { return reported() > before })
	if next := d.leaseHolder(duty); next != nil {
		next.Kill()
	}
	old.Continue()
	d.SetFaults(d.Platform, map[string]any{})
	Eventually(t, 2*readyTimeout, "every delivered token is billed", func() bool {
		tokens, _ := billedTokens(d.platformJournal().Usage)
		return tokens >= complete
	})
	// A token that is billed twice may appear in a later window.
	time.Sleep(2 * time.Second)
	reports := d.platformJournal().Usage
	tokens, faults := billedTokens(reports)
	holders := map[string]bool{}
	for _, r := range reports {
		holders[r.Holder] = true
	}
	if len(faults) > 0 || tokens > complete+broken || len(holders) < 2 {
		t.Errorf("%d tokens billed by %d holders, want %d to %d: %v", tokens, len(holders), complete, complete+broken, faults)
	}
	t.Logf("%d tokens delivered in complete answers, %d in others, %d billed in %d reports of %d holders", complete, broken, tokens, len(reports), len(holders))
}

// runChats runs four concurrent sendChats over all hosts for length and sums up
// their results.
func runChats(d *Deployment, length time.Duration) (complete, broken int64) {
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var mu sync.Mutex
	for range 4 {
		wg.Go(func() {
			w, b := sendChats(d, d.Hosts, stop)
			mu.Lock()
			defer mu.Unlock()
			complete, broken = complete+w, broken+b
		})
	}
	time.Sleep(length)
	close(stop)
	wg.Wait()
	return complete, broken
}
