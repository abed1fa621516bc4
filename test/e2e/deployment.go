package e2e

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/clementineshed/clementineshed/pkg/declaration"
	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/endpointapi"
	"github.com/clementineshed/clementineshed/pkg/entryhost"
	"github.com/clementineshed/clementineshed/pkg/jsonhttp"
	"github.com/clementineshed/clementineshed/pkg/settings"
	"github.com/clementineshed/clementineshed/pkg/standin/orderd"
	"github.com/clementineshed/clementineshed/pkg/standin/platformd"
	"github.com/clementineshed/clementineshed/pkg/tlsconfig"
)

// Names in the declarations of a Deployment.
const (
	Team        = "breakwater-fudge"
	ModelRoute  = "tasting-notes"
	serviceName = "order-desk"
	engineModel = "notes-model"
	// readyTimeout leaves room for the start of a deployment on a busy machine.
	readyTimeout = 30 * time.Second
)

// Options configure a Deployment.
type Options struct {
	// Domains are the failure domains, nashua and hartford if empty. Each gets
	// one order service.
	Domains []string
	// HostsPerDomain is 1 if zero.
	HostsPerDomain int
	// EnginesPerDomain is 1 if zero.
	EnginesPerDomain int
	// EngineFlags are added to every engine, such as "--stream-rate=20".
	EngineFlags []string
	// EditSettings, if set, changes the settings of each host before it starts.
	EditSettings func(*settings.Settings)
	// EditDeclarations, if set, changes the declarations that Start applies.
	EditDeclarations func(*declaration.Document)
	// HostOpenFiles is the limit of open files of each host; no limit of its own if
	// zero.
	HostOpenFiles int
	// RecordPeerMessages makes PeerMessages available.
	RecordPeerMessages bool
}

// Deployment is a running system. Only one goroutine at a time may call its
// methods, except Run; its hosts, processes and links are safe for concurrent
// use.
type Deployment struct {
	// Key is the API key of Team, KeyHash its declared hash.
	Key, KeyHash string
	// Declarations are those that Start applied.
	Declarations           declaration.Document
	Hosts                  []*Host
	Log, Platform          *StandIn
	Engines, OrderServices []*StandIn

	t             testing.TB
	dir           string
	opts          Options
	ca            *tlsconfig.DevCA
	links         *links
	processes     []*Process
	platformViews []*httptest.Server
	tlsFiles      map[string]tlsconfig.Files
	recorder      *peerRecorder
}

// StandIn is a process that simulates an outside system.
type StandIn struct {
	*Process
	// Address bypasses the fault proxies.
	Address string
}

// Host is an entry host. Restart replaces Process.
type Host struct {
	*Process
	Name, Domain string
	// CallerAddress and OperatorAddress bypass the fault proxies.
	CallerAddress, OperatorAddress string
	// LogLink and PlatformLink lead from the host to the log and the platform,
	// OperatorLink from operators to the host.
	LogLink, PlatformLink, OperatorLink Link

	settingsFile string
	deployment   *Deployment
}

// Start runs a deployment, applies its declarations with the command line and
// waits until every host is ready. The deployment ends with the test; a failed
// test prints the end of every process's log.
func Start(t testing.TB, opts Options) *Deployment {
	t.Helper()
	if len(opts.Domains) == 0 {
		opts.Domains = []string{"nashua", "hartford"}
	}
	opts.EnginesPerDomain = max(opts.EnginesPerDomain, 1)
	d := &Deployment{t: t, dir: t.TempDir(), opts: opts, links: newLinks(), tlsFiles: map[string]tlsconfig.Files{}}
	d.recorder = &peerRecorder{d: d, listeners: map[linkKey]*quic.Listener{}}
	if opts.RecordPeerMessages {
		d.links.relayAddress = d.recorder.relayAddress
	}
	t.Cleanup(d.close)
	d.Key, d.KeyHash = NewKey(t.Name())
	d.Declarations = baseDeclarations(d.KeyHash)
	if opts.EditDeclarations != nil {
		opts.EditDeclarations(&d.Declarations)
	}
	var err error
	if d.ca, err = tlsconfig.NewDevCA(time.Now()); err != nil {
		t.Fatal(err)
	}
	// The peer recorder needs all certificates when the first host asks for peers.
	for _, domain := range opts.Domains {
		for i := range max(opts.HostsPerDomain, 1) {
			name := hostName(domain, i)
			if d.tlsFiles[name], err = d.ca.WriteFiles(d.dir, name, net.IPv4(127, 0, 0, 1)); err != nil {
				t.Fatal(err)
			}
		}
	}
	d.startStandIns()
	for _, domain := range opts.Domains {
		for i := range max(opts.HostsPerDomain, 1) {
			d.Hosts = append(d.Hosts, d.startHost(domain, i))
		}
	}
	d.waitHostsListed()
	d.MustRun("apply", "--base", "-1", d.WriteDeclarations(d.Declarations))
	for _, h := range d.Hosts {
		h.WaitReady()
	}
	return d
}

