package tlsconfig

import (
	"crypto/tls"
	"crypto/x509"
	"net"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/steperr"
)

// ErrNoCertificate reports a peer that sent no certificate.
var ErrNoCertificate = errors.New("peer sent no certificate")

// ErrNoIdentity reports a peer certificate without a DNS name.
var ErrNoIdentity = errors.New("certificate names no host")

// Server returns a configuration that refuses clients without a certificate
// signed by the CA that is current at the handshake. protocols are the
// supported ALPN protocols. The configuration can serve any number of
// listeners.
func (s *Source) Server(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		GetConfigForClient: func(hello *tls.ClientHelloInfo) (*tls.Config, error) {
			return s.serverFor(hello.Conn, protocols), nil
		},
	}
}

// serverFor verifies the client in VerifyConnection instead of by ClientAuth, so
// that a refusal is logged with the address of the client.
func (s *Source) serverFor(conn net.Conn, protocols []string) *tls.Config {
	k := s.current()
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		NextProtos:             protocols,
		Certificates:           []tls.Certificate{k.cert},
		ClientAuth:             tls.RequestClientCert,
		ClientCAs:              k.pool,
		SessionTicketsDisabled: true,
		Time:                   s.opts.Clock.Now,
		VerifyConnection: func(state tls.ConnectionState) error {
			return s.verify(k.pool, state, conn.RemoteAddr().String())
		},
	}
}

func (s *Source) verify(pool *x509.CertPool, state tls.ConnectionState, address string) error {
	err := s.verifyChain(pool, state.PeerCertificates)
	if err == nil {
		return nil
	}
	s.opts.Log.WithFields(log.Fields{"peer": address, "error": err.Error()}).Warn("tls peer refused")
	return steperr.Wrap(err, "verify client certificate", address)
}

func (s *Source) verifyChain(pool *x509.CertPool, chain []*x509.Certificate) error {
	if len(chain) == 0 {
		return ErrNoCertificate
	}
	intermediates := x509.NewCertPool()
	for _, c := range chain[1:] {
		intermediates.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: intermediates,
		CurrentTime:   s.opts.Clock.Now(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth},
	})
	if err != nil {
		return err
	}
	_, err = Identity(chain)
	return err
}

// Client returns a configuration for one connection to the named host, with the
// current keys. Callers must request a new configuration for each connection.
func (s *Source) Client(host string, protocols ...string) *tls.Config {
	k := s.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		NextProtos:   protocols,
		Certificates: []tls.Certificate{k.cert},
		RootCAs:      k.pool,
		ServerName:   host,
		Time:         s.opts.Clock.Now,
	}
}

// Identity returns the host name in a verified chain: the first DNS name of the
// leaf. The error is ErrNoCertificate or ErrNoIdentity.
func Identity(chain []*x509.Certificate) (string, error) {
	if len(chain) == 0 {
		return "", ErrNoCertificate
	}
	if len(chain[0].DNSNames) == 0 {
		return "", ErrNoIdentity
	}
	return chain[0].DNSNames[0], nil
}
