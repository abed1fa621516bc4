package quarantine

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestOnlyEndedProcessesCount guards against broken connections of endpoints that still
// run, as after a reset on the way, counting as crashes, and against requests that broke
// before the crash was confirmed being left out.
func TestOnlyEndedProcessesCount(t *testing.T) {
	for _, ended := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			var reported []Evidence
			g := NewGuard(GuardOptions{
				ProcessEnded: func(context.Context, string) bool {
					time.Sleep(10 * time.Millisecond)
					return ended
				},
				OnCrash: func(e Evidence) { reported = append(reported, e) }, OnRefuted: func([]Feature) {}, OnSuspected: func(bool) {}, Log: discardLogger,
			})
			process := Crash{Endpoint: "engine", Process: "1"}
			sent := time.Now()
			time.Sleep(runTime)
			g.Broken(process, "address", []Feature{deadly}, sent)
			time.Sleep(time.Millisecond)
			g.Broken(process, "address", []Feature{shared}, sent.Add(runTime/2))
			g.Wait()
			synctest.Wait()
			time.Sleep(2 * crashMemory)
			if !ended {
				if len(reported) != 0 {
					t.Errorf("reported %+v of a process that runs", reported)
				}
				return
			}
			sentAge := map[Feature]time.Duration{}
			for _, e := range reported {
				for _, r := range e.Running {
					sentAge[r.Feature] = r.SentAge
				}
			}
			if len(sentAge) != 2 || sentAge[deadly] <= sentAge[shared] {
				t.Errorf("reported %+v", reported)
			}
		})
	}
}
