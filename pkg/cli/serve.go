package cli

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/clementineshed/clementineshed/pkg/entryhost"
	"github.com/clementineshed/clementineshed/pkg/logging"
	"github.com/clementineshed/clementineshed/pkg/membudget"
	"github.com/clementineshed/clementineshed/pkg/settings"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run one entry host",
		Description: "SIGTERM or SIGINT stops gracefully: the host leaves the balancer, finishes running requests " +
			"and releases its leases. A second signal cuts what still runs and logs it.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true, Usage: "settings `FILE` of this host (JSON)"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			s, err := settings.Load(c.String("settings"))
			if err != nil {
				return err
			}
			return serve(ctx, c, s)
		},
	}
}

func serve(ctx context.Context, c *cli.Command, s settings.Settings) error {
	logOutput := c.Root().ErrWriter
	if s.Log.File != "" {
		file, err := os.OpenFile(s.Log.File, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
		if err != nil {
			return errors.Wrap(err, "open log file")
		}
		defer func() { _ = file.Close() }()
		logOutput = file
	}
	logger, err := logging.New(logOutput, s.Log.Level, s.Host.Name)
	if err != nil {
		return usageError("%v", err)
	}
	// Packages without a logger of their own write to the default one.
	log.Log = logger
	membudget.SetCollector(int64(s.Limits.Memory))
	host, err := entryhost.New(entryhost.Options{
		Settings: s,
		Log:      logger,
		Clock:    clockwork.NewRealClock(),
		Seed:     time.Now().UnixNano(),
	})
	if err != nil {
		return err
	}
	stopWatching := abortOnSecondSignal(ctx, host)
	defer stopWatching()
	return host.Run(ctx)
}

// abortOnSecondSignal aborts the graceful shutdown when another signal arrives
// after the one that ended ctx.
func abortOnSecondSignal(ctx context.Context, host *entryhost.Host) (stop func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	stopped := make(chan struct{})
	go func() {
		select {
		case <-ctx.Done():
		case <-stopped:
			return
		}
		// The signal that ended ctx is delivered to this channel as well.
		for range 2 {
			select {
			case <-signals:
			case <-stopped:
				return
			}
		}
		host.Abort()
	}()
	return func() {
		signal.Stop(signals)
		close(stopped)
	}
}
