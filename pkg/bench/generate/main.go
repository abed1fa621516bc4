// Command generate runs the benchmark and rewrites the generated part of
// docs/MEASUREMENTS.md and its plots.
package main

import (
	"flag"
	"fmt"
	"os"

	"github.com/clementineshed/clementineshed/pkg/bench"
)

func main() {
	docs := flag.String("docs", "docs", "directory of MEASUREMENTS.md")
	seed := flag.Uint64("seed", bench.DefaultSeed, "seed of all runs")
	flag.Parse()
	if err := bench.Generate(*docs, *seed); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
