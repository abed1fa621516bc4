package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// host is an entry host: a process of the project with the command of the deploy file.
type host struct {
	name, callers, ready string
	cmd                  *exec.Cmd
	ended                chan struct{}
}

// deployment is the stand-ins and the processes of one run.
type deployment struct {
	dir     string
	store   *store
	cloud   string
	hosts   []*host
	version int
	routes  []map[string]any
	runners map[string][]*runner
	// zones of the runners by their id; "east" if not set.
	zones map[string]string
	done  chan struct{}
	// limits are those of the configuration.
	limits map[string]any
	engine map[string]any
}

const (
	key  = "key-of-hule930"
	team = "hule930"
)

func newDeployment() *deployment {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fail("temporary folder: %v", err)
	}
	return &deployment{dir: dir, store: newStore(), cloud: newCloud(), runners: map[string][]*runner{}, zones: map[string]string{}, done: make(chan struct{}),
		limits: map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4 << 20, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000}}
}

// route adds a route to the configuration.
func (d *deployment) route(prefix, kind, service string, timeoutMs, attempts int, resumable bool) {
	d.routes = append(d.routes, map[string]any{"name": "r" + strings.Trim(prefix, "/"), "host": "ficu95.example", "pathPrefix": prefix, "kind": kind, "service": service,
		"timeoutMs": timeoutMs, "targetLatencyMs": 500, "gapAimMs": 300, "priority": 1, "maxAttempts": attempts, "public": false, "resumable": resumable})
}

func (d *deployment) configure() {
	d.version++
	services := []map[string]any{}
	for name, list := range d.runners {
		s := map[string]any{"name": name, "healthPath": "/healthz", "maxConnections": 360}
		if list[0].stage != "" {
			s["engine"] = map[string]any{"slotCount": 16, "kvCapacityTokens": 200000, "kvTokenBytes": 1000, "linkMbps": 100000.0, "handleTtlS": 5.0, "switchS": 3.0}
		}
		services = append(services, s)
	}
	d.store.put("keyed.op", "config", map[string]any{"version": d.version, "routes": d.routes, "services": services,
		"tenants": []map[string]any{{"name": team, "apiKeys": []string{key}}}, "limits": d.limits})
}

// announce announces all runners once a heartbeat.
func (d *deployment) announce() {
	once := func() {
		for service, list := range d.runners {
			for _, r := range list {
				r.mu.Lock()
				down := r.down
				r.mu.Unlock()
				if !down {
					zone := d.zones[r.id]
					if zone == "" {
						zone = "east"
					}
					d.store.put("keyed.servers", r.id, r.announcement(service, zone))
				}
			}
		}
	}
	once()
	go func() {
		for {
			select {
			case <-d.done:
				return
			case <-time.After(1200 * time.Millisecond):
				once()
			}
		}
	}()
}

func freePort() int {
	l := listen()
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

// start starts an entry host and waits until it is ready.
func (d *deployment) start(name, zone string) *host {
	return d.startWith(name, zone, d.store.address())
}

// startWith starts an entry host that reaches the store at another address.
func (d *deployment) startWith(name, zone, storeAddress string) *host {
	h := &host{name: name, callers: fmt.Sprintf("127.0.0.1:%d", freePort()), ready: fmt.Sprintf("127.0.0.1:%d", freePort())}
	peer := freePort()
	settings := fmt.Sprintf(`node=%s
role=entry
machineClass=front
serves=front
bindIp=127.0.0.1
zone=%s
region=new-england
listenAddrs.frontAddr=%s
listenAddrs.readyAddr=%s
internalPorts=%d,%d
bootstrap=false
limits.cpuShare=0.4
limits.memoryMb=284
limits.maxFds=4100
limits.linkMbps=1000.0
heartbeatMs=1200
contracts=base,drain,config,cost,retry,recover,split,stream,engine,tenants,leader,platform
bounds.contactMs=3000
bounds.drainMs=2000
bounds.graceS=8
bounds.configMs=2000
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.retrySlack=52
bounds.requireFencing=true
bounds.leaseMs=3000
bounds.windowS=5
bounds.usageLateS=10
platform.address=%s
platform.form=log
platform.callBytes=2097152
cloud.address=%s
cloud.duties=usage_report,autoscale
cloud.dutyPerS=50.0
`, name, zone, h.callers, h.ready, peer, peer+1, storeAddress, d.cloud)
	path := filepath.Join(d.dir, name+".conf")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		fail("settings: %v", err)
	}
	log, err := os.Create(filepath.Join(d.dir, name+".log"))
	if err != nil {
		fail("log: %v", err)
	}
	// The command of deploy/system.toml, with a free port for the metrics.
	h.cmd = exec.Command("target/clementineshed-relay", "--metrics-port", fmt.Sprint(freePort()))
	h.cmd.Env = append(os.Environ(), "CLEMENTINESHED_BOOT="+path)
	h.cmd.Stdout, h.cmd.Stderr = log, log
	if err := h.cmd.Start(); err != nil {
		fail("start host: %v", err)
	}
	h.ended = make(chan struct{})
	go func() {
		_ = h.cmd.Wait()
		close(h.ended)
	}()
	d.hosts = append(d.hosts, h)
	for until := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if resp, err := http.Get("http://" + h.ready + "/readyz"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == 200 {
				return h
			}
		}
		if time.Now().After(until) {
			d.stop()
			fail("%s is not ready", name)
		}
	}
}

func (h *host) running() bool {
	select {
	case <-h.ended:
		return false
	default:
		return true
	}
}

// stop ends the processes of the run.
func (d *deployment) stop() {
	close(d.done)
	for _, h := range d.hosts {
		_ = h.cmd.Process.Signal(syscall.SIGCONT)
		_ = h.cmd.Process.Kill()
		<-h.ended
	}
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs in", d.dir)
	}
}
