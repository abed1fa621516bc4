package crowd

import (
	"os"
	"runtime"
	"testing"

	"github.com/clementineshed/clementineshed/test/e2e"
	"github.com/clementineshed/clementineshed/test/knownred"
)

func TestMain(m *testing.M) { os.Exit(e2e.Main(m)) }

const (
	// usualFiles is the limit of open files of a host in the users' deployments.
	usualFiles = 4100
	// fewFiles is a limit that a small crowd exceeds.
	fewFiles = 1024
)

// patterns are the crowds. The numbers of clients were chosen before the product
// had bounds for all clients together, so that their bodies, headers or answers add
// up to more than the memory limit, or their connections to more than the limit of
// open files.
var patterns = []pattern{
	{name: "large chunks", clients: 64, openFiles: usualFiles, send: largeChunks},
	{name: "one-byte chunks", clients: 64, openFiles: usualFiles, send: byteChunks},
	{name: "declared too long", clients: 64, openFiles: usualFiles, send: declaredTooLong},
	{name: "chunked too long", clients: 64, openFiles: usualFiles, send: chunkedTooLong},
	{name: "slow headers", clients: 3000, openFiles: usualFiles, send: slowHeaders},
	{name: "silent", clients: 1400, openFiles: fewFiles, send: silent},
	{name: "unread answers", clients: 192, openFiles: usualFiles, send: unreadAnswers, unread: true},
	{name: "unread streams", clients: 128, openFiles: usualFiles, send: unreadStream, unread: true},
	{name: "pipelined", clients: 64, openFiles: usualFiles, send: pipelined, unread: true},
}

// TestCrowd guards against a host that hostile clients kill, make exceed its memory
// or its descriptors, or keep from serving other clients.
func TestCrowd(t *testing.T) {
	if runtime.GOOS != "linux" {
		t.Skip("memory and descriptors of a process are read from /proc, which only Linux has")
	}
	known := knownred.Names(t, "../../KNOWN-RED.txt")
	for _, program := range programs {
		for _, p := range patterns {
			t.Run(program.name+"/"+p.name, func(t *testing.T) {
				if known[t.Name()] {
					t.Skip("known red")
				}
				runPattern(t, program.start(t, p.openFiles), p)
			})
		}
	}
}

func runPattern(t *testing.T, target *target, p pattern) {
	checkOrdinary(t, target, "request before the crowd", target.plain)
	checkOrdinary(t, target, "stream before the crowd", target.stream)
	w := startWatch(target)
	c := startCrowd(t, target, p)
	t.Logf("%d connections opened, %d open to the clients' knowledge", c.opened.Load(), c.open.Load())
	if target.process.Running() {
		if c.opened.Load() < int64(p.clients) {
			t.Errorf("the crowd opened %d of %d connections", c.opened.Load(), p.clients)
		}
		checkOrdinary(t, target, "request", target.plain)
		checkOrdinary(t, target, "stream", target.stream)
	}
	w.check(t)
}
