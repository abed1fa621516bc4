package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	"github.com/apex/log/handlers/logfmt"
	"github.com/urfave/cli/v3"
)

// standin is a running stand-in.
type standin interface {
	Close() error
}

// New returns the command "standin". Its subcommands log to standard error and
// handle SIGINT and SIGTERM themselves.
func New() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run a stand-in for an outside system",
		Commands: []*cli.Command{
			subcommand("log", "the log service", logFlags(), startLog),
			subcommand("platform", "host list, endpoint and usage interface, weight store", platformFlags(), startPlatform),
			subcommand("engine", "a model engine", engineFlags(), startEngine),
			subcommand("orderservice", "an order service", orderFlags(), startOrderService),
			subcommand("faultproxy", "a proxy that injects faults", proxyFlags(), startProxy),
		},
	}
}

// subcommand builds a command that starts a stand-in and runs it until ctx is
// done or a signal arrives.
func subcommand(name, usage string, flags []cli.Flag, start func(*cli.Command, log.Interface) (standin, error)) *cli.Command {
	common := []cli.Flag{
		&cli.StringFlag{Name: settingsFlag, Usage: "JSON `FILE` with an object of flag names and values"},
		&cli.StringFlag{Name: "address", Value: "127.0.0.1:0", Usage: "`IP:PORT` to listen on"},
	}
	return &cli.Command{
		Name:  name,
		Usage: usage,
		Flags: append(common, flags...),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			logger := &log.Logger{Handler: logfmt.New(os.Stderr), Level: log.InfoLevel}
			if err := applySettings(cmd); err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			s, err := start(cmd, logger)
			if err != nil {
				return err
			}
			<-ctx.Done()
			logger.WithField("standin", name).Info("closing")
			return s.Close()
		},
	}
}
