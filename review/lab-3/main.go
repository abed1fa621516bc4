// Command lab runs the scripted cases of this review against processes of the project.
package main

import (
	"fmt"
	"os"
	"sort"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// cases are the scripted cases. disturb is false for the run without the disruption.
var cases = map[string]func(disturb bool) int{}

func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	os.Exit(notRun)
}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		names := []string{}
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fail("usage: lab CASE, one of %v", names)
	}
	os.Exit(cases[os.Args[1]](os.Getenv("TROUBLE") != "0"))
}
