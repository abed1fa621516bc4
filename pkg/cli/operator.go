package cli

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"os/user"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/clementineshed/clementineshed/pkg/configstore"
	"github.com/clementineshed/clementineshed/pkg/endpointapi"
	"github.com/clementineshed/clementineshed/pkg/entryhost"
	"github.com/clementineshed/clementineshed/pkg/jsonhttp"
	"github.com/clementineshed/clementineshed/pkg/logservice"
)

// platformFlags returns the flags that all operator commands share: addresses,
// certificates, output format and the time to wait.
func platformFlags() []cli.Flag {
	flags := []cli.Flag{
		&cli.StringSliceFlag{Name: "log-service", Sources: cli.EnvVars("CLEMENTINESHED_LOG_SERVICE"), Usage: "`IP:PORT` of the log service; may be repeated"},
		&cli.StringFlag{Name: "host-list", Sources: cli.EnvVars("CLEMENTINESHED_HOST_LIST"), Usage: "`IP:PORT` of the host list"},
		&cli.DurationFlag{Name: "wait", Value: 19 * time.Second, Usage: "`TIME` to wait until every host has confirmed"},
		outputFlag(),
	}
	flags = append(flags, linkFlags(linkOperators, "the hosts' operator addresses")...)
	return append(flags, linkFlags(linkPlatform, "the log service and the host list")...)
}

// operatorClient holds the clients of an operator command.
type operatorClient struct {
	operator *configstore.Operator
	hosts    *hostClient
	wait     time.Duration
}

func newOperatorClient(c *cli.Command) (*operatorClient, error) {
	if len(c.StringSlice("log-service")) == 0 || c.String("host-list") == "" {
		return nil, usageError("give --log-service and --host-list, or set CLEMENTINESHED_LOG_SERVICE and CLEMENTINESHED_HOST_LIST")
	}
	hostsTLS, err := linkTLS(c, linkOperators)
	if err != nil {
		return nil, err
	}
	platformTLS, err := linkTLS(c, linkPlatform)
	if err != nil {
		return nil, err
	}
	platformOptions := jsonhttp.Options{TLS: platformTLS(platformName)}
	var clients []logservice.Client
	for _, address := range c.StringSlice("log-service") {
		clients = append(clients, logservice.NewHTTPClient(jsonhttp.New(address, platformOptions)))
	}
	clock := clockwork.NewRealClock()
	return &operatorClient{
		operator: configstore.NewOperator(logservice.NewFailover(clients...), clock, uuid.NewString),
		hosts:    &hostClient{tls: hostsTLS, list: endpointapi.NewHostList(jsonhttp.New(c.String("host-list"), platformOptions), clock)},
		wait:     c.Duration("wait"),
	}, nil
}

// author returns the user name that the log and conflict messages show.
func author() string {
	if u, err := user.Current(); err == nil {
		return u.Username
	}
	return "unknown"
}

// hostClient sends requests to the operator addresses of entry hosts. It
// implements configstore.Hosts.
type hostClient struct {
	list *endpointapi.HostList
	tls  func(host string) func() *tls.Config
}

// hostsByName reads the host list.
func (h *hostClient) hostsByName(ctx context.Context) (map[string]endpointapi.Host, error) {
	hostList, err := h.list.Read(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "read host list")
	}
	hosts := map[string]endpointapi.Host{}
	for _, host := range hostList.Value.Hosts {
		hosts[host.Name] = host
	}
	return hosts, nil
}

// List implements configstore.Hosts.
func (h *hostClient) List(ctx context.Context) ([]configstore.HostRef, error) {
	hosts, err := h.hostsByName(ctx)
	if err != nil {
		return nil, err
	}
	var refs []configstore.HostRef
	for _, host := range hosts {
		refs = append(refs, configstore.HostRef{Name: host.Name, Domain: host.Domain})
	}
	return refs, nil
}

// call sends a request to a host of the list that was last read.
func (h *hostClient) call(ctx context.Context, name, method, path string, in, out any) error {
	last := h.list.Last()
	for _, host := range last.Value.Hosts {
		if host.Name == name {
			return jsonhttp.New(host.OperatorAddress, jsonhttp.Options{TLS: h.tls(host.Name)}).Do(ctx, method, path, in, out)
		}
	}
	return errors.Errorf("host %s is not on the host list", name)
}

// Next implements configstore.Hosts.
func (h *hostClient) Next(ctx context.Context, host string) (int64, error) {
	status, err := h.status(ctx, host)
	return status.ConfigNext, err
}

func (h *hostClient) status(ctx context.Context, host string) (entryhost.Status, error) {
	var status entryhost.Status
	err := h.call(ctx, host, http.MethodGet, entryhost.PathStatus, nil, &status)
	return status, err
}

// Withdraw implements configstore.Hosts.
func (h *hostClient) Withdraw(ctx context.Context, host string, hashes []configstore.KeyHash) error {
	for _, hash := range hashes {
		request := entryhost.WithdrawKeyRequest{SHA256: hash.String()}
		if err := h.call(ctx, host, http.MethodPost, entryhost.PathWithdrawKey, request, nil); err != nil {
			return err
		}
	}
	return nil
}

