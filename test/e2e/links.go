package e2e

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"sync"

	"github.com/clementineshed/clementineshed/pkg/endpointapi"
	"github.com/clementineshed/clementineshed/pkg/standin/faultproxy"
)

// Link is one direction of contact: a fault proxy between one party that opens
// connections and one address.
type Link interface {
	faultproxy.Proxy
	Address() string
	Close() error
}

// Outside is the domain of the platform and the operators in a link.
const Outside = ""

// linkKey identifies a link.
type linkKey struct{ from, target string }

// end is one end of a link: a name and its failure domain.
type end struct{ name, domain string }

// links creates and switches the proxies of a deployment. It is safe for
// concurrent use.
type links struct {
	// between, if set, returns the address of a spy before a peer.
	between func(from, to, target string) string

	mu sync.Mutex
	// The fields below are guarded by mu.
	open    map[linkKey]Link
	domains map[linkKey][2]string
	cut     map[string]bool
}

func newLinks() *links {
	return &links{open: map[linkKey]Link{}, domains: map[linkKey][2]string{}, cut: map[string]bool{}}
}

// link returns the proxy through which from reaches target, an address of
// to; it is created at the first call.
func (l *links) link(network string, from, to end, target string) Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := linkKey{from.name, target}
	if link, ok := l.open[key]; ok {
		return link
	}
	var link Link
	var err error
	if network == "udp" {
		link, err = faultproxy.ListenUDP("127.0.0.1:0", target)
	} else {
		link, err = faultproxy.ListenTCP("127.0.0.1:0", target)
	}
	if err != nil {
		panic("fault proxy: " + err.Error())
	}
	l.open[key] = link
	l.domains[key] = [2]string{from.domain, to.domain}
	link.SetFaults(l.faults(key))
	return link
}

// faults returns what the partition means for a link.
func (l *links) faults(key linkKey) faultproxy.Faults {
	d := l.domains[key]
	return faultproxy.Faults{Cut: d[0] != d[1] && (l.cut[d[0]] || l.cut[d[1]])}
}

func (l *links) setCut(domain string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[domain] = cut
	for key, link := range l.open {
		link.SetFaults(l.faults(key))
	}
}

func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, link := range l.open {
		_ = link.Close()
	}
}

// platformView serves the platform's interfaces to one host, with the addresses
// of other hosts and endpoints replaced by links of that host.
func (l *links) platformView(from end, target string) *httptest.Server {
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: target})
	mux := http.NewServeMux()
	mux.Handle("/", proxy)
	mux.HandleFunc("GET "+endpointapi.PathHosts, func(w http.ResponseWriter, _ *http.Request) {
		var answer endpointapi.HostsAnswer
		forward(w, target, endpointapi.PathHosts, &answer, func() {
			for i, h := range answer.Hosts {
				if h.PeerAddress != "" && h.Name != from.name {
					target := h.PeerAddress
					if l.between != nil {
						target = l.between(from.name, h.Name, target)
					}
					answer.Hosts[i].PeerAddress = l.link("udp", from, end{h.Name, h.Domain}, target).Address()
				}
			}
		})
	})
	mux.HandleFunc("GET "+endpointapi.PathEndpoints, func(w http.ResponseWriter, _ *http.Request) {
		var answer endpointapi.EndpointsAnswer
		forward(w, target, endpointapi.PathEndpoints, &answer, func() {
			for i, e := range answer.Endpoints {
				if e.Address != "" {
					answer.Endpoints[i].Address = l.link("tcp", from, end{e.ID, e.Domain}, e.Address).Address()
				}
			}
		})
	})
	server := httptest.NewUnstartedServer(mux)
	transports := perConnection{}
	proxy.Transport = &transports
	server.Config.ConnContext = transports.opened
	server.Config.ConnState = transports.changed
	server.Start()
	return server
}

// perConnection gives every connection to a platformView a connection of its
// own to the platform that ends with it: the platform reports the holders of
// its open connections.
type perConnection struct{ transports sync.Map }

type connectionKey struct{}

func (p *perConnection) opened(ctx context.Context, c net.Conn) context.Context {
	transport := &http.Transport{MaxConnsPerHost: 1}
	p.transports.Store(c, transport)
	return context.WithValue(ctx, connectionKey{}, transport)
}

func (p *perConnection) changed(c net.Conn, state http.ConnState) {
	if transport, ok := p.transports.Load(c); ok && state == http.StateClosed {
		transport.(*http.Transport).CloseIdleConnections()
		p.transports.Delete(c)
	}
}

// RoundTrip implements http.RoundTripper.
func (p *perConnection) RoundTrip(r *http.Request) (*http.Response, error) {
	return r.Context().Value(connectionKey{}).(*http.Transport).RoundTrip(r)
}

// forward answers with the target's answer after change has been made to it.
func forward(w http.ResponseWriter, target, path string, answer any, change func()) {
	resp, err := http.Get("http://" + target + path)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(answer) == nil {
		change()
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(resp.StatusCode)
	_ = json.NewEncoder(w).Encode(answer)
}
