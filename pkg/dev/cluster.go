package dev

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/configstore"
	"github.com/clementineshed/clementineshed/pkg/declaration"
	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/endpointapi"
	"github.com/clementineshed/clementineshed/pkg/entryhost"
	"github.com/clementineshed/clementineshed/pkg/freeport"
	"github.com/clementineshed/clementineshed/pkg/jsonhttp"
	"github.com/clementineshed/clementineshed/pkg/logservice"
	"github.com/clementineshed/clementineshed/pkg/roles"
	"github.com/clementineshed/clementineshed/pkg/settings"
	"github.com/clementineshed/clementineshed/pkg/standin/engined"
	"github.com/clementineshed/clementineshed/pkg/standin/logd"
	"github.com/clementineshed/clementineshed/pkg/standin/orderd"
	"github.com/clementineshed/clementineshed/pkg/standin/platformd"
	"github.com/clementineshed/clementineshed/pkg/tlsconfig"
)

const (
	// loopback binds a free port that the operating system chooses.
	loopback = "127.0.0.1:0"
	// enginesPerDomain lets each domain keep serving after losing one engine.
	enginesPerDomain = 2
	model            = "notes-model"
	modelVersion     = "1"
	serviceName      = "order-desk"
	readyTimeout     = 20 * time.Second
	// tlsPollInterval is shorter than in production, so that replaced TLS files
	// take effect soon.
	tlsPollInterval = 500 * time.Millisecond
	// hostListLag is shorter than the stand-in's default, for a quick start.
	hostListLag = 100 * time.Millisecond
)

// domains are the failure domains of the deployment.
var domains = []string{"nashua", "hartford"}

// Options configure a Cluster.
type Options struct {
	Log   log.Interface
	Clock clockwork.Clock
	Seed  int64
	// Roles decides on the engines' roles; roles.DefaultMixedRolePolicy if
	// nil.
	Roles roles.Policy
	// Engine holds the engines' options, rates for example. Zero fields take the
	// stand-in's defaults; ID, Model, Version, ChecksFencing, CrashMarker,
	// OnInstance and Log are overwritten, and SoftwareVersion if Options.SoftwareVersion is set.
	Engine engined.Options
	// SoftwareVersion returns the software version of an engine; nil for none.
	SoftwareVersion func(engineID string) string
	// TLS serves callers and operators over TLS, with the certificates that the
	// hosts use among themselves.
	TLS bool
	// Settings edits the default settings of each host; nil for none.
	Settings func(*settings.Settings)
}

// Cluster is a running deployment.
type Cluster struct {
	// Key is a valid API key of Team.
	Key  string
	Team string
	// DeclarationsFile holds the declarations in force at the start.
	DeclarationsFile string
	// SettingsFile holds the settings of an additional host in the first failure
	// domain. Start does not start that host.
	SettingsFile string

	opts    Options
	dir     string
	log     *logd.Server
	plat    *platformd.Server
	engines []*engined.Server
	orders  []*orderd.Server
	hosts   []*entryhost.Host

	cancel  context.CancelFunc
	running sync.WaitGroup
}

