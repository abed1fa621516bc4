package entryhost

import (
	"crypto/tls"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"github.com/clementineshed/clementineshed/pkg/jsonhttp"
	"github.com/clementineshed/clementineshed/pkg/logservice"
	"github.com/clementineshed/clementineshed/pkg/settings"
	"github.com/clementineshed/clementineshed/pkg/steperr"
	"github.com/clementineshed/clementineshed/pkg/tlsconfig"
)

// tlsSources holds the certificates of each kind of link. A link without files
// has no source and uses no TLS, except for peers, which always use mutual TLS.
type tlsSources struct {
	callers, operators, peers, platform, endpoints *tlsconfig.Source
}

func openTLSSources(files settings.TLS, interval time.Duration, clock clockwork.Clock, logger log.Interface) (*tlsSources, error) {
	s := &tlsSources{}
	links := []struct {
		name string
		link settings.Link
		into **tlsconfig.Source
	}{
		{"callers", files.Callers, &s.callers},
		{"operators", files.Operators, &s.operators},
		{"peers", files.Peers, &s.peers},
		{"platform", files.Platform, &s.platform},
		{"endpoints", files.Endpoints, &s.endpoints},
	}
	for _, l := range links {
		if l.link.Certificate == "" && l.link.CA == "" {
			continue
		}
		source, err := tlsconfig.Open(tlsconfig.Options{
			Files:        tlsconfig.Files{Cert: l.link.Certificate, Key: l.link.Key, CA: l.link.CA},
			PollInterval: interval,
			Clock:        clock,
			Log:          logger,
		})
		if err != nil {
			s.close()
			return nil, steperr.Wrap(err, "open TLS files", l.name)
		}
		*l.into = source
	}
	return s, nil
}

// callersTLS requests no client certificate, since callers authenticate with
// API keys.
func (s *tlsSources) callersTLS() *tls.Config {
	if s.callers == nil {
		return nil
	}
	return s.callers.ServerAuthOnly()
}

func (s *tlsSources) operatorsTLS() *tls.Config {
	if s.operators == nil {
		return nil
	}
	return s.operators.Server()
}

func (s *tlsSources) platformTLS() func() *tls.Config  { return clientTLS(s.platform, "platform") }
func (s *tlsSources) endpointsTLS() func() *tls.Config { return clientTLS(s.endpoints, "endpoint") }

// clientTLS verifies that the server's certificate carries name, since
// addresses of the platform and of endpoints change. The result is called for
// each connection, so that it uses the current certificates; it is nil without
// TLS.
func clientTLS(source *tlsconfig.Source, name string) func() *tls.Config {
	if source == nil {
		return nil
	}
	return func() *tls.Config { return source.Client(name) }
}

func (s *tlsSources) close() {
	for _, source := range []*tlsconfig.Source{s.callers, s.operators, s.peers, s.platform, s.endpoints} {
		if source != nil {
			source.Close()
		}
	}
}

// logClient returns a log service client that fails over between its addresses.
func logClient(p settings.Platform, config func() *tls.Config) logservice.Client {
	clients := make([]logservice.Client, 0, len(p.LogService))
	for _, address := range p.LogService {
		clients = append(clients, logservice.NewHTTPClient(jsonhttp.New(address, jsonhttp.Options{Timeout: p.Timeout.Std(), TLS: config})))
	}
	return logservice.NewFailover(clients...)
}
