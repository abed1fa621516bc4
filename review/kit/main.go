// Command kit plays the scripts of the review. Usage: kit CASE ROOT FOLDER trouble=0|1. It writes
// FOLDER/record.txt and exits with 1 if the rule was broken, 0 if it held and 2 if the
// case could not run. With trouble=0 there is no disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

func main() {
	if len(os.Args) != 5 {
		fmt.Fprintln(os.Stderr, "usage: kit CASE ROOT FOLDER trouble=0|1")
		os.Exit(2)
	}
	cases := map[string]func(d *deployment, trouble bool) bool{"descriptors": descriptors, "bodies": bodies, "leaving": leaving, "zonecut": zoneCut}
	play := cases[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		os.Exit(2)
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fatal(err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fatal(err)
	}
	rec := newRecord(filepath.Join(os.Args[3], "record.txt"))
	d := newDeployment(root, dir, rec)
	// The hosts end with this process, also if nobody reads its output any more, if it is
	// stopped, and after two minutes.
	signal.Ignore(syscall.SIGPIPE)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		select {
		case <-stopped:
		case <-time.After(110 * time.Second):
			rec.say("the case takes too long")
		}
		d.end()
		os.Exit(2)
	}()
	broken := play(d, os.Args[4] != "trouble=0")
	d.end()
	if broken {
		os.Exit(1)
	}
}
