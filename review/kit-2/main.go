//go:build review

// Command kit-2 runs the cases of the second review: it starts entry hosts as processes of
// their own, plays a case against stand-ins and writes a record. It exits with 1 if the rule
// was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

// trouble says whether the disruption of the case is played.
var trouble = os.Getenv("TROUBLE") != "0"

// cases maps the numbers of the cases to their functions, which return what broke the rule.
var cases = map[string]func(d *deployment, rec *record) []string{}

// record is the text that a case writes.
type record struct {
	file    *os.File
	started time.Time
}

// line writes a line with the time since the start.
func (r *record) line(format string, args ...any) {
	_, _ = fmt.Fprintf(r.file, "%9.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
}

// at returns a time as seconds since the start.
func (r *record) at(t time.Time) float64 { return t.Sub(r.started).Seconds() }

var closeAll = func() {}

func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "the case can't run: "+format+"\n", args...)
	closeAll()
	os.Exit(2)
}

func check(err error) {
	if err != nil {
		fail("%v", err)
	}
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fail("usage: kit-2 CASE RECORD")
	}
	file, err := os.Create(os.Args[2])
	check(err)
	rec := &record{file: file, started: time.Now()}
	d := newDeployment()
	closeAll = d.close
	time.AfterFunc(110*time.Second, func() { fail("it takes too long") })
	rec.line("trouble %v", trouble)
	broken := cases[os.Args[1]](d, rec)
	d.close()
	for _, b := range broken {
		rec.line("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	if len(broken) > 0 {
		os.Exit(1)
	}
	rec.line("held")
	fmt.Println("held")
}
