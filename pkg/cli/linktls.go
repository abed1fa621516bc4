package cli

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// Links that operator commands can secure with TLS; each prefixes its flags.
const (
	linkOperators = "operators"
	linkPlatform  = "platform"
)

// platformName is the server name in the platform's certificates; entry hosts
// expect the same.
const platformName = "platform"

// linkFlags returns the flags for the PEM files of a link.
func linkFlags(link, peer string) []cli.Flag {
	file := func(name, usage string) cli.Flag {
		variable := strings.ToUpper("CLEMENTINESHED_" + link + "_" + name)
		return &cli.StringFlag{Name: link + "-" + name, Sources: cli.EnvVars(variable), Usage: usage + " towards " + peer + ", PEM `FILE`"}
	}
	return []cli.Flag{
		file("certificate", "own certificate"),
		file("key", "key of the certificate"),
		file("ca", "certificates to check the other side against"),
	}
}

// linkTLS returns a function that maps a server name to the TLS configuration
// for connections to it. The function returns nil if the link uses no TLS.
func linkTLS(c *cli.Command, link string) (func(name string) func() *tls.Config, error) {
	certificate, key, ca := c.String(link+"-certificate"), c.String(link+"-key"), c.String(link+"-ca")
	if certificate == "" && key == "" && ca == "" {
		return func(string) func() *tls.Config { return nil }, nil
	}
	if certificate == "" || key == "" || ca == "" {
		return nil, usageError("--%s-certificate, --%s-key and --%s-ca go together", link, link, link)
	}
	pair, err := tls.LoadX509KeyPair(certificate, key)
	if err != nil {
		return nil, errors.Wrap(err, "load certificate "+certificate)
	}
	data, err := os.ReadFile(ca)
	if err != nil {
		return nil, errors.Wrap(err, "read CA certificates")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("%s contains no certificate", ca)
	}
	return func(name string) func() *tls.Config {
		return func() *tls.Config {
			return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{pair}, RootCAs: pool, ServerName: name}
		}
	}, nil
}
