package cli

import (
	"context"
	"fmt"
	"io"
	"strconv"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/clementineshed/clementineshed/pkg/configstore"
	"github.com/clementineshed/clementineshed/pkg/declaration"
	"github.com/clementineshed/clementineshed/pkg/settings"
	"github.com/clementineshed/clementineshed/pkg/strictjson"
)

// declarationsPath returns the command's only argument.
func declarationsPath(c *cli.Command) (string, error) {
	if c.Args().Len() != 1 {
		return "", usageError("name one file or directory of declarations")
	}
	return c.Args().First(), nil
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:        "check",
		Usage:       "validate declarations, or the settings of a host with --settings",
		ArgsUsage:   "FILE|DIR",
		Description: "Prints every error with file, path, what was found and what is allowed. Exit code 2 if there is one.",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "settings", Usage: "the argument is a settings file of a host"},
			outputFlag(),
		},
		Action: func(_ context.Context, c *cli.Command) error {
			path, err := declarationsPath(c)
			if err != nil {
				return err
			}
			if c.Bool("settings") {
				_, err = settings.Load(path)
			} else {
				_, err = declaration.Load(path)
			}
			return printCheck(c, err)
		},
	}
}

// printCheck prints the result of a validation.
func printCheck(c *cli.Command, err error) error {
	var invalid strictjson.Errors
	if err != nil && !errors.As(err, &invalid) {
		return err
	}
	result := struct {
		Valid  bool              `json:"valid"`
		Errors strictjson.Errors `json:"errors"`
	}{err == nil, invalid}
	if c.String("output") == "json" {
		if printErr := printResult(c, result, nil); printErr != nil {
			return printErr
		}
		if err != nil {
			return cli.Exit("", ExitInvalid)
		}
		return nil
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.Root().Writer, "valid")
	return err
}

// diffResult holds the changes that lead from one configuration to another.
type diffResult struct {
	// Version is the version of the configuration in force, for apply --base;
	// configstore.NoVersion if two sets of declarations were compared.
	Version int64                  `json:"version"`
	Changes declaration.Difference `json:"changes"`
}

func diffWithConfig(ctx context.Context, o *operatorClient, path string) (diffResult, error) {
	wanted, err := declaration.Load(path)
	if err != nil {
		return diffResult{}, err
	}
	view, err := o.operator.Load(ctx)
	if err != nil {
		return diffResult{}, err
	}
	return diffResult{Version: view.Version(), Changes: declaration.Diff(view.Document(), wanted)}, nil
}

func diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "compare declarations with the configuration in force, or two sets of declarations",
		ArgsUsage: "FILE|DIR [FILE|DIR]",
		Description: "With one argument, compares it with the configuration in force and prints the version for apply --base. With " +
			"two, shows what changes from the first to the second, without the platform. Exit code 0 if there is no difference, " +
			"1 if there is one, 2 if declarations are invalid.",
		Flags: platformFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			d, err := diff(ctx, c)
			if err != nil {
				return err
			}
			err = printResult(c, d, func(w io.Writer) {
				if c.Args().Len() == 1 {
					_, _ = fmt.Fprintf(w, "compared with version %d\n", d.Version)
				}
				_, _ = io.WriteString(w, d.Changes.Text())
			})
			if err == nil && len(d.Changes) > 0 {
				return errNegativeResult
			}
			return err
		},
	}
}

func diff(ctx context.Context, c *cli.Command) (diffResult, error) {
	if c.Args().Len() == 2 {
		before, err := declaration.Load(c.Args().Get(0))
		if err != nil {
			return diffResult{}, err
		}
		after, err := declaration.Load(c.Args().Get(1))
		return diffResult{Version: configstore.NoVersion, Changes: declaration.Diff(before, after)}, err
	}
	path, err := declarationsPath(c)
	if err != nil {
		return diffResult{}, err
	}
	o, err := newOperatorClient(c)
	if err != nil {
		return diffResult{}, err
	}
	return diffWithConfig(ctx, o, path)
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "bring declarations into force",
		ArgsUsage: "FILE|DIR",
		Description: "The change is made from the version that diff printed; if the configuration has changed since, nothing is " +
			"applied. Waits until every host has confirmed. Exit code 0 if it is in force everywhere, 1 after a conflict or if a " +
			"host has not confirmed in time, 2 if the declarations are invalid.",
		Flags: append(platformFlags(),
			&cli.StringFlag{Name: "base", Required: true, Usage: "`VERSION` that the declarations were made from; -1 for none"},
			&cli.BoolFlag{Name: "withdraw-keys", Usage: "withdraw the keys in force that are not declared"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			path, err := declarationsPath(c)
			if err != nil {
				return err
			}
			base, err := strconv.ParseInt(c.String("base"), 10, 64)
			if err != nil {
				return usageError("--base %q is not a version", c.String("base"))
			}
			return apply(ctx, c, path, base)
		},
	}
}

func apply(ctx context.Context, c *cli.Command, path string, base int64) error {
	o, err := newOperatorClient(c)
	if err != nil {
		return err
	}
	d, err := diffWithConfig(ctx, o, path)
	if err != nil {
		return err
	}
	if d.Version != base {
		return errors.Errorf("conflict: the configuration is at version %d, not %d; nothing was applied, run diff again", d.Version, base)
	}
	if keys := removedKeys(d.Changes); len(keys) > 0 && !c.Bool("withdraw-keys") {
		return usageError("keys %v are in force and not declared; nothing was applied, declare them or pass --withdraw-keys", keys)
	}
	if len(d.Changes) == 0 {
		return printResult(c, d, func(w io.Writer) { _, _ = fmt.Fprintln(w, "nothing to apply") })
	}
	return o.propose(ctx, c, configstore.NewChange(uuid.NewString(), author(), base, d.Changes))
}

// removedKeys returns the names of the keys that d removes.
func removedKeys(d declaration.Difference) []string {
	var names []string
	for _, change := range d {
		if change.Kind == declaration.KindKey && change.Change == declaration.Removed {
			names = append(names, change.Name)
		}
	}
	return names
}