// NewKey returns a new key and its hash; seed and the clock make it unique.
func NewKey(seed string) (key, hash string) {
	sum := sha256.Sum256([]byte(fmt.Sprint(seed, time.Now().UnixNano())))
	key = "cs-" + hex.EncodeToString(sum[:])
	return key, HashOf(key)
}

// HashOf returns the hash under which a key is declared.
func HashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func baseDeclarations(hash string) declaration.Document {
	return declaration.Document{
		Teams: []declaration.Team{{Name: Team}},
		Keys:  []declaration.Key{{Name: Team + "-1", Team: Team, SHA256: hash}},
		Classes: []declaration.Class{
			{Name: "interactive", FirstToken: declaration.Duration(20 * time.Second), BetweenTokens: declaration.Duration(5 * time.Second), Share: 0.95},
			{Name: "order", Completion: declaration.Duration(5 * time.Second), Share: 0.99},
		},
		Models:   []declaration.Model{{Name: engineModel, Version: "1"}},
		Services: []declaration.Service{{Name: serviceName}},
		Routes: []declaration.Route{
			{Name: ModelRoute, Kind: declaration.RouteModel, Model: engineModel, Class: "interactive", Repeatable: true},
			{Name: "order-desk", Kind: declaration.RouteService, Service: serviceName, Path: orderd.DefaultPrefix, Class: "order"},
		},
		EndpointKinds: []declaration.EndpointKind{
			{Name: platformd.KindSteady, HourlyCost: 10},
			{Name: platformd.KindSpot, Reclaimable: true, HourlyCost: 4},
		},
	}
}

func (d *Deployment) startStandIns() {
	d.Log = d.startStandIn("log", "log")
	d.Platform = d.startStandIn("platform", "platform")
	for _, domain := range d.opts.Domains {
		for i := range d.opts.EnginesPerDomain {
			id := fmt.Sprintf("engine-%s-%d", domain, i+1)
			flags := append([]string{"--id", id, "--model", engineModel, "--checks-fencing"}, d.opts.EngineFlags...)
			s := d.startStandIn(id, "engine", flags...)
			var load endpoint.Load
			d.getJSON(s.Address, "/v1/load", &load)
			d.Engines = append(d.Engines, s)
			d.registerLive(endpoint.Endpoint{ID: id, Instance: load.Instance, Address: s.Address, Domain: domain, ChecksFencing: true})
		}
		id := "desk-" + domain
		desk := d.startStandIn(id, "orderservice")
		d.OrderServices = append(d.OrderServices, desk)
		d.registerLive(endpoint.Endpoint{ID: id, Instance: id + "-1", Address: desk.Address, Domain: domain, Service: serviceName})
	}
}

func (d *Deployment) registerLive(e endpoint.Endpoint) {
	e.Kind, e.State = platformd.KindSteady, endpoint.StateLive
	d.Control(d.Platform.Address, http.MethodPut, "/control/endpoints/"+e.ID, e)
}

