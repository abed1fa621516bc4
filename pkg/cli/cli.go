package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/clementineshed/clementineshed/pkg/strictjson"
)

// Exit codes of all commands; the package comment says when each is returned.
const (
	ExitOK      = 0
	ExitFailed  = 1
	ExitInvalid = 2
)

// errNegativeResult leads to ExitFailed; the result has been printed already.
var errNegativeResult = errors.New("no")

// version is the version of the program; releases set it at link time.
var version = "dev"

// Run executes the command line args, which starts with the program's name, and
// returns the exit code; it never ends the process. When ctx ends, commands shut
// down gracefully.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	command := root(stdout, stderr)
	return exitCode(command.Run(ctx, args), stderr)
}

func exitCode(err error, stderr io.Writer) int {
	var invalid strictjson.Errors
	var coder cli.ExitCoder
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errNegativeResult):
		return ExitFailed
	case errors.As(err, &invalid):
		_, _ = fmt.Fprintln(stderr, invalid.Error())
		return ExitInvalid
	case errors.As(err, &coder):
		_, _ = fmt.Fprintln(stderr, coder.Error())
		return coder.ExitCode()
	default:
		_, _ = fmt.Fprintln(stderr, "clementineshed: "+err.Error())
		return ExitFailed
	}
}

// usageError returns an error in the command line, which exits with ExitInvalid.
func usageError(format string, args ...any) error {
	return cli.Exit(fmt.Sprintf(format, args...), ExitInvalid)
}

func root(stdout, stderr io.Writer) *cli.Command {
	command := &cli.Command{
		Name:                  "clementineshed",
		Usage:                 "serve language models and order services for teams on a limited fleet",
		Description:           "Exit codes: 0 success; 1 failed, or the answer is no; 2 invalid input, nothing was done.",
		EnableShellCompletion: true,
		Writer:                stdout,
		ErrWriter:             stderr,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return usageError("unknown command %q; see clementineshed --help", c.Args().First())
			}
			return cli.ShowAppHelp(c)
		},
		Commands: []*cli.Command{
			serveCommand(),
			checkCommand(),
			diffCommand(),
			applyCommand(),
			statusCommand(),
			keysCommand(),
			burnCommand(),
			benchCommand(),
			devCommand(),
			versionCommand(),
		},
	}
	setUsageErrors(command)
	return command
}

// setUsageErrors makes command and its subcommands end with ExitInvalid for
// unknown flags; the library does not pass the handler on to subcommands.
func setUsageErrors(command *cli.Command) {
	command.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return usageError("%v", err)
	}
	for _, sub := range command.Commands {
		setUsageErrors(sub)
	}
}

// outputFlag selects text or JSON; printResult reads it.
func outputFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  "output",
		Value: "text",
		Usage: "`FORMAT` of the output: text or json",
		Validator: func(v string) error {
			if v != "text" && v != "json" {
				return errors.Errorf("%q is neither text nor json", v)
			}
			return nil
		},
	}
}

// printResult writes v as JSON if --output is json; otherwise it calls text.
func printResult(c *cli.Command, v any, text func(w io.Writer)) error {
	w := c.Root().Writer
	if c.String("output") != "json" {
		text(w)
		return nil
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, c *cli.Command) error {
			revision := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				for _, s := range info.Settings {
					if s.Key == "vcs.revision" {
						revision = s.Value
					}
				}
			}
			_, err := fmt.Fprintf(c.Root().Writer, "clementineshed %s (revision %s)\n", version, revision)
			return err
		},
	}
}
