package cli

import (
	"context"
	"net/http"
	"os"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/clementineshed/clementineshed/pkg/burn"
	"github.com/clementineshed/clementineshed/pkg/entryhost"
)

func burnCommand() *cli.Command {
	return &cli.Command{
		Name:  "burn",
		Usage: "report the service-level burn of all hosts",
		Description: "Per class and team over several windows: requests that missed their target, budget left, time to exhaustion, " +
			"and the worst-served team. Exit code 1 if a class burns its budget faster than it lasts.",
		Flags: append(platformFlags(),
			&cli.StringFlag{Name: "html", Usage: "write a self-contained page with plots to `FILE`"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			o, err := newOperatorClient(c)
			if err != nil {
				return err
			}
			report, err := o.burn(ctx)
			if err != nil {
				return err
			}
			return printBurn(c, report)
		},
	}
}

// burn merges the counters of the hosts that answer and skips the others.
func (o *operatorClient) burn(ctx context.Context) (burn.Report, error) {
	refs, err := o.hosts.List(ctx)
	if err != nil {
		return burn.Report{}, err
	}
	view, err := o.operator.Load(ctx)
	if err != nil {
		return burn.Report{}, err
	}
	var snapshots []burn.Snapshot
	for _, ref := range refs {
		var s burn.Snapshot
		if err := o.hosts.call(ctx, ref.Name, http.MethodGet, entryhost.PathBurn, nil, &s); err == nil {
			snapshots = append(snapshots, s)
		}
	}
	if len(snapshots) == 0 {
		return burn.Report{}, errors.New("no host answered")
	}
	return burn.Build(burn.Merge(snapshots...), view.Document().Classes), nil
}

func printBurn(c *cli.Command, report burn.Report) error {
	if file := c.String("html"); file != "" {
		if err := writeHTML(file, report); err != nil {
			return err
		}
	}
	write := report.WriteText
	if c.String("output") == "json" {
		write = report.WriteJSON
	}
	if err := write(c.Root().Writer); err != nil {
		return err
	}
	for _, class := range report.Classes {
		if class.Alert != burn.AlertNone {
			return errNegativeResult
		}
	}
	return nil
}

func writeHTML(file string, report burn.Report) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := report.WriteHTML(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
