package cli

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"io"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/clementineshed/clementineshed/pkg/configstore"
	"github.com/clementineshed/clementineshed/pkg/declaration"
)

// keyBytes is the length of a generated key before its encoding.
const keyBytes = 32

func keysCommand() *cli.Command {
	return &cli.Command{
		Name:  "keys",
		Usage: "grant and withdraw callers' keys",
		// Without it, the library prints help and exits with a code of its own.
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return usageError("unknown command %q; see clementineshed keys --help", c.Args().First())
			}
			return cli.ShowSubcommandHelp(c)
		},
		Commands: []*cli.Command{
			{
				Name:        "grant",
				Usage:       "create a key for a team",
				Description: "Prints the key once; only its hash is stored. Add the printed declaration to version control.",
				Flags: append(platformFlags(),
					&cli.StringFlag{Name: "team", Required: true, Usage: "`TEAM` that the key belongs to"},
					&cli.StringFlag{Name: "name", Required: true, Usage: "`NAME` of the key, not secret"},
				),
				Action: grantKey,
			},
			{
				Name:  "withdraw",
				Usage: "withdraw a key",
				Description: "The withdrawal is pushed to every reachable host and recorded in the log; it works while the log is down. " +
					"Exit code 0 only if every host has confirmed; otherwise the hosts that have not are named.",
				Flags: append(platformFlags(),
					&cli.StringFlag{Name: "name", Usage: "`NAME` of a declared key"},
					&cli.StringFlag{Name: "sha256", Usage: "`HASH` of the key; needs no log service"},
				),
				Action: withdrawKey,
			},
		},
	}
}

func grantKey(ctx context.Context, c *cli.Command) error {
	o, err := newOperatorClient(c)
	if err != nil {
		return err
	}
	view, err := o.operator.Load(ctx)
	if err != nil {
		return err
	}
	if _, ok := view.Team(c.String("team")); !ok {
		return usageError("team %q is not declared", c.String("team"))
	}
	raw := make([]byte, keyBytes)
	if _, err := rand.Read(raw); err != nil {
		return errors.Wrap(err, "generate key")
	}
	key := "cs-" + base64.RawURLEncoding.EncodeToString(raw)
	declared := declaration.Key{Name: c.String("name"), Team: c.String("team"), SHA256: configstore.HashKey([]byte(key)).String()}
	before := view.Document()
	after := view.Document()
	after.Put(declared)
	change := configstore.NewChange(uuid.NewString(), author(), view.Version(), declaration.Diff(before, after))
	if _, err := fmt.Fprintf(c.Root().ErrWriter, "key: %s\ndeclare: {\"name\": %q, \"team\": %q, \"sha256\": %q}\n", key, declared.Name, declared.Team, declared.SHA256); err != nil {
		return err
	}
	return o.propose(ctx, c, change)
}

// withdrawalResult is the result of a withdrawal.
type withdrawalResult struct {
	Progress configstore.Progress `json:"progress"`
	// Recorded reports whether the withdrawal is in the log. If not, the hosts
	// record it when the log is back.
	Recorded bool   `json:"recorded"`
	LogError string `json:"log_error,omitempty"`
}

func withdrawKey(ctx context.Context, c *cli.Command) error {
	o, err := newOperatorClient(c)
	if err != nil {
		return err
	}
	hash, err := keyToWithdraw(ctx, c, o)
	if err != nil {
		return err
	}
	hashes := []configstore.KeyHash{hash}
	waitCtx, cancel := context.WithTimeout(ctx, o.wait)
	defer cancel()
	var result withdrawalResult
	recorded := make(chan error, 1)
	go func() {
		_, err := o.operator.RecordWithdrawal(waitCtx, configstore.Withdrawal{ID: uuid.NewString(), Hashes: hashes})
		recorded <- err
	}()
	result.Progress, err = o.operator.PushWithdrawal(waitCtx, o.hosts, hashes)
	logErr := <-recorded
	result.Recorded = logErr == nil
	if logErr != nil {
		result.LogError = logErr.Error()
	}
	if err != nil {
		return err
	}
	err = printResult(c, result, func(w io.Writer) { printWithdrawalResult(w, result) })
	if err == nil && !result.Progress.Complete() {
		return errNegativeResult
	}
	return err
}

func printWithdrawalResult(w io.Writer, r withdrawalResult) {
	printProgress(w, r.Progress)
	if !r.Recorded {
		_, _ = fmt.Fprintf(w, "not in the log yet; the hosts record it when the log is back: %s\n", r.LogError)
	}
}

func keyToWithdraw(ctx context.Context, c *cli.Command, o *operatorClient) (configstore.KeyHash, error) {
	if text := c.String("sha256"); text != "" {
		hash, err := configstore.ParseKeyHash(text)
		if err != nil {
			return hash, usageError("--sha256: %v", err)
		}
		return hash, nil
	}
	if c.String("name") == "" {
		return configstore.KeyHash{}, usageError("give --name or --sha256")
	}
	view, err := o.operator.Load(ctx)
	if err != nil {
		return configstore.KeyHash{}, errors.Wrap(err, "look up the key by name; with --sha256 no log service is needed")
	}
	for _, key := range view.Document().Keys {
		if key.Name == c.String("name") {
			return configstore.ParseKeyHash(key.SHA256)
		}
	}
	return configstore.KeyHash{}, usageError("key %q is not declared", c.String("name"))
}
