package cli

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/clementineshed/clementineshed/pkg/dev"
	"github.com/clementineshed/clementineshed/pkg/logging"
	"github.com/clementineshed/clementineshed/pkg/tlsconfig"
)

// dialTLS connects without a client certificate to entry-nashua at address and
// accepts only server certificates of ca.
func dialTLS(address string, ca *tlsconfig.DevCA) error {
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(ca.CertPEM())
	conn, err := tls.Dial("tcp", address, &tls.Config{RootCAs: pool, ServerName: "entry-nashua"})
	if err != nil {
		return err
	}
	return conn.Close()
}

// TestTLS guards against addresses that answer without TLS or to unauthenticated
// clients, and against replaced certificates that take effect only at a restart.
func TestTLS(t *testing.T) {
	cluster, err := dev.Start(t.Context(), dev.Options{Log: logging.Discard(), Clock: clockwork.NewRealClock(), Seed: 1, TLS: true})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	dir := filepath.Dir(cluster.SettingsFile)
	status := func(certificates string) int {
		args := []string{"status", "--log-service", cluster.LogServiceAddress(), "--host-list", cluster.PlatformAddress()}
		if certificates != "" {
			args = append(args, "--operators-certificate", filepath.Join(dir, certificates+".crt"),
				"--operators-key", filepath.Join(dir, certificates+".key"), "--operators-ca", filepath.Join(dir, "ca.crt"))
		}
		code, _, _ := run(t, args...)
		return code
	}
	if code := status(""); code != ExitFailed {
		t.Errorf("status without a certificate: exit code %d", code)
	}
	if code := status("entry-nashua-2"); code != ExitOK {
		t.Errorf("status with a certificate: exit code %d", code)
	}
	if response, err := http.Get("http://" + cluster.CallersAddresses()[0] + "/"); err == nil && response.StatusCode == http.StatusOK {
		t.Error("the callers' address answers without TLS")
	}
	ca, err := tlsconfig.NewDevCA(time.Now())
	if err != nil {
		t.Fatal(err)
	}
	if err := dialTLS(cluster.CallersAddresses()[0], ca); err == nil {
		t.Error("the host presents a certificate of the new CA before its files are replaced")
	}
	for _, name := range []string{"entry-nashua", "entry-hartford", "entry-nashua-2"} {
		if _, err := ca.WriteFiles(dir, name); err != nil {
			t.Fatal(err)
		}
	}
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		err, code := dialTLS(cluster.CallersAddresses()[0], ca), status("entry-nashua-2")
		if err == nil && code == ExitOK {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("the replaced certificates are not in use: %v, status exits with %d", err, code)
		}
	}
}
