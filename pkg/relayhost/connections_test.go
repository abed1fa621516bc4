package relayhost

import (
	"net"
	"syscall"
	"testing"

	"github.com/clementineshed/clementineshed/pkg/logging"
	"github.com/clementineshed/clementineshed/pkg/routes"
)

type failingListener struct{ net.Listener }

func (failingListener) Accept() (net.Conn, error) { return nil, syscall.EINVAL }

// TestNotReadyWhenAcceptFails guards against a host that the load balancer goes on
// sending connections to although it cannot accept them.
func TestNotReadyWhenAcceptFails(t *testing.T) {
	h := New(Settings{MemoryBytes: 256 << 20}, Adapter{}, logging.Discard())
	h.endpointsLoaded.Store(true)
	h.routes.Update(routes.NewTable(routes.Document{Version: 1}))
	listener := h.retryAccept(failingListener{})
	h.callersListener.Store(listener)
	if !h.ready() {
		t.Fatal("not ready before an accept has failed")
	}
	_, _ = listener.Accept()
	if h.ready() {
		t.Error("ready although the last accept has failed")
	}
}

// TestSharesFollowMaxFDs guards against a setting that does not reach the limits.
func TestSharesFollowMaxFDs(t *testing.T) {
	h := New(Settings{MemoryBytes: 256 << 20, MaxFDs: 1000}, Adapter{}, logging.Discard())
	if h.shares.Callers != 480 || h.shares.Endpoints != 231 || h.shares.Tunnels != 24 {
		t.Errorf("shares %+v of 1000", h.shares)
	}
}
