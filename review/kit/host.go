package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// metricsPort is that of the deploy file, peerPorts the size of internalPorts.
const (
	metricsPort = 7783
	peerPorts   = 16
)

// host is an entry host: the program of the deploy file in a process of its own.
type host struct {
	name, ip, settings string
	d                  *deployment
	// maxFds is set if the platform's limit of descriptors is to be kept.
	maxFds int

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	stopped bool
	starts  int
}

func (h *host) front() string { return net.JoinHostPort(h.ip, strconv.Itoa(h.d.ports)) }

func (h *host) ready() string { return net.JoinHostPort(h.ip, strconv.Itoa(h.d.ports+1)) }

func (h *host) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return
	}
	program := []string{filepath.Join(h.d.root, "target/clementineshed-relay"), "--metrics-port", strconv.Itoa(metricsPort)}
	if h.maxFds > 0 {
		program = append([]string{"/bin/sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0" "$@"`, h.maxFds)}, program...)
	}
	cmd := exec.Command(program[0], program[1:]...)
	cmd.Dir = h.d.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + h.d.dir, "CLEMENTINESHED_BOOT=" + h.settings}
	h.starts++
	if h.starts == 2 {
		// Only the first start of the whole system is a bootstrap.
		text, err := os.ReadFile(h.settings)
		if err != nil {
			fatal(err)
		}
		if err := os.WriteFile(h.settings, []byte(strings.Replace(string(text), "bootstrap=true", "bootstrap=false", 1)), 0o600); err != nil {
			fatal(err)
		}
	}
	log, err := os.Create(filepath.Join(h.d.dir, fmt.Sprintf("%s-%d.log", h.name, h.starts)))
	if err != nil {
		fatal(err)
	}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		fatal(err)
	}
	done := make(chan struct{})
	h.cmd, h.done = cmd, done
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
}

// hasEnded reports whether the process has ended.
func (h *host) hasEnded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.done:
		return true
	default:
		return false
	}
}

func (h *host) pid() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cmd.Process.Pid
}

func (h *host) signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.cmd.Process.Signal(s)
}

// kill ends the process for good.
func (h *host) kill() {
	h.mu.Lock()
	h.stopped = true
	cmd, done := h.cmd, h.done
	h.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	<-done
}

// residentMB returns the memory that the process holds.
func (h *host) residentMB() float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", h.pid()))
	fields := strings.Fields(string(data))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return float64(pages) * float64(os.Getpagesize()) / (1 << 20)
}

// logs returns the lines of the host's logs that contain a text.
func (h *host) logs(text string) []string {
	var found []string
	for n := 1; n <= h.starts; n++ {
		data, _ := os.ReadFile(filepath.Join(h.d.dir, fmt.Sprintf("%s-%d.log", h.name, n)))
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, text) {
				found = append(found, strings.TrimSpace(line))
			}
		}
	}
	return found
}

// isReady asks the host as the platform does.
func (h *host) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + h.ready() + "/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// deployment is a small deployment on loopback addresses.
type deployment struct {
	root, dir string
	rec       *record
	store     *store
	platform  *http.Server
	storeAddr string
	cloudAddr string
	// network is the first three bytes of the hosts' addresses, ports the first of the
	// ports that all hosts use.
	network string
	ports   int
	hosts   []*host
	runners []*runner
	stop    chan struct{}
	ended   sync.Once
}

func newDeployment(root, dir string, rec *record) *deployment {
	d := &deployment{root: root, dir: dir, rec: rec, store: newStore(), stop: make(chan struct{})}
	d.findAddresses()
	d.storeAddr = serve(d.store)
	// The platform's API accepts all calls.
	d.cloudAddr = serve(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	return d
}

// findAddresses chooses loopback addresses and ports that nobody uses.
func (d *deployment) findAddresses() {
	for range 100 {
		d.network, d.ports = fmt.Sprintf("127.%d.%d", 64+rand.N(128), rand.N(256)), 20000+rand.N(10000)
		free := true
		for i := 1; i <= 8 && free; i++ {
			for _, port := range []int{d.ports, d.ports + 1, metricsPort} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", d.network, i, port))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return
		}
	}
	fatal(errors.New("no free loopback addresses"))
}

func serve(h http.Handler) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal(err)
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String()
}

// configure writes the configuration.
func (d *deployment) configure(version int) {
	route := func(name, prefix, kind, service string, attempts int, resumable bool) map[string]any {
		timeoutMs := 8000
		if name == "lookup" {
			timeoutMs = 1000
		}
		return map[string]any{"name": name, "host": "shop.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": timeoutMs, "targetLatencyMs": 500,
			"gapAimMs": 200, "priority": 1, "service": service, "maxAttempts": attempts, "public": false, "resumable": resumable, "sticky": service == "llm"}
	}
	d.store.put("keyed.op", "config", map[string]any{
		"version": version,
		"routes": []any{route("chat", "/chat/", "stream", "llm", 1, false), route("order", "/order/", "unsafe", "desk", 1, false),
			route("lookup", "/lookup/", "safe", "desk", 2, false)},
		"tenants": []any{map[string]any{"name": "acme", "apiKeys": []string{"key-1"}}},
		"services": []any{
			map[string]any{"name": "llm", "healthPath": "/healthz", "maxConnections": 360, "engine": map[string]any{
				"slotCount": 64, "kvCapacityTokens": 547862, "kvTokenBytes": 18432, "linkMbps": 370000.0, "handleTtlS": 5.0, "switchS": 3.0}},
			map[string]any{"name": "desk", "healthPath": "/healthz", "maxConnections": 6000},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
}

func (d *deployment) addHost(i int, zone string, maxFds int) *host {
	h := &host{name: fmt.Sprintf("front-%s-%d", zone, i), ip: fmt.Sprintf("%s.%d", d.network, i), d: d, maxFds: maxFds}
	h.settings = filepath.Join(d.dir, h.name+".conf")
	text := fmt.Sprintf(`node=%s
role=entry
machineClass=front
serves=front
bindIp=%s
zone=%s
region=new-england
listenAddrs.frontAddr=%s
listenAddrs.readyAddr=%s
internalPorts=%d,%d
bootstrap=true
limits.cpuShare=0.4
limits.cpuCores=1
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
platform.writesPerS=400
platform.readsPerS=2000
platform.callBytes=2097152
cloud.address=%s
cloud.duties=usage_report
cloud.dutyPerS=50.0
`, h.name, h.ip, zone, h.front(), h.ready(), d.ports+2, d.ports+1+peerPorts, d.storeAddr, d.cloudAddr)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		fatal(err)
	}
	d.hosts = append(d.hosts, h)
	return h
}

// run starts the hosts and announces the runners each heartbeat.
func (d *deployment) run() {
	d.configure(3)
	for _, r := range d.runners {
		r.announce(d.store)
	}
	go func() {
		for {
			select {
			case <-d.stop:
				return
			case <-time.After(1200 * time.Millisecond):
			}
			for _, r := range d.runners {
				r.announce(d.store)
			}
		}
	}()
	for _, h := range d.hosts {
		h.start()
	}
	until := time.Now().Add(20 * time.Second)
	for _, h := range d.hosts {
		for !h.isReady() {
			if time.Now().After(until) || h.hasEnded() {
				d.rec.say("%s is not ready: the case can't run", h.name)
				d.end()
				os.Exit(2)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	d.rec.line("all hosts are ready")
}

// end stops all that the deployment started.
func (d *deployment) end() {
	d.ended.Do(func() {
		close(d.stop)
		for _, h := range d.hosts {
			h.kill()
		}
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(d.dir)
		}
	})
}

func fatal(err error) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(2)
}
