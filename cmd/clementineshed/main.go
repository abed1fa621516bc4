// Command clementineshed runs an entry host and the operators' commands.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/clementineshed/clementineshed/pkg/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	code := cli.Run(ctx, os.Args, os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
