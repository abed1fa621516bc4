//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	callerHost = "ficu95.example"
	apiKey     = "3fexd9dnn2ctnfzs989a"
	tenant     = "hule930"
	heartbeat  = 1200 * time.Millisecond
	contact    = 3 * time.Second
	drain      = 2 * time.Second
)

var zones = []string{"providence", "worcester", "nashua", "hartford"}

// deployment is a small deployment: entry hosts as processes of their own, and stand-ins of
// the platform and of the runners in this process, all on loopback addresses.
type deployment struct {
	dir     string
	binary  string
	store   *store
	cloud   *cloud
	hosts   []*host
	nextIP  int
	nextID  atomic.Int64
	version int64

	mu      sync.Mutex
	runners []*runner
	// silent runners write no entries.
	silent map[*runner]bool
}

// host is one entry host.
type host struct {
	name, ip, front, ready string
	settings               string
	cmd                    *exec.Cmd
	exited                 chan struct{}
}

func newDeployment() *deployment {
	dir, err := os.MkdirTemp("", "review-")
	check(err)
	binary, err := filepath.Abs("target/clementineshed-relay")
	check(err)
	d := &deployment{dir: dir, binary: binary, nextIP: 10, silent: map[*runner]bool{}}
	d.store, d.cloud = newStore("127.0.0.1"), newCloud("127.0.0.1")
	return d
}

func (d *deployment) close() {
	for _, h := range d.hosts {
		h.kill()
	}
	_ = os.RemoveAll(d.dir)
}

// ip returns a loopback address that nothing else of this run uses.
func (d *deployment) ip() string {
	d.nextIP++
	return fmt.Sprintf("127.73.%d.%d", os.Getpid()%200+1, d.nextIP)
}

// route describes a route of the configuration.
func route(name, kind, service string, attempts, timeoutMs, targetMs int) map[string]any {
	return map[string]any{"name": name, "host": callerHost, "pathPrefix": "/" + name + "/", "kind": kind, "timeoutMs": timeoutMs, "targetLatencyMs": targetMs,
		"gapAimMs": 200, "priority": 1, "service": service, "maxAttempts": attempts, "public": false, "sticky": kind == "stream"}
}

func standardRoutes() []any {
	return []any{route("order", "unsafe", "order-desk", 2, 1000, 150), route("lookup", "safe", "order-desk", 2, 1000, 150), route("draft", "stream", "llm", 1, 8000, 600)}
}

// configure writes the operator's configuration. plain are further plain services.
func (d *deployment) configure(routes []any, limits map[string]any, plain ...string) {
	d.version++
	services := []any{
		map[string]any{"name": "llm", "healthPath": "/healthz", "maxConnections": 360, "engine": map[string]any{"slotCount": 64, "kvCapacityTokens": 547862,
			"kvTokenBytes": 18432, "linkMbps": 370000.0, "handleTtlS": 5.0, "switchS": 2.0}},
	}
	for _, name := range append([]string{"order-desk"}, plain...) {
		services = append(services, map[string]any{"name": name, "healthPath": "/healthz", "maxConnections": 96})
	}
	if limits == nil {
		limits = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 5000, "idleTimeoutMs": 20000}
	}
	d.store.putJSON("keyed.op", "config", map[string]any{"version": d.version, "routes": routes, "limits": limits,
		"tenants":  []any{map[string]any{"name": tenant, "apiKeys": []string{apiKey}}},
		"services": services})
}

func (d *deployment) addRunner(r *runner) *runner {
	d.mu.Lock()
	d.runners = append(d.runners, r)
	d.mu.Unlock()
	d.store.putJSON("keyed.servers", r.id, r.announcement())
	go func() {
		time.Sleep(rand.N(heartbeat))
		for {
			d.mu.Lock()
			silent := d.silent[r]
			d.mu.Unlock()
			if silent {
				return
			}
			d.store.putJSON("keyed.servers", r.id, r.announcement())
			time.Sleep(heartbeat)
		}
	}()
	return r
}

// silence makes a runner write no more entries.
func (d *deployment) silence(r *runner) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent[r] = true
}

