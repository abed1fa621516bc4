package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/apex/log"
	"github.com/urfave/cli/v3"

	"github.com/clementineshed/clementineshed/pkg/bench/slopes"
)

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:     "bench",
		Usage:    "measure the system's own costs",
		Commands: []*cli.Command{slopesCommand()},
	}
}

func slopesCommand() *cli.Command {
	return &cli.Command{
		Name:  "slopes",
		Usage: "measure how the control work of a host grows",
		Description: "Runs every slope, or those named with --only, and fits a line to each figure. " +
			"Times depend on the machine and on other load on it. Everything stays on loopback addresses.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "only", Usage: "`NAME` of a slope; may be repeated or separated by commas"},
			&cli.StringFlag{Name: "results", Usage: "write the results as JSON to `FILE`"},
			&cli.StringFlag{Name: "page", Usage: "renew the tables between the markers of the page `FILE`"},
			&cli.StringFlag{Name: "from", Usage: "take the results of `FILE` instead of measuring"},
			&cli.BoolFlag{Name: "quick", Usage: "run small sizes, as a check that every slope works"},
		},
		Action: runSlopes,
	}
}

func runSlopes(ctx context.Context, c *cli.Command) error {
	report, err := slopesReport(ctx, c)
	if err != nil {
		return err
	}
	if file := c.String("results"); file != "" {
		if err := writeReport(file, report); err != nil {
			return err
		}
	}
	if file := c.String("page"); file != "" {
		return updatePage(file, report)
	}
	return printSlopes(c.Root().Writer, report)
}

func slopesReport(ctx context.Context, c *cli.Command) (slopes.Report, error) {
	if file := c.String("from"); file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return slopes.Report{}, err
		}
		return slopes.ReadReport(data)
	}
	// Keeps the start and stop messages of stand-ins and the poller off stderr.
	if logger, ok := log.Log.(*log.Logger); ok {
		level := logger.Level
		logger.Level = log.ErrorLevel
		defer func() { logger.Level = level }()
	}
	for _, name := range c.StringSlice("only") {
		if !slopes.Known(name) {
			return slopes.Report{}, usageError("unknown slope %q; known: %v", name, slopes.Names())
		}
	}
	return slopes.Run(ctx, slopes.Options{Only: c.StringSlice("only"), Quick: c.Bool("quick"), Progress: c.Root().ErrWriter})
}

func writeReport(file string, report slopes.Report) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := report.Write(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

func updatePage(file string, report slopes.Report) error {
	page, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	updated, err := slopes.UpdatePage(string(page), report)
	if err != nil {
		return err
	}
	return os.WriteFile(file, []byte(updated), 0o644)
}

func printSlopes(w io.Writer, report slopes.Report) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "slope\tmeasure\tunit\tper unit of size\t+-\tR2\tat today's size\tat the target\tlimit\tmet at")
	for _, r := range report.Results {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%.3g\t%.2g\t%.3f\t%.4g\t%.4g\t%.4g\t%.4g\n",
			r.Name, r.Measure, r.Unit, r.Fit.Slope, r.Error, r.Fit.R2, r.At(r.Today), r.At(r.Target), r.Budget, r.EndsAt)
	}
	return table.Flush()
}