// startStandIn starts a stand-in and waits until it accepts connections.
func (d *Deployment) startStandIn(name, command string, flags ...string) *StandIn {
	address := freeAddress(d.t)
	s := &StandIn{Address: address}
	s.Process = d.start(name, "standin", append([]string{command, "--address", address}, flags...)...)
	Eventually(d.t, readyTimeout, name+" accepts connections", func() bool {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
	return s
}

func (d *Deployment) start(name, program string, args ...string) *Process {
	p := StartProcess(d.t, name, program, args...)
	d.processes = append(d.processes, p)
	return p
}

// hostName returns the name of a host; number counts from 0 in its domain.
func hostName(domain string, number int) string {
	if number == 0 {
		return "entry-" + domain
	}
	return fmt.Sprintf("entry-%s-%d", domain, number+1)
}

func (d *Deployment) startHost(domain string, number int) *Host {
	h := &Host{Name: hostName(domain, number), Domain: domain, deployment: d, CallerAddress: freeAddress(d.t), OperatorAddress: freeAddress(d.t)}
	self, outside := linkEnd{h.Name, domain}, linkEnd{"platform", OutsideDomain}
	view := d.links.platformView(self, d.Platform.Address)
	d.platformViews = append(d.platformViews, view)
	h.LogLink = d.links.link("tcp", self, outside, d.Log.Address)
	h.PlatformLink = d.links.link("tcp", self, outside, view.Listener.Addr().String())
	h.OperatorLink = d.links.link("tcp", linkEnd{"operator", OutsideDomain}, self, h.OperatorAddress)

	files := d.tlsFiles[h.Name]
	s := settings.Defaults()
	s.Host = settings.Host{Name: h.Name, Instance: h.Name + "-i1", Domain: domain, Domains: d.opts.Domains}
	s.Listen = settings.Listen{Callers: h.CallerAddress, Operators: h.OperatorAddress, Peers: freeAddress(d.t)}
	s.Platform.LogService = []string{h.LogLink.Address()}
	platform := h.PlatformLink.Address()
	s.Platform.Endpoints, s.Platform.Usage, s.Platform.HostList, s.Platform.WeightStore = platform, platform, platform, platform
	s.TLS.Peers = settings.Link{Certificate: files.Cert, Key: files.Key, CA: files.CA}
	s.Limits.BalancerDelay = settings.Duration(200 * time.Millisecond)
	s.Log.Level = "debug"
	if d.opts.EditSettings != nil {
		d.opts.EditSettings(&s)
	}
	h.settingsFile = d.writeJSON(h.Name+".json", s)
	d.Control(d.Platform.Address, http.MethodPut, "/control/hosts/"+h.Name, endpointapi.Host{
		Instance: s.Host.Instance, Domain: domain, PeerAddress: s.Listen.Peers,
		OperatorAddress: h.OperatorLink.Address(), State: endpointapi.HostLive,
	})
	h.Process = d.startHostProcess(h)
	return h
}

func (d *Deployment) startHostProcess(h *Host) *Process {
	args := []string{"serve", "--settings", h.settingsFile}
	if d.opts.HostOpenFiles == 0 {
		return d.start(h.Name, "clementineshed", args...)
	}
	p := StartLimitedProcess(d.t, h.Name, d.opts.HostOpenFiles, "clementineshed", args...)
	d.processes = append(d.processes, p)
	return p
}

// Restart starts the host again with the same settings. The old process must
// have ended, and nothing else may use Process meanwhile.
func (h *Host) Restart() {
	h.Process = h.deployment.startHostProcess(h)
}

// Status fetches the status of the host from its operator address.
func (h *Host) Status() (entryhost.Status, error) {
	var s entryhost.Status
	err := jsonhttp.New(h.OperatorAddress, jsonhttp.Options{}).Do(context.Background(), http.MethodGet, entryhost.PathStatus, nil, &s)
	return s, err
}

// WaitReady waits until the host is ready. It fails the test after readyTimeout.
func (h *Host) WaitReady() {
	h.deployment.t.Helper()
	Eventually(h.deployment.t, readyTimeout, h.Name+" is ready", func() bool {
		s, err := h.Status()
		return err == nil && s.Ready
	})
}

// waitHostsListed waits until the lagging host list shows every host.
func (d *Deployment) waitHostsListed() {
	Eventually(d.t, readyTimeout, "hosts are listed", func() bool {
		var answer endpointapi.HostsAnswer
		d.getJSON(d.Platform.Address, endpointapi.PathHosts, &answer)
		return len(answer.Hosts) == len(d.Hosts)
	})
}

// Partition cuts a failure domain off from the other domains, the platform and
// the operators until Heal. Callers still reach its hosts.
func (d *Deployment) Partition(domain string) { d.links.setPartitioned(domain, true) }

// Heal ends the partition of domain.
func (d *Deployment) Heal(domain string) { d.links.setPartitioned(domain, false) }

// Control sends a request to a stand-in's control endpoint, which must succeed.
func (d *Deployment) Control(address, method, path string, body any) {
	d.t.Helper()
	if err := jsonhttp.New(address, jsonhttp.Options{FreshConnections: true}).Do(context.Background(), method, path, body, nil); err != nil {
		d.t.Fatal(err)
	}
}

// SetFaults replaces the faults of a stand-in, such as {"outage": "silent"}.
func (d *Deployment) SetFaults(s *StandIn, faults map[string]any) {
	d.t.Helper()
	d.Control(s.Address, http.MethodPost, "/control/faults", faults)
}

func (d *Deployment) getJSON(address, path string, out any) {
	d.t.Helper()
	if err := jsonhttp.New(address, jsonhttp.Options{FreshConnections: true}).Do(context.Background(), http.MethodGet, path, nil, out); err != nil {
		d.t.Fatal(err)
	}
}

// Executions returns the executions that the order services have journaled.
func (d *Deployment) Executions() []orderd.Execution {
	d.t.Helper()
	var all []orderd.Execution
	for _, desk := range d.OrderServices {
		var list []orderd.Execution
		d.getJSON(desk.Address, "/control/journal", &list)
		all = append(all, list...)
	}
	return all
}

// WriteDeclarations writes doc to a new file and returns its path.
func (d *Deployment) WriteDeclarations(doc declaration.Document) string {
	return d.writeJSON(fmt.Sprintf("declarations-%d.json", time.Now().UnixNano()), doc)
}

func (d *Deployment) writeJSON(name string, v any) string {
	data, err := json.MarshalIndent(v, "", " ")
	if err != nil {
		d.t.Fatal(err)
	}
	file := filepath.Join(d.dir, name)
	if err := os.WriteFile(file, data, 0o600); err != nil {
		d.t.Fatal(err)
	}
	return file
}

// Run runs an operator's command of clementineshed and returns its output and
// exit code, or -1 if it didn't start. It is safe for concurrent use.
func (d *Deployment) Run(args ...string) (output string, code int) {
	cmd := exec.Command(built.path("clementineshed"), args...)
	cmd.Env = append(os.Environ(), "CLEMENTINESHED_LOG_SERVICE="+d.Log.Address, "CLEMENTINESHED_HOST_LIST="+d.Platform.Address)
	cmd.SysProcAttr = killWithParent()
	var buffer lockedBuffer
	cmd.Stdout, cmd.Stderr = &buffer, &buffer
	if err := startCommand(cmd); err != nil {
		return err.Error(), -1
	}
	_ = cmd.Wait()
	return buffer.String(), cmd.ProcessState.ExitCode()
}

// MustRun is like Run but fails the test unless the exit code is 0.
func (d *Deployment) MustRun(args ...string) string {
	d.t.Helper()
	output, code := d.Run(args...)
	if code != 0 {
		d.t.Fatalf("clementineshed %s: exit code %d\n%s", strings.Join(args, " "), code, output)
	}
	return output
}

// Outputs returns the output of every process, by start order and name.
func (d *Deployment) Outputs() map[string]string {
	outputs := map[string]string{}
	for i, p := range d.processes {
		outputs[fmt.Sprintf("%02d %s", i, p.Name)] = p.Output()
	}
	return outputs
}

// tailBytes bounds the log of one process that a failed test prints.
const tailBytes = 6000

func (d *Deployment) close() {
	for _, p := range d.processes {
		p.Kill()
	}
	for _, v := range d.platformViews {
		v.CloseClientConnections()
		v.Close()
	}
	d.links.close()
	d.recorder.close()
	if !d.t.Failed() {
		return
	}
	for name, output := range d.Outputs() {
		d.t.Logf("---- %s\n%s", name, output[max(0, len(output)-tailBytes):])
	}
}
