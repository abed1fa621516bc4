package tlsconfig

import (
	"bytes"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/steperr"
)

// DefaultPollInterval is the default interval at which the files are re-read.
// They are a few kilobytes, so reading them costs little.
const DefaultPollInterval = 10 * time.Second

// Files holds the names of the PEM files.
type Files struct {
	// Cert holds the certificate chain of this host, leaf first.
	Cert string `json:"cert"`
	// Key holds the private key of the leaf.
	Key string `json:"key"`
	// CA holds the CA certificates that peer certificates are verified against.
	// The name may be empty if only ServerAuthOnly is used; every other
	// configuration then refuses all peers.
	CA string `json:"ca"`
}

// Options configure a Source.
type Options struct {
	Files Files
	// PollInterval is DefaultPollInterval if zero.
	PollInterval time.Duration
	// Clock drives the polls and gives the time for verifying certificates.
	Clock clockwork.Clock
	// Log receives reloads, failed reloads and refused peers.
	Log log.Interface
}

// Source holds the current certificate, key and CA pool. It is safe for
// concurrent use.
type Source struct {
	opts Options
	stop chan struct{}
	done chan struct{}

	mu sync.RWMutex
	// keys is guarded by mu.
	keys keys
	// failedDigest is the digest of the files at the last failed reload, zero if
	// they could not be read. Only the polling goroutine uses it.
	failedDigest digest
}

type digest [sha256.Size]byte

type keys struct {
	cert   tls.Certificate
	pool   *x509.CertPool
	digest digest
}

// Open loads the files and starts polling them. Errors carry the step and, as
// peer, the names of the affected files. The caller must call Close.
func Open(opts Options) (*Source, error) {
	if opts.PollInterval <= 0 {
		opts.PollInterval = DefaultPollInterval
	}
	s := &Source{opts: opts, stop: make(chan struct{}), done: make(chan struct{})}
	pems, err := readFiles(opts.Files)
	if err != nil {
		return nil, err
	}
	if s.keys, err = parseKeys(opts.Files, pems); err != nil {
		return nil, err
	}
	ticker := opts.Clock.NewTicker(opts.PollInterval)
	go s.poll(ticker)
	return s, nil
}

// Close stops the polling and waits for it to end. It must be called once.
// Configurations that were returned stay usable with the last keys.
func (s *Source) Close() {
	close(s.stop)
	<-s.done
}

// NotAfter returns the expiry time of the current certificate, so that the
// operator can be warned.
func (s *Source) NotAfter() time.Time {
	return s.current().cert.Leaf.NotAfter
}

func (s *Source) current() keys {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.keys
}

func (s *Source) poll(ticker clockwork.Ticker) {
	defer close(s.done)
	defer ticker.Stop()
	for {
		select {
		case <-s.stop:
			return
		case <-ticker.Chan():
			s.reload()
		}
	}
}

func (s *Source) reload() {
	pems, err := readFiles(s.opts.Files)
	if err != nil {
		s.reportFailure(digest{}, err)
		return
	}
	if pems.digest() == s.current().digest {
		return
	}
	next, err := parseKeys(s.opts.Files, pems)
	if err != nil {
		s.reportFailure(pems.digest(), err)
		return
	}
	s.mu.Lock()
	s.keys = next
	s.mu.Unlock()
	s.opts.Log.WithField("not_after", next.cert.Leaf.NotAfter.UTC().Format(time.RFC3339)).Info("tls keys reloaded")
}

// reportFailure logs a failed reload, unless the last failure had the same
// digest. d is zero if the files could not be read, which is always logged.
func (s *Source) reportFailure(d digest, err error) {
	if d == s.failedDigest && d != (digest{}) {
		return
	}
	s.failedDigest = d
	s.opts.Log.WithError(err).Error("tls keys not reloaded, previous keys stay in force")
}

type pemData struct{ cert, key, ca []byte }

func (p pemData) digest() digest {
	return sha256.Sum256(bytes.Join([][]byte{p.cert, p.key, p.ca}, []byte{0}))
}

func readFiles(files Files) (pemData, error) {
	var p pemData
	for _, f := range []struct {
		name   string
		target *[]byte
	}{{files.Cert, &p.cert}, {files.Key, &p.key}, {files.CA, &p.ca}} {
		if f.target == &p.ca && f.name == "" {
			continue
		}
		data, err := os.ReadFile(f.name)
		if err != nil {
			return p, steperr.Wrap(err, "read tls file", f.name)
		}
		*f.target = data
	}
	return p, nil
}

func parseKeys(files Files, p pemData) (keys, error) {
	cert, err := tls.X509KeyPair(p.cert, p.key)
	if err != nil {
		return keys{}, steperr.Wrap(err, "load tls certificate and key", files.Cert+","+files.Key)
	}
	pool := x509.NewCertPool()
	if files.CA != "" && !pool.AppendCertsFromPEM(p.ca) {
		return keys{}, steperr.Wrap(errors.New("no certificate found"), "load tls CA", files.CA)
	}
	return keys{cert: cert, pool: pool, digest: p.digest()}, nil
}
