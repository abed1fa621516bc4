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

// Link is a fault proxy for the connections that one party opens to one address.
type Link interface {
	faultproxy.Proxy
	Address() string
	Close() error
}

// OutsideDomain is the domain of the platform and the operators.
const OutsideDomain = ""

// linkKey identifies a link by the connecting party and the address it reaches.
type linkKey struct{ from, target string }

// linkEnd is one end of a link, with the failure domain that it is in.
type linkEnd struct{ name, domain string }

// links creates the proxies of a deployment and partitions them. It is safe for
// concurrent use.
type links struct {
	// relayAddress, if set, returns the address of a recording relay to target.
	relayAddress func(from, to, target string) string

	mu sync.Mutex
	// The fields below are guarded by mu.
	proxies     map[linkKey]Link
	domains     map[linkKey][2]string
	partitioned map[string]bool
}

func newLinks() *links {
	return &links{proxies: map[linkKey]Link{}, domains: map[linkKey][2]string{}, partitioned: map[string]bool{}}
}

// link returns the proxy through which from reaches target, an address of to. It
// creates the proxy at the first call.
func (l *links) link(network string, from, to linkEnd, target string) Link {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := linkKey{from.name, target}
	if link, ok := l.proxies[key]; ok {
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
	l.proxies[key] = link
	l.domains[key] = [2]string{from.domain, to.domain}
	link.SetFaults(l.partitionFaults(key))
	return link
}

// partitionFaults returns the faults that the present partitions put on a link.
func (l *links) partitionFaults(key linkKey) faultproxy.Faults {
	d := l.domains[key]
	return faultproxy.Faults{Cut: d[0] != d[1] && (l.partitioned[d[0]] || l.partitioned[d[1]])}
}

func (l *links) setPartitioned(domain string, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partitioned[domain] = cut
	for key, link := range l.proxies {
		link.SetFaults(l.partitionFaults(key))
	}
}

func (l *links) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, link := range l.proxies {
		_ = link.Close()
	}
}

// platformView serves the platform's interfaces to one host. It replaces the
// addresses of other hosts and of endpoints by links of that host.
func (l *links) platformView(from linkEnd, target string) *httptest.Server {
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: target})
	mux := http.NewServeMux()
	mux.Handle("/", proxy)
	mux.HandleFunc("GET "+endpointapi.PathHosts, func(w http.ResponseWriter, _ *http.Request) {
		var answer endpointapi.HostsAnswer
		forwardEdited(w, target, endpointapi.PathHosts, &answer, func() {
			for i, h := range answer.Hosts {
				if h.PeerAddress != "" && h.Name != from.name {
					target := h.PeerAddress
					if l.relayAddress != nil {
						target = l.relayAddress(from.name, h.Name, target)
					}
					answer.Hosts[i].PeerAddress = l.link("udp", from, linkEnd{h.Name, h.Domain}, target).Address()
				}
			}
		})
	})
	mux.HandleFunc("GET "+endpointapi.PathEndpoints, func(w http.ResponseWriter, _ *http.Request) {
		var answer endpointapi.EndpointsAnswer
		forwardEdited(w, target, endpointapi.PathEndpoints, &answer, func() {
			for i, e := range answer.Endpoints {
				if e.Address != "" {
					answer.Endpoints[i].Address = l.link("tcp", from, linkEnd{e.ID, e.Domain}, e.Address).Address()
				}
			}
		})
	})
	server := httptest.NewUnstartedServer(mux)
	transports := connTransports{}
	proxy.Transport = &transports
	server.Config.ConnContext = transports.connContext
	server.Config.ConnState = transports.connState
	server.Start()
	return server
}

// connTransports opens a separate connection to the platform for each connection
// to a platformView and closes the two together, because the platform reports
// the holders of its open connections.
type connTransports struct{ transports sync.Map }

type transportKey struct{}

func (p *connTransports) connContext(ctx context.Context, c net.Conn) context.Context {
	transport := &http.Transport{MaxConnsPerHost: 1}
	p.transports.Store(c, transport)
	return context.WithValue(ctx, transportKey{}, transport)
}

func (p *connTransports) connState(c net.Conn, state http.ConnState) {
	if transport, ok := p.transports.Load(c); ok && state == http.StateClosed {
		transport.(*http.Transport).CloseIdleConnections()
		p.transports.Delete(c)
	}
}

// RoundTrip implements http.RoundTripper.
func (p *connTransports) RoundTrip(r *http.Request) (*http.Response, error) {
	return r.Context().Value(transportKey{}).(*http.Transport).RoundTrip(r)
}

// forwardEdited fetches path from target into answer and sends it after edit.
func forwardEdited(w http.ResponseWriter, target, path string, answer any, edit func()) {
	resp, err := http.Get("http://" + target + path)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(answer) == nil {
		edit()
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(resp.StatusCode)
	_ = json.NewEncoder(w).Encode(answer)
}
