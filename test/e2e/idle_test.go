package e2e

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/jsonhttp"
	"github.com/clementineshed/clementineshed/pkg/peer"
)

// idleWindow covers several rounds of each periodic duty.
const idleWindow = 12 * time.Second

// processUsage returns the CPU time and resident bytes of a process.
func processUsage(t *testing.T, pid int) (cpu time.Duration, resident int64) {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(data[strings.LastIndexByte(string(data), ')')+1:]))
	var user, system, pages int64
	_, err = fmt.Sscan(fields[11]+" "+fields[12]+" "+fields[21], &user, &system, &pages)
	if err != nil {
		t.Fatal(err)
	}
	const clockTick = 10 * time.Millisecond
	return time.Duration(user+system) * clockTick, pages * int64(os.Getpagesize())
}

// peerBytes returns the bytes that a host has exchanged with its peers.
func peerBytes(t *testing.T, h *Host) int64 {
	t.Helper()
	var vars struct{ Peer peer.Counters }
	if err := jsonhttp.New(h.OperatorAddress, jsonhttp.Options{}).Do(t.Context(), "GET", "/debug/vars", nil, &vars); err != nil {
		t.Fatal(err)
	}
	return int64(vars.Peer.WireBytesSent + vars.Peer.WireBytesReceived)
}

// TestIdleCost guards against a deployment of many hosts that does not become
// ready. It also logs the CPU, memory and network use of an idle host as the
// number of hosts grows; these figures have no bound, because they depend on the
// machine. It is part of the long run only.
func TestIdleCost(t *testing.T) {
	if os.Getenv("CLEMENTINESHED_LONG") == "" {
		t.Skip("part of the long run")
	}
	for _, perDomain := range []int{1, 2, 4, 8, 16} {
		t.Run(fmt.Sprint(4*perDomain), func(t *testing.T) {
			d := Start(t, Options{Domains: []string{"providence", "worcester", "nashua", "hartford"}, HostsPerDomain: perDomain})
			time.Sleep(idleWindow)
			var cpu time.Duration
			var bytes, resident int64
			for _, h := range d.Hosts {
				used, _ := processUsage(t, h.cmd.Process.Pid)
				cpu -= used
				bytes -= peerBytes(t, h)
			}
			time.Sleep(idleWindow)
			for _, h := range d.Hosts {
				used, memory := processUsage(t, h.cmd.Process.Pid)
				cpu += used
				resident += memory
				bytes += peerBytes(t, h)
			}
			n := float64(len(d.Hosts))
			t.Logf("hosts=%d core_share=%.4f resident_MB=%.1f peer_bytes_per_s=%.0f", len(d.Hosts),
				cpu.Seconds()/idleWindow.Seconds()/n, float64(resident)/n/1e6, float64(bytes)/idleWindow.Seconds()/n)
		})
	}
}