// Start runs a deployment and waits until its hosts are ready. On an error it
// stops whatever it has started. The caller must call Close.
func Start(ctx context.Context, opts Options) (*Cluster, error) {
	c := &Cluster{opts: opts, Team: "breakwater-fudge"}
	if err := c.start(ctx); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start(ctx context.Context) error {
	var err error
	if c.dir, err = os.MkdirTemp("", "clementineshed-dev-"); err != nil {
		return errors.Wrap(err, "create directory for certificates")
	}
	if err := c.startPlatform(); err != nil {
		return err
	}
	if err := c.startEndpoints(); err != nil {
		return err
	}
	if err := c.applyDeclarations(ctx); err != nil {
		return err
	}
	if err := c.startHosts(); err != nil {
		return err
	}
	return c.waitReady(ctx)
}

func (c *Cluster) startPlatform() error {
	c.log = logd.New(logd.Options{Clock: c.opts.Clock, Log: c.opts.Log})
	if err := c.log.Listen(loopback); err != nil {
		return err
	}
	c.plat = platformd.New(platformd.Options{
		Clock: c.opts.Clock, Log: c.opts.Log, HostListLag: hostListLag, Start: c.startProvisioned,
	})
	return c.plat.Listen(loopback)
}

// startProvisioned starts an engine for a provision order. It is the platform
// stand-in's Start hook.
func (c *Cluster) startProvisioned(e endpoint.Endpoint, order endpointapi.ProvisionOrder) (endpoint.Endpoint, func(), error) {
	engine := c.newEngine(e.ID)
	if err := engine.Listen(loopback); err != nil {
		return e, nil, err
	}
	started := engine.Endpoint(e.Domain, e.Kind)
	started.Reclaimable = e.Reclaimable
	return started, func() { _ = engine.Close() }, nil
}

func (c *Cluster) newEngine(id string) *engined.Server {
	opts := c.opts.Engine
	opts.ID, opts.Model, opts.Version = id, model, modelVersion
	opts.ChecksFencing, opts.CrashMarker = true, "crash-the-engine"
	opts.Log = c.opts.Log
	opts.OnInstance = c.plat.SetInstance
	if c.opts.SoftwareVersion != nil {
		opts.SoftwareVersion = c.opts.SoftwareVersion(id)
	}
	return engined.New(opts)
}

func (c *Cluster) startEndpoints() error {
	for _, domain := range domains {
		for i := range enginesPerDomain {
			engine := c.newEngine(fmt.Sprintf("engine-%s-%d", domain, i+1))
			if err := engine.Listen(loopback); err != nil {
				return err
			}
			c.engines = append(c.engines, engine)
			c.plat.AddEndpoint(engine.Endpoint(domain, platformd.KindSteady), nil)
		}
		orderService := orderd.New(orderd.Options{Clock: c.opts.Clock, Log: c.opts.Log})
		if err := orderService.Listen(loopback); err != nil {
			return err
		}
		c.orders = append(c.orders, orderService)
		c.plat.AddEndpoint(endpoint.Endpoint{
			ID: "desk-" + domain, Instance: "desk-" + domain + "-1", Address: orderService.Address(), Domain: domain,
			Kind: platformd.KindSteady, Service: serviceName, State: endpoint.StateLive,
		}, nil)
	}
	return nil
}

// exampleDeclarations returns the example declarations, with one key whose
// SHA-256 is hash.
func exampleDeclarations(team string, hash string) declaration.Document {
	return declaration.Document{
		Teams: []declaration.Team{{Name: team}, {Name: "mill-river-toffee"}},
		Keys:  []declaration.Key{{Name: team + "-1", Team: team, SHA256: hash}},
		Classes: []declaration.Class{
			{Name: "interactive", FirstToken: declaration.Duration(1600 * time.Millisecond), BetweenTokens: declaration.Duration(44 * time.Millisecond), Share: 0.95},
			{Name: "order", Completion: declaration.Duration(10 * time.Second), Share: 0.99},
		},
		Models:   []declaration.Model{{Name: model, Version: modelVersion}},
		Services: []declaration.Service{{Name: serviceName}},
		Routes: []declaration.Route{
			{Name: "tasting-notes", Kind: declaration.RouteModel, Model: model, Class: "interactive", Repeatable: true},
			{Name: "order-desk", Kind: declaration.RouteService, Service: serviceName, Path: orderd.DefaultPrefix, Class: "order"},
		},
		EndpointKinds: []declaration.EndpointKind{
			{Name: platformd.KindSteady, HourlyCost: 10},
			{Name: platformd.KindSpot, Reclaimable: true, HourlyCost: 4},
		},
	}
}

func newKey() (key, hash string) {
	raw := make([]byte, 24)
	_, _ = rand.Read(raw)
	key = "cs-" + hex.EncodeToString(raw)
	sum := sha256.Sum256([]byte(key))
	return key, hex.EncodeToString(sum[:])
}

// applyDeclarations writes the example declarations to the log, as an operator
// would.
func (c *Cluster) applyDeclarations(ctx context.Context) error {
	key, hash := newKey()
	c.Key = key
	operator := configstore.NewOperator(c.LogClient(), c.opts.Clock, uuid.NewString)
	declared := exampleDeclarations(c.Team, hash)
	c.DeclarationsFile = filepath.Join(c.dir, "declarations.json")
	if err := writeJSON(c.DeclarationsFile, declared); err != nil {
		return err
	}
	difference := declaration.Diff(declaration.Document{}, declared)
	verdict, err := operator.Propose(ctx, configstore.NewChange(uuid.NewString(), "dev", configstore.NoVersion, difference))
	if err != nil {
		return errors.Wrap(err, "apply the example declarations")
	}
	if !verdict.Accepted {
		return errors.Errorf("example declarations were refused: %s", verdict.Text())
	}
	return nil
}

// writeJSON writes v to file in the format that the operators' commands read.
func writeJSON(file string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode "+file)
	}
	return errors.Wrap(os.WriteFile(file, append(data, '\n'), 0o600), "write document")
}

// LogServiceAddress returns the address of the log service, as host:port.
func (c *Cluster) LogServiceAddress() string { return c.log.Address() }

// PlatformAddress returns the address of the host list and of the platform's
// other interfaces, as host:port.
func (c *Cluster) PlatformAddress() string { return c.plat.Address() }

// Environment returns the variables, as NAME=value, that the operators' commands
// and the examples in the documentation need to reach the deployment.
func (c *Cluster) Environment() []string {
	return []string{
		"CLEMENTINESHED_LOG_SERVICE=" + c.LogServiceAddress(),
		"CLEMENTINESHED_HOST_LIST=" + c.PlatformAddress(),
		"CLEMENTINESHED_CALLERS=" + c.CallersAddresses()[0],
		"CLEMENTINESHED_OPERATORS=" + c.OperatorsAddresses()[0],
		"CLEMENTINESHED_KEY=" + c.Key,
		"CLEMENTINESHED_DECLARATIONS=" + c.DeclarationsFile,
		"CLEMENTINESHED_SETTINGS=" + c.SettingsFile,
	}
}