// startHosts starts the entry hosts as the deploy file does, all within 0.3 s.
func (d *deployment) startHosts(n int, extra string) {
	for i := range n {
		ip := d.ip()
		h := &host{name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i/len(zones)+1), ip: ip, front: ip + ":8368", ready: ip + ":8369"}
		text := fmt.Sprintf(`node=%s
role=entry
machineClass=front
serves=front
bindIp=%s
zone=%s
region=new-england
zones.providence=new-england
zones.worcester=new-england
zones.nashua=new-england
zones.hartford=new-england
listenAddrs.frontAddr=%s
listenAddrs.readyAddr=%s
internalPorts=7780,7795
bootstrap=true
limits.cpuShare=0.4
limits.cpuCores=1
limits.memoryMb=284
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
heartbeatMs=%d
contracts=base,drain,config,cost,retry,recover,split,stream,engine,tenants,leader,platform
tolerate.machines=2
tolerate.zones=1
bounds.seedLagS=3
bounds.reuseAfterS=2
bounds.contactMs=3000
bounds.ackMs=4000
bounds.drainMs=2000
bounds.graceS=8
bounds.lossSlackMs=200
bounds.configMs=2000
bounds.rollbackSlackMs=250
bounds.maxSkewMs=5000
bounds.retryBudgetRatio=0.2
bounds.budgetWindowS=10
bounds.retrySlack=52
bounds.requireFencing=true
bounds.leaseMs=3000
bounds.thawMs=300
bounds.windowS=5
bounds.usageOff=0.05
bounds.usageLateS=10
platform.address=%s
platform.form=log
platform.writesPerS=400
platform.readsPerS=2000
platform.callBytes=2097152
cloud.address=%s
cloud.duties=usage_report,autoscale
cloud.dutyPerS=50.0
%s`, h.name, ip, zones[i%len(zones)], h.front, h.ready, heartbeat.Milliseconds(), d.store.address(), d.cloud.listener.Addr(), extra)
		h.settings = filepath.Join(d.dir, h.name+".conf")
		check(os.WriteFile(h.settings, []byte(text), 0o600))
		d.hosts = append(d.hosts, h)
		d.launch(h)
	}
	deadline := time.Now().Add(20 * time.Second)
	for _, h := range d.hosts {
		for h.readiness() != http.StatusOK {
			if time.Now().After(deadline) {
				fail("%s isn't ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// launch starts the process of a host with the command of the deploy file.
func (d *deployment) launch(h *host) {
	h.cmd = exec.Command(d.binary, "--metrics-port", "7783")
	h.cmd.Env = []string{"CLEMENTINESHED_BOOT=" + h.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + d.dir}
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := os.OpenFile(filepath.Join(logDir(d.dir), h.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	h.cmd.Stdout, h.cmd.Stderr = out, out
	check(h.cmd.Start())
	exited, cmd := make(chan struct{}), h.cmd
	h.exited = exited
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}()
}

// logDir returns where the logs of the processes go.
func logDir(fallback string) string {
	if dir := os.Getenv("REVIEW_LOGS"); dir != "" {
		return dir
	}
	return fallback
}

func (h *host) kill() {
	_ = h.cmd.Process.Signal(syscall.SIGCONT)
	_ = h.cmd.Process.Kill()
	<-h.exited
}

func (h *host) running() bool {
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

func (h *host) readiness() int {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + h.ready + "/readyz")
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// call is one request of a client, with what the client saw.
type call struct {
	id, host, kind string
	sentAt, endAt  time.Time
	status         int
	stamp, body    string
	err            error
}

func (c call) outcome() string {
	if c.err != nil {
		return "error: " + c.err.Error()
	}
	return fmt.Sprint(c.status)
}

// send sends one request of a kind ("order", "lookup", "draft") to a host on a new connection.
func (d *deployment) send(ctx context.Context, h *host, kind string, header map[string]string) call {
	c := call{id: fmt.Sprintf("%08x%08x", rand.Uint32(), d.nextID.Add(1)), host: h.name, kind: kind, sentAt: time.Now()}
	timeout := time.Second
	if kind == "draft" {
		timeout = 8 * time.Second
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+800*time.Millisecond)
	defer cancel()
	method, body := "POST", `{"boxes":3}`
	if kind == "lookup" {
		method, body = "GET", ""
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s /%s/2f HTTP/1.1\r\nHost: %s\r\nX-Clementineshed-Attempt-Id: %s\r\nX-Clementineshed-Deadline-Ms: %d\r\nApi-Key: %s\r\n", method, kind, callerHost, c.id, timeout.Milliseconds(), apiKey)
	if kind == "draft" {
		b.WriteString("X-Clementineshed-Model: m\r\n")
		if header["X-Clementineshed-Prompt-Prefix"] == "" {
			fmt.Fprintf(&b, "X-Clementineshed-Token-Count: 460,40\r\nX-Clementineshed-Prompt-Prefix: 5c1e07a2:300,%s:160\r\n", c.id[8:])
		}
	}
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	c.finish(ctx, h, method, b.String())
	return c
}

// finish sends the request and reads the answer.
func (c *call) finish(ctx context.Context, h *host, method, request string) {
	defer func() { c.endAt = time.Now() }()
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp", h.front)
	if err != nil {
		c.err = err
		return
	}
	defer func() { _ = conn.Close() }()
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	if _, err := conn.Write([]byte(request)); err != nil {
		c.err = err
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		c.err = err
		return
	}
	c.status, c.stamp = resp.StatusCode, resp.Header.Get("X-Clementineshed-Server-Stamp")
	var text strings.Builder
	_, c.err = bufio.NewReader(resp.Body).WriteTo(&text)
	c.body = text.String()
}

// load holds calls.
type load struct {
	mu    sync.Mutex
	calls []call
	wg    sync.WaitGroup
}

func (l *load) add(c call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, c)
}

// write writes the calls to the record.
func (l *load) write(rec *record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.calls {
		rec.line("sent %s %s to %s at %.3f, ended at %.3f: %s %s", c.kind, c.id, c.host, rec.at(c.sentAt), rec.at(c.endAt), c.outcome(), c.stamp)
	}
}

// writeRuns writes what reached the runners to the record.
func (d *deployment) writeRuns(rec *record) {
	d.mu.Lock()
	runners := d.runners
	d.mu.Unlock()
	for _, r := range runners {
		for _, a := range r.seen() {
			rec.line("%s %s reached %s at %.3f, run %v, answered %v", a.stage, a.id, a.runner, rec.at(a.at), a.ran, a.done)
		}
	}
}

// run sends requests of the kinds at a rate to random hosts until ctx ends.
func (d *deployment) run(ctx context.Context, l *load, perSecond float64, kinds []string, hosts []*host) {
	l.wg.Go(func() {
		for ctx.Err() == nil {
			wait(ctx, time.Duration(rand.ExpFloat64()/perSecond*float64(time.Second)))
			h, kind := hosts[rand.IntN(len(hosts))], kinds[rand.IntN(len(kinds))]
			l.wg.Go(func() { l.add(d.send(context.Background(), h, kind, nil)) })
		}
	})
}

func listen(ip string) net.Listener {
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	return l
}
