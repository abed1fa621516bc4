package crowd

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

const (
	// watchInterval is the time between two reads of the resident set. The peak that
	// the kernel keeps covers the time between.
	watchInterval = 10 * time.Millisecond
	// spareDescriptors is the number of descriptors that a host leaves unused, so that
	// it never fails for lack of them.
	spareDescriptors = 24
)

// watch reads the memory and the descriptors of a program and kills it when it
// exceeds its memory limit, as the platform does.
type watch struct {
	target *target
	stop   chan struct{}
	done   chan struct{}
	// The fields below are set before done is closed.
	peakMB, peakFiles int
	killed            bool
}

func startWatch(target *target) *watch {
	w := &watch{target: target, stop: make(chan struct{}), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for {
			w.sample()
			if w.killed {
				return
			}
			select {
			case <-w.stop:
				w.sample()
				return
			case <-time.After(watchInterval):
			}
		}
	}()
	return w
}

func (w *watch) sample() {
	pid := w.target.process.PID()
	if mb, ok := peakResidentMB(pid); ok {
		w.peakMB = max(w.peakMB, mb)
	}
	if entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil {
		w.peakFiles = max(w.peakFiles, len(entries))
	}
	if w.peakMB > w.target.memoryMB && w.target.process.Running() {
		w.killed = true
		w.target.process.Kill()
	}
}

// peakResidentMB returns the highest resident set of a process so far, false if the
// process has ended.
func peakResidentMB(pid int) (int, bool) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, false
	}
	for line := range strings.Lines(string(data)) {
		value, ok := strings.CutPrefix(line, "VmHWM:")
		if !ok {
			continue
		}
		kb, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
		return (kb + 1023) / 1024, err == nil
	}
	return 0, false
}

// check ends the watch and fails the test if the program has ended or exceeded a
// bound.
func (w *watch) check(t *testing.T) {
	t.Helper()
	alive := w.target.process.Running()
	close(w.stop)
	<-w.done
	t.Logf("resident set at most %d of %d MB, descriptors at most %d of %d", w.peakMB, w.target.memoryMB, w.peakFiles, w.target.openFiles)
	if w.killed {
		t.Errorf("killed for memory: the resident set reached %d MB, allowed are %d", w.peakMB, w.target.memoryMB)
	} else if !alive {
		t.Error("the process ended by itself")
	}
	if limit := w.target.openFiles - spareDescriptors; w.peakFiles > limit {
		t.Errorf("%d descriptors were open, allowed are %d", w.peakFiles, limit)
	}
}