// changeResult is the result of proposing a configuration change. Progress is nil
// if the change was not accepted.
type changeResult struct {
	Verdict  configstore.Verdict   `json:"verdict"`
	Progress *configstore.Progress `json:"progress,omitempty"`
}

// printChangeResult prints a result. It returns errNegativeResult if the change
// is not in force on every host.
func printChangeResult(c *cli.Command, a changeResult) error {
	err := printResult(c, a, func(w io.Writer) {
		_, _ = fmt.Fprintln(w, a.Verdict.Text())
		if a.Progress != nil {
			printProgress(w, *a.Progress)
		}
	})
	if err != nil {
		return err
	}
	if !a.Verdict.Accepted || a.Progress == nil || !a.Progress.Complete() {
		return errNegativeResult
	}
	return nil
}

func printProgress(w io.Writer, p configstore.Progress) {
	_, _ = fmt.Fprintf(w, "in force on %d of %d hosts\n", len(p.Confirmed), len(p.Confirmed)+len(p.Pending))
	for _, host := range p.Pending {
		_, _ = fmt.Fprintf(w, "  not confirmed: %s (%s): %s", host.Name, host.Domain, host.Reason)
		if !host.KeysStopBy.IsZero() {
			_, _ = io.WriteString(w, keyCutoffText(host))
		}
		_, _ = fmt.Fprintln(w)
	}
}

// keyCutoffText says until when a host that has not confirmed may accept keys.
// While the log is unavailable, it is unknown whether any team has offline keys.
func keyCutoffText(host configstore.PendingHost) string {
	text := "; accepts no key after " + ceilToSecond(host.KeysStopBy)
	if host.OfflineStopBy.IsZero() {
		return text + `, except for teams with offline_keys "serve", up to their offline_limit`
	}
	return text + `, and none of a team with offline_keys "serve" after ` + ceilToSecond(host.OfflineStopBy)
}

// ceilToSecond rounds up because a key may still work during the second that
// contains the limit.
func ceilToSecond(t time.Time) string {
	return t.Add(time.Second - time.Nanosecond).Truncate(time.Second).Format(time.RFC3339)
}

// propose appends a change and waits until every host has it.
func (o *operatorClient) propose(ctx context.Context, c *cli.Command, change configstore.Change) error {
	verdict, err := o.operator.Propose(ctx, change)
	if err != nil {
		return err
	}
	result := changeResult{Verdict: verdict}
	if verdict.Accepted {
		waitCtx, cancel := context.WithTimeout(ctx, o.wait)
		defer cancel()
		progress, err := o.operator.AwaitHosts(waitCtx, o.hosts, verdict.Version)
		if err != nil {
			return err
		}
		result.Progress = &progress
	}
	return printChangeResult(c, result)
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "print the state of every entry host",
		Flags: platformFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			o, err := newOperatorClient(c)
			if err != nil {
				return err
			}
			return runStatus(ctx, c, o.hosts)
		},
	}
}

// hostStatus is the status of one host, or the error of the request for it.
type hostStatus struct {
	Host   string            `json:"host"`
	Status *entryhost.Status `json:"status,omitempty"`
	Error  string            `json:"error,omitempty"`
}

func runStatus(ctx context.Context, c *cli.Command, hosts *hostClient) error {
	refs, err := hosts.List(ctx)
	if err != nil {
		return err
	}
	var list []hostStatus
	allReady := true
	for _, ref := range refs {
		entry := hostStatus{Host: ref.Name}
		if status, err := hosts.status(ctx, ref.Name); err != nil {
			entry.Error = err.Error()
		} else {
			entry.Status = &status
		}
		allReady = allReady && entry.Status != nil && entry.Status.Ready
		list = append(list, entry)
	}
	err = printResult(c, list, func(w io.Writer) { printStatus(w, list) })
	if err == nil && !allReady {
		return errNegativeResult
	}
	return err
}

func printStatus(w io.Writer, list []hostStatus) {
	for _, entry := range list {
		if entry.Status == nil {
			_, _ = fmt.Fprintf(w, "%s: no answer: %s\n", entry.Host, entry.Error)
			continue
		}
		s := entry.Status
		_, _ = fmt.Fprintf(w, "%s (%s): ready %v, config %d, confirmed %d ms ago, in flight %d, held %d, endpoints %d, leases %d\n",
			s.Host, s.Domain, s.Ready, s.ConfigVersion, s.ConfirmedAgeMillis, s.InFlight, s.Held, s.Endpoints, len(s.Leases))
		for _, m := range s.NotReady {
			_, _ = fmt.Fprintf(w, "  not ready: %s\n", m)
		}
		for _, p := range s.Problems {
			_, _ = fmt.Fprintf(w, "  problem: %s (peer %s): %s\n", p.Step, p.Peer, p.Error)
		}
	}
}
