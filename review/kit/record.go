package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file record.txt: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	return &record{file: f, start: time.Now()}
}

// line writes a line with the time since the start, and returns that time.
func (r *record) line(format string, args ...any) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := time.Since(r.start)
	fmt.Fprintf(r.file, "%8.3f s  %s\n", at.Seconds(), fmt.Sprintf(format, args...))
	return at
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}
