package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/urfave/cli/v3"

	"github.com/clementineshed/clementineshed/pkg/dev"
	"github.com/clementineshed/clementineshed/pkg/logging"
)

func devCommand() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run a small deployment with stand-ins in one process",
		Description: "Without --for it serves until interrupted. With --for and --load it sends a mixed load, prints the " +
			"result and exits with 0 only if every answer was whole.",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "for", Usage: "length of the load, `TIME` such as 10s"},
			&cli.FloatFlag{Name: "load", Usage: "`REQUESTS` a second to send; needs --for"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the load"},
			&cli.StringFlag{Name: "log-level", Value: "warn", Usage: "lowest `LEVEL` of log lines: debug, info, warn or error"},
			outputFlag(),
		},
		Action: runDev,
	}
}

func runDev(ctx context.Context, c *cli.Command) error {
	if (c.Duration("for") > 0) != (c.Float("load") > 0) {
		return usageError("--for and --load go together")
	}
	logger, err := logging.New(c.Root().ErrWriter, c.String("log-level"), "dev")
	if err != nil {
		return usageError("%v", err)
	}
	cluster, err := dev.Start(ctx, dev.Options{Log: logger, Clock: clockwork.NewRealClock(), Seed: int64(c.Uint64("seed"))})
	if err != nil {
		return err
	}
	defer cluster.Close()
	if c.Float("load") > 0 {
		return runLoad(ctx, c, cluster)
	}
	printClusterInfo(c.Root().Writer, cluster)
	<-ctx.Done()
	logger.WithFields(log.Fields{"step": "stop"}).Info("stopping")
	return nil
}

func printClusterInfo(w io.Writer, cluster *dev.Cluster) {
	_, _ = fmt.Fprintf(w, "team %s, key %s\n", cluster.Team, cluster.Key)
	for i, address := range cluster.CallersAddresses() {
		_, _ = fmt.Fprintf(w, "entry host %d: callers %s, operators %s\n", i+1, address, cluster.OperatorsAddresses()[i])
	}
	for _, variable := range cluster.Environment() {
		_, _ = fmt.Fprintf(w, "export %s\n", variable)
	}
	_, _ = fmt.Fprintln(w, "try, with these lines pasted into another shell:")
	_, _ = fmt.Fprintln(w, `  curl -sS -N "http://$CLEMENTINESHED_CALLERS/v1/chat/completions" -H "Authorization: Bearer $CLEMENTINESHED_KEY" -d '{"model":"tasting-notes","stream":true,"max_tokens":20,"messages":[{"role":"user","content":"What goes with sea salt?"}]}'`)
	_, _ = fmt.Fprintln(w, "interrupt to stop")
}

func runLoad(ctx context.Context, c *cli.Command, cluster *dev.Cluster) error {
	result := cluster.Load(ctx, c.Float("load"), c.Duration("for"), c.Uint64("seed"))
	burn, err := cluster.Burn(ctx)
	if err != nil {
		return err
	}
	err = printResult(c, struct {
		dev.LoadResult
		GoodputShare float64 `json:"goodput"`
		Burn         any     `json:"burn"`
	}{result, result.Goodput(), burn}, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "sent %d, whole %d, refused as not run %d, unknown %d, wrong %d in %s\n",
			result.Sent, result.Complete, result.NotRun, result.Unknown, result.Wrong, c.Duration("for").Round(time.Millisecond))
		_, _ = fmt.Fprintf(w, "goodput %.4f; first token p50 %d ms, p95 %d ms, p99 %d ms\n",
			result.Goodput(), result.FirstTokenMillis.P50, result.FirstTokenMillis.P95, result.FirstTokenMillis.P99)
		for _, e := range result.Errors {
			_, _ = fmt.Fprintln(w, "  "+e)
		}
		_ = burn.WriteText(w)
	})
	if err == nil && result.Complete != result.Sent {
		return errNegativeResult
	}
	return err
}
