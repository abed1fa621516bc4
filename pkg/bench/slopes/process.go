package slopes

import (
	"runtime"
	"syscall"
	"time"
)

// processorTime returns the user and system time that this process has used on
// all cores, or 0 if it cannot be read.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// liveHeap returns the bytes of live heap objects, after two garbage collections.
func liveHeap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
