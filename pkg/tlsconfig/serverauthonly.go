package tlsconfig

import "crypto/tls"

// ServerAuthOnly returns a server configuration that requests no client
// certificate, for clients that authenticate otherwise, such as callers with
// keys.
func (s *Source) ServerAuthOnly(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert := s.current().cert
			return &cert, nil
		},
	}
}
