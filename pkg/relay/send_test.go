package relay

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/fleet"
	"github.com/clementineshed/clementineshed/pkg/jsonhttp"
	"github.com/clementineshed/clementineshed/pkg/logging"
	"github.com/clementineshed/clementineshed/pkg/outlier"
	"github.com/clementineshed/clementineshed/pkg/pace"
	"github.com/clementineshed/clementineshed/pkg/upstream"
)

// TestLackOfDescriptorsIsNoFailureOfTheEndpoint guards against a host without free
// descriptors that ejects sound endpoints, and tells the other hosts to.
func TestLackOfDescriptorsIsNoFailureOfTheEndpoint(t *testing.T) {
	for cause, want := range map[error]bool{syscall.EMFILE: false, syscall.ECONNREFUSED: true} {
		client := upstream.New(upstream.Options{DialTimeout: time.Second, IdleTimeout: time.Second, MaxIdle: 1})
		h := &Handler{Options: Options{Client: client, Outliers: outlier.NewTracker(), Pace: pace.NewLimiter("h"), Metrics: NewMetrics(), OnEjected: func(fleet.Member, outlier.FailureKind) {}, Log: logging.Discard()}}
		m := fleet.Member{Endpoint: endpoint.Endpoint{ID: "desk-1", Domain: "a"}}
		for range 20 {
			h.recordSendError(&exchange{workCtx: context.Background()}, m, &jsonhttp.NotSentError{Err: cause})
		}
		if got := h.Outliers.Ejected(m, time.Now()); got != want {
			t.Errorf("%v: ejected %v, want %v", cause, got, want)
		}
		client.Close()
	}
}
