package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/clementineshed/clementineshed/pkg/strictjson"
)

// Allowed ranges of settings.
const (
	minTimeout   = 100 * time.Millisecond
	maxTimeout   = 5 * time.Minute
	minLeaseTime = time.Second
	maxLeaseTime = time.Minute
	// The deduplication period is half of the retention and must be several
	// times the send limit of order requests.
	minRetention = time.Minute
	maxRetention = 30 * 24 * time.Hour
	// A usage window must be longer than the flush interval, or its counts arrive
	// late.
	minUsageWindow = 4 * time.Second
	maxUsageWindow = time.Hour
	minHeaderBytes = 1 << 10
	maxHeaderBytes = 1 << 20
	minBodyBytes   = 1 << 10
	maxBodyBytes   = 1 << 30
	maxConnections = 1_000_000
	// The process itself takes some 50 MB.
	minMemory = 128 << 20
	maxMemory = 1 << 40
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)

type validator struct {
	file     string
	origins  strictjson.Origins
	reported map[string]bool
	errs     strictjson.Errors
}

func (v *validator) addError(path, found, allowed string) {
	if v.reported[path] {
		return
	}
	line := v.line(path)
	v.errs = append(v.errs, strictjson.Error{File: v.file, Line: line, Path: path, Found: found, Allowed: allowed})
}

// line returns the line of path or, if path is absent, of its nearest parent.
func (v *validator) line(path string) int {
	for {
		if line, ok := v.origins[path]; ok {
			return line
		}
		i := strings.LastIndexByte(path, '.')
		if i < 0 {
			return v.origins[""]
		}
		path = path[:i]
	}
}

func (v *validator) settings(s Settings) {
	v.host(s.Host)
	v.listen(s.Listen)
	v.platform(s.Platform)
	v.tls(s.TLS)
	v.limits(s.Limits)
	v.duration("authority.lease_time", s.Authority.LeaseTime, minLeaseTime, maxLeaseTime)
	v.duration("authority.usage_window", s.Authority.UsageWindow, minUsageWindow, maxUsageWindow)
	v.duration("authority.margin", s.Authority.Margin, minTimeout, maxLeaseTime)
	levels := []string{"debug", "info", "warn", "error"}
	if !slices.Contains(levels, s.Log.Level) {
		v.addError("log.level", strconv.Quote(s.Log.Level), strings.Join(levels, ", "))
	}
}

func (v *validator) host(h Host) {
	v.name("host.name", h.Name)
	v.name("host.instance", h.Instance)
	v.name("host.domain", h.Domain)
	seen := map[string]bool{}
	for i, domain := range h.Domains {
		path := fmt.Sprintf("host.domains[%d]", i)
		v.name(path, domain)
		if seen[domain] {
			v.addError(path, "duplicate domain "+strconv.Quote(domain), "each domain once")
		}
		seen[domain] = true
	}
	if !seen[h.Domain] {
		v.addError("host.domains", strconv.Quote(strings.Join(h.Domains, ", ")), "all failure domains, with the host's own")
	}
}

func (v *validator) name(path, name string) {
	if !namePattern.MatchString(name) {
		v.addError(path, strconv.Quote(name), "1 to 64 letters, digits and . _ -, beginning with a letter or digit")
	}
}

func (v *validator) listen(l Listen) {
	v.address("listen.callers", l.Callers)
	v.address("listen.operators", l.Operators)
	v.address("listen.peers", l.Peers)
	// The peer address is UDP, so only the two TCP addresses can collide.
	if l.Callers != "" && l.Callers == l.Operators && !strings.HasSuffix(l.Callers, ":0") {
		v.addError("listen.operators", strconv.Quote(l.Operators), "an address other than listen.callers")
	}
}

func (v *validator) platform(p Platform) {
	if len(p.LogService) == 0 {
		v.addError("platform.log_service", "no address", "one or more IP:port")
	}
	for i, address := range p.LogService {
		v.address(fmt.Sprintf("platform.log_service[%d]", i), address)
	}
	v.address("platform.endpoints", p.Endpoints)
	v.address("platform.usage", p.Usage)
	v.address("platform.host_list", p.HostList)
	v.address("platform.weight_store", p.WeightStore)
	v.duration("platform.timeout", p.Timeout, minTimeout, maxTimeout)
	v.duration("platform.log_retention", p.LogRetention, minRetention, maxRetention)
}

func (v *validator) address(path, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		v.addError(path, strconv.Quote(address), `IP:port, such as "192.0.2.1:8080" or "[2001:db8::1]:8080"`)
	}
}

func (v *validator) tls(t TLS) {
	v.link("tls.callers", t.Callers)
	v.link("tls.operators", t.Operators)
	v.link("tls.peers", t.Peers)
	v.link("tls.platform", t.Platform)
	v.link("tls.endpoints", t.Endpoints)
	v.mutual("tls.operators", t.Operators)
	v.mutual("tls.platform", t.Platform)
	v.mutual("tls.endpoints", t.Endpoints)
	if t.Peers.Certificate == "" {
		v.addError("tls.peers.certificate", "no file name", "a file name; links between entry hosts use mutual TLS")
	}
	if t.Peers.CA == "" {
		v.addError("tls.peers.ca", "no file name", "a file name; links between entry hosts use mutual TLS")
	}
}

func (v *validator) link(path string, l Link) {
	if l.Certificate != "" && l.Key == "" {
		v.addError(path+".key", "no file name", "the key of the certificate")
	}
	if l.Certificate == "" && l.Key != "" {
		v.addError(path+".certificate", "no file name", "the certificate of the key")
	}
}

// mutual requires both sides of a link to authenticate with certificates. It
// does not apply to callers, who authenticate with keys.
func (v *validator) mutual(path string, l Link) {
	if l.Certificate != "" && l.CA == "" {
		v.addError(path+".ca", "no file name", "the certificates that the other side is checked against")
	}
	if l.CA != "" && l.Certificate == "" {
		v.addError(path+".certificate", "no file name", "the certificate that this host presents to the other side")
	}
}

func (v *validator) limits(l Limits) {
	v.bytes("limits.header_bytes", l.HeaderBytes, minHeaderBytes, maxHeaderBytes)
	v.bytes("limits.body_bytes", l.BodyBytes, minBodyBytes, maxBodyBytes)
	v.bytes("limits.memory", l.Memory, minMemory, maxMemory)
	v.duration("limits.read_progress", l.ReadProgress, minTimeout, maxTimeout)
	v.duration("limits.write_progress", l.WriteProgress, minTimeout, maxTimeout)
	v.duration("limits.balancer_delay", l.BalancerDelay, 0, maxTimeout)
	if l.Connections < 1 || l.Connections > maxConnections {
		v.addError("limits.connections", strconv.Itoa(l.Connections), fmt.Sprintf("1 to %d", maxConnections))
	}
}

func (v *validator) duration(path string, d Duration, low, high time.Duration) {
	if d.Std() < low || d.Std() > high {
		v.addError(path, strconv.Quote(d.String()), fmt.Sprintf("%q to %q", low, high))
	}
}

func (v *validator) bytes(path string, b, low, high Bytes) {
	if b < low || b > high {
		v.addError(path, strconv.Quote(b.String()), fmt.Sprintf("%q to %q", low, high))
	}
}
