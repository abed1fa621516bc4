package tlsconfig

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/steperr"
)

// DevValidity is the validity period of development certificates.
const DevValidity = 30 * 24 * time.Hour

// devBackdate is subtracted from the start of validity to tolerate clocks that
// are behind the issuer's.
const devBackdate = time.Hour

// serialBits is the length of a certificate's random serial number in bits.
const serialBits = 120

// DevCA is a certificate authority for development and tests. Its key is held
// in memory only. It is safe for concurrent use.
type DevCA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pem  []byte
	now  time.Time
}

// NewDevCA creates a CA whose certificates are valid from one hour before now
// until DevValidity after now.
func NewDevCA(now time.Time) (*DevCA, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate CA key")
	}
	template, err := devTemplate("clementineshed development CA", now)
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, errors.Wrap(err, "sign CA certificate")
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, errors.Wrap(err, "parse CA certificate")
	}
	return &DevCA{cert: cert, key: key, pem: encodePEM("CERTIFICATE", der), now: now}, nil
}

// CertPEM returns the PEM-encoded certificate of the CA. Callers must not modify
// it.
func (ca *DevCA) CertPEM() []byte { return ca.pem }

// Issue returns a PEM-encoded certificate and key for server and client
// authentication. The certificate is valid for the host name and for ips.
func (ca *DevCA) Issue(host string, ips ...net.IP) (certPEM, keyPEM []byte, err error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, errors.Wrap(err, "generate host key")
	}
	template, err := devTemplate(host, ca.now)
	if err != nil {
		return nil, nil, err
	}
	template.DNSNames = []string{host}
	template.IPAddresses = ips
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, ca.cert, key.Public(), ca.key)
	if err != nil {
		return nil, nil, errors.Wrap(err, "sign host certificate")
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, nil, errors.Wrap(err, "encode host key")
	}
	return encodePEM("CERTIFICATE", der), encodePEM("PRIVATE KEY", keyDER), nil
}

// WriteFiles issues a certificate for host and writes it, its key and the CA
// certificate under dir as <host>.crt, <host>.key and ca.crt. Each file is
// replaced atomically. Errors carry the step and the file.
func (ca *DevCA) WriteFiles(dir, host string, ips ...net.IP) (Files, error) {
	certPEM, keyPEM, err := ca.Issue(host, ips...)
	if err != nil {
		return Files{}, steperr.Wrap(err, "issue certificate", host)
	}
	files := Files{
		Cert: filepath.Join(dir, host+".crt"),
		Key:  filepath.Join(dir, host+".key"),
		CA:   filepath.Join(dir, "ca.crt"),
	}
	for name, data := range map[string][]byte{files.Cert: certPEM, files.Key: keyPEM, files.CA: ca.pem} {
		if err := replaceFile(name, data); err != nil {
			return Files{}, steperr.Wrap(err, "write tls file", name)
		}
	}
	return files, nil
}

// replaceFile atomically replaces the file with one that only its owner may
// read.
func replaceFile(name string, data []byte) error {
	temporary := name + ".tmp"
	if err := os.WriteFile(temporary, data, 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, name)
}

func devTemplate(name string, now time.Time) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, errors.Wrap(err, "generate serial number")
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-devBackdate),
		NotAfter:     now.Add(DevValidity),
	}, nil
}

func encodePEM(kind string, der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
}
