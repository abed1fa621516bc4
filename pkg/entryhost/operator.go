package entryhost

import (
	"encoding/json"
	"expvar"
	"fmt"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/enginewire"
	"github.com/clementineshed/clementineshed/pkg/orders"
	"github.com/clementineshed/clementineshed/pkg/steperr"
)

// Paths served on the operator address.
const (
	PathHealth      = "/healthz"
	PathReady       = "/readyz"
	PathVars        = "/debug/vars"
	PathStatus      = "/v1/status"
	PathBurn        = "/v1/burn"
	PathWithdrawKey = "/v1/keys/withdraw"
	PathDrain       = "/v1/endpoints/drain"
	PathResume      = "/v1/endpoints/resume"
)

// Status is the response of GET /v1/status.
type Status struct {
	Host        string `json:"host"`
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
	Domain      string `json:"domain"`
	Ready       bool   `json:"ready"`
	// NotReady lists what the host waits for before it is ready.
	NotReady []string `json:"not_ready,omitempty"`
	Stopping bool     `json:"stopping"`
	// ConfigVersion is the offset of the configuration in force.
	ConfigVersion int64 `json:"config_version"`
	// ConfigNext is the offset up to which the config stream is folded,
	// exclusive.
	ConfigNext int64 `json:"config_next"`
	// ConfirmedAgeMillis is the age of the last confirmation of the keys, or -1
	// before the first.
	ConfirmedAgeMillis int64           `json:"confirmed_age_ms"`
	InFlight           int             `json:"in_flight"`
	Held               int             `json:"held"`
	Endpoints          int             `json:"endpoints"`
	Peers              []PeerStatus    `json:"peers"`
	Leases             []LeaseStatus   `json:"leases"`
	Problems           []ProblemStatus `json:"problems,omitempty"`
}

// PeerStatus is the state of another host as this host sees it.
type PeerStatus struct {
	Host   string `json:"host"`
	Domain string `json:"domain"`
	State  string `json:"state"`
}

// LeaseStatus is a lease held by this host, with its fencing token.
type LeaseStatus struct {
	Duty         string `json:"duty"`
	Domain       string `json:"domain"`
	FencingToken int64  `json:"fence"`
}

// ProblemStatus is the last error of a step that currently fails.
type ProblemStatus struct {
	Step  string `json:"step"`
	Peer  string `json:"peer"`
	Error string `json:"error"`
}

func problemStatus(err error) ProblemStatus {
	step, peer := steperr.StepAndPeer(err)
	return ProblemStatus{Step: step, Peer: peer, Error: errors.Cause(err).Error()}
}

// WithdrawKeyRequest is the body of POST /v1/keys/withdraw. It is idempotent.
type WithdrawKeyRequest struct {
	// SHA256 is the lower-case hexadecimal hash of the key.
	SHA256 string `json:"sha256"`
}

// EndpointRequest is the body of POST /v1/endpoints/drain and
// /v1/endpoints/resume. The host must hold the engine-orders lease of the
// endpoint's failure domain. A drain lasts as long as the host holds that
// lease; the next holder resumes the engine.
type EndpointRequest struct {
	Endpoint string `json:"endpoint"`
}

// operatorServer serves the operator address.
type operatorServer struct {
	vars            *expvar.Map
	notReadyReasons func() []string
	status          func() Status
	burn            func() any
	withdraw        func(sha256 string) error
	order           func(endpoint string, kind enginewire.OrderKind) error
}

func (s *operatorServer) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case PathHealth:
		ctx.SetBodyString("ok\n")
	case PathReady:
		s.handleReady(ctx)
	case PathVars:
		ctx.SetContentType("application/json")
		ctx.SetBodyString(s.vars.String())
	case PathStatus:
		writeJSON(ctx, s.status())
	case PathBurn:
		writeJSON(ctx, s.burn())
	case PathWithdrawKey:
		s.handleWithdraw(ctx)
	case PathDrain:
		s.handleOrder(ctx, enginewire.OrderDrain)
	case PathResume:
		s.handleOrder(ctx, enginewire.OrderResume)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *operatorServer) handleReady(ctx *fasthttp.RequestCtx) {
	reasons := s.notReadyReasons()
	if len(reasons) == 0 {
		ctx.SetBodyString("ready\n")
		return
	}
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	for _, reason := range reasons {
		_, _ = ctx.WriteString(reason + "\n")
	}
}

func (s *operatorServer) handleWithdraw(ctx *fasthttp.RequestCtx) {
	var request WithdrawKeyRequest
	if !ctx.IsPost() {
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
		return
	}
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if err := s.withdraw(request.SHA256); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		ctx.SetBodyString(err.Error())
		return
	}
	writeJSON(ctx, struct{}{})
}

// handleOrder responds with 200 after the engine has carried out the order, 404
// for an endpoint that is not a known engine of the host's failure domain, 502
// if the order may still take effect, and 409 if it had no effect.
func (s *operatorServer) handleOrder(ctx *fasthttp.RequestCtx, kind enginewire.OrderKind) {
	var request EndpointRequest
	if !ctx.IsPost() {
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
		return
	}
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	err := s.order(request.Endpoint, kind)
	switch {
	case err == nil:
		writeJSON(ctx, struct{}{})
		return
	case errors.Is(err, errUnknownEngine):
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	case errors.Is(err, orders.ErrUnanswered):
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
	default:
		ctx.SetStatusCode(fasthttp.StatusConflict)
	}
	ctx.SetBodyString(err.Error() + "\n")
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(data)
}

// serverLogger logs the HTTP server's messages about broken connections.
type serverLogger struct{ log log.Interface }

// Printf implements fasthttp.Logger.
func (l serverLogger) Printf(format string, args ...any) {
	l.log.WithFields(log.Fields{"step": "serve operators", "cause": fmt.Sprintf(format, args...)}).Debug("connection failed")
}
