// Command standin runs a stand-in for one of the outside systems.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/clementineshed/clementineshed/pkg/standin/command"
)

func main() {
	if err := command.New().Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
