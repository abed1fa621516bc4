// Command clementineshed-relay runs one entry host on the users' platform.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/clementineshed/clementineshed/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	settings := &cli.StringFlag{Name: "settings", Usage: "settings file of the process", Sources: cli.EnvVars(platform.SettingsVariable)}
	app := &cli.Command{
		Name:  "clementineshed-relay",
		Usage: "an entry host of clementineshed on the users' platform",
		Flags: []cli.Flag{
			settings,
			&cli.IntFlag{Name: "metrics-port", Usage: "port that serves the metrics; 0 for none"},
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "debug, info, warn or error"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			opts := platform.Options{MetricsPort: c.Int("metrics-port"), LogLevel: c.String("log-level")}
			return platform.Serve(ctx, c.String("settings"), opts, reloadSignals(), os.Stdout)
		},
		Commands: []*cli.Command{{
			Name:  "check",
			Usage: "check the settings file",
			Action: func(_ context.Context, c *cli.Command) error {
				_, err := platform.ReadSettings(c.String("settings"))
				return err
			},
		}, checkConfiguration()},
	}
	if err := app.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// checkConfiguration returns the command that checks a configuration document. It exits
// with 0 without findings, 1 with findings and 2 if a file cannot be read.
func checkConfiguration() *cli.Command {
	return &cli.Command{
		Name:      "check-configuration",
		Usage:     "check a configuration document before it is sent",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "active", Usage: "document in force, to show what differs"},
			&cli.FloatFlag{Name: "memory-mb", Usage: "memory of the smallest host; 0 if it is not known"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return cli.Exit("one FILE is needed", 2)
			}
			findings, err := platform.CheckConfiguration(c.Args().First(), c.String("active"), c.Float("memory-mb"), os.Stdout)
			if err != nil {
				return cli.Exit(err.Error(), 2)
			}
			if findings > 0 {
				return cli.Exit("", 1)
			}
			return nil
		},
	}
}

// reloadSignals sends a value on each SIGHUP; pending signals may be merged.
func reloadSignals() <-chan struct{} {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	reload := make(chan struct{})
	go func() {
		for range signals {
			reload <- struct{}{}
		}
	}()
	return reload
}