// LogClient returns a client of the cluster's log service.
func (c *Cluster) LogClient() logservice.Client {
	return logservice.NewHTTPClient(jsonhttp.New(c.log.Address(), jsonhttp.Options{}))
}

func (c *Cluster) startHosts() error {
	ca, err := tlsconfig.NewDevCA(c.opts.Clock.Now())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	unstarted, err := c.hostSettings(ca, "entry-"+domains[0]+"-2", domains[0])
	if err != nil {
		return err
	}
	c.SettingsFile = filepath.Join(c.dir, "settings.json")
	if err := writeJSON(c.SettingsFile, unstarted); err != nil {
		return err
	}
	for i, domain := range domains {
		s, err := c.hostSettings(ca, "entry-"+domain, domain)
		if err != nil {
			return err
		}
		host, err := entryhost.New(entryhost.Options{
			Settings: s, Log: c.opts.Log.WithField("host", s.Host.Name), Clock: c.opts.Clock, Seed: c.opts.Seed + int64(i), Roles: c.opts.Roles,
			TLSPollInterval: tlsPollInterval,
		})
		if err != nil {
			return err
		}
		c.hosts = append(c.hosts, host)
		c.plat.SetHost(endpointapi.Host{
			Name: s.Host.Name, Instance: s.Host.Instance, Domain: domain, PeerAddress: s.Listen.Peers,
			OperatorAddress: host.OperatorsAddress(), State: endpointapi.HostLive,
		})
		c.running.Add(1)
		go func() {
			defer c.running.Done()
			if err := host.Run(ctx); err != nil {
				c.opts.Log.WithError(err).Error("entry host failed")
			}
		}()
	}
	return nil
}

func (c *Cluster) hostSettings(ca *tlsconfig.DevCA, name, domain string) (settings.Settings, error) {
	files, err := ca.WriteFiles(c.dir, name, net.IPv4(127, 0, 0, 1))
	if err != nil {
		return settings.Settings{}, err
	}
	peerAddress, err := freeport.Address()
	if err != nil {
		return settings.Settings{}, err
	}
	s := settings.Defaults()
	s.Host = settings.Host{Name: name, Instance: name + "-i1", Domain: domain, Domains: domains}
	s.Listen = settings.Listen{Callers: loopback, Operators: loopback, Peers: peerAddress}
	s.Platform.LogService = []string{c.log.Address()}
	s.Platform.Endpoints = c.plat.Address()
	s.Platform.Usage = c.plat.Address()
	s.Platform.HostList = c.plat.Address()
	s.Platform.WeightStore = c.plat.Address()
	s.TLS.Peers = settings.Link{Certificate: files.Cert, Key: files.Key, CA: files.CA}
	if c.opts.TLS {
		s.TLS.Callers = settings.Link{Certificate: files.Cert, Key: files.Key}
		s.TLS.Operators = s.TLS.Peers
	}
	s.Limits.BalancerDelay = 0
	if c.opts.Settings != nil {
		c.opts.Settings(&s)
	}
	return s, nil
}

// waitReady waits until every host is on the lagging host list and ready.
func (c *Cluster) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := c.waitListed(ctx); err != nil {
		return err
	}
	for _, host := range c.hosts {
		for {
			status := host.Status()
			if status.Ready {
				break
			}
			select {
			case <-ctx.Done():
				return errors.Errorf("host %s is not ready: %v", host.OperatorsAddress(), status.NotReady)
			case <-time.After(50 * time.Millisecond):
			}
		}
	}
	return nil
}

// waitListed waits until the host list shows every host. Before that, the
// operators' commands find no host.
func (c *Cluster) waitListed(ctx context.Context) error {
	list := endpointapi.NewHostList(jsonhttp.New(c.plat.Address(), jsonhttp.Options{}), c.opts.Clock)
	for {
		answer, err := list.Read(ctx)
		if err == nil && len(answer.Value.Hosts) == len(c.hosts) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Errorf("the host list shows %d of %d hosts: %v", len(answer.Value.Hosts), len(c.hosts), err)
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// CallersAddresses returns the address of each entry host's listener for
// callers, in the order of the failure domains.
func (c *Cluster) CallersAddresses() []string {
	var addresses []string
	for _, h := range c.hosts {
		addresses = append(addresses, h.CallersAddress())
	}
	return addresses
}

// OperatorsAddresses returns the address of each entry host's listener for
// operators, in the order of the failure domains.
func (c *Cluster) OperatorsAddresses() []string {
	var addresses []string
	for _, h := range c.hosts {
		addresses = append(addresses, h.OperatorsAddress())
	}
	return addresses
}

// Close stops the hosts gracefully, then the stand-ins, and removes the
// deployment's files.
func (c *Cluster) Close() {
	if c.cancel != nil {
		c.cancel()
	}
	c.running.Wait()
	for _, e := range c.engines {
		_ = e.Close()
	}
	for _, o := range c.orders {
		_ = o.Close()
	}
	if c.plat != nil {
		_ = c.plat.Close()
	}
	if c.log != nil {
		_ = c.log.Close()
	}
	if c.dir != "" {
		_ = os.RemoveAll(c.dir)
	}
}
