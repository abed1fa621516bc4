package relayhost

import (
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/logging"
	"github.com/clementineshed/clementineshed/pkg/routes"
)

// TestAppliedLimits guards against limits of the configuration that are ignored, and
// against those that a host's memory does not allow.
func TestAppliedLimits(t *testing.T) {
	const memory = 256 << 20
	tests := []struct {
		name             string
		configured, want routes.Limits
	}{
		{"unset", routes.Limits{}, routes.Limits{HeaderBytes: 16 << 10, BodyBytes: 8 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 20 * time.Second}},
		{"raised", routes.Limits{HeaderBytes: 32 << 10, BodyBytes: 16 << 20, HeaderTimeout: 9 * time.Second, IdleTimeout: time.Minute},
			routes.Limits{HeaderBytes: 32 << 10, BodyBytes: 16 << 20, HeaderTimeout: 9 * time.Second, IdleTimeout: time.Minute}},
		{"lowered", routes.Limits{HeaderBytes: 4 << 10, BodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: time.Second},
			routes.Limits{HeaderBytes: 4 << 10, BodyBytes: 1 << 20, HeaderTimeout: 5 * time.Second, IdleTimeout: 20 * time.Second}},
		{"beyond memory", routes.Limits{HeaderBytes: 1 << 30, BodyBytes: 1 << 40, HeaderTimeout: time.Hour, IdleTimeout: time.Hour},
			routes.Limits{HeaderBytes: 64 << 10, BodyBytes: 32 << 20, HeaderTimeout: time.Minute, IdleTimeout: 10 * time.Minute}},
	}
	for _, test := range tests {
		if got := appliedLimits(test.configured, memory); got != test.want {
			t.Errorf("%s: got %+v, want %+v", test.name, got, test.want)
		}
	}
}

// TestIdleTimeoutFollowsConfiguration guards against connections that are closed
// earlier than the newest configuration allows callers to keep them.
func TestIdleTimeoutFollowsConfiguration(t *testing.T) {
	h := New(Settings{MemoryBytes: 256 << 20}, Adapter{}, logging.Discard())
	if got := h.callerTimeouts().Idle; got != minIdleTimeout {
		t.Errorf("idle timeout %v without a configuration, want %v", got, minIdleTimeout)
	}
	h.routes.Update(routes.NewTable(routes.Document{Version: 1, Limits: routes.Limits{IdleTimeout: 50 * time.Second}}))
	if got := h.callerTimeouts().Idle; got != 50*time.Second {
		t.Errorf("idle timeout %v, want the configured 50s", got)
	}
}
