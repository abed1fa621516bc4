package platformd

import (
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/endpointapi"
	"github.com/clementineshed/clementineshed/pkg/standin/httpd"
)

// Journal is the answer to GET /control/journal.
type Journal struct {
	Orders []OrderEntry `json:"orders"`
	Usage  []UsageEntry `json:"usage"`
}

// ReclaimRequest is the body of POST /control/reclaim.
type ReclaimRequest struct {
	Domain string `json:"domain"`
	Kind   string `json:"kind"`
	// NoticeMillis is the notice in milliseconds; Options.ReclaimNotice if zero.
	NoticeMillis int64 `json:"notice_ms,omitempty"`
}

// AvailabilityRequest is the body of POST /control/availability.
type AvailabilityRequest struct {
	Domain    string `json:"domain"`
	Kind      string `json:"kind"`
	Available bool   `json:"available"`
}

func (s *Server) handleControl(ctx *fasthttp.RequestCtx, path string) {
	httpd.MarkControl(ctx)
	switch {
	case path == "/control/journal":
		httpd.WriteJSON(ctx, fasthttp.StatusOK, Journal{Orders: s.Orders(), Usage: s.Usage()})
	case path == "/control/faults":
		s.handleFaults(ctx)
	case strings.HasPrefix(path, "/control/hosts/"):
		s.handleHostControl(ctx, strings.TrimPrefix(path, "/control/hosts/"))
	case strings.HasPrefix(path, "/control/endpoints/"):
		s.handleEndpointControl(ctx, strings.TrimPrefix(path, "/control/endpoints/"))
	case path == "/control/reclaim":
		s.handleReclaim(ctx)
	case path == "/control/availability":
		s.handleAvailability(ctx)
	default:
		httpd.WriteError(ctx, fasthttp.StatusNotFound, httpd.CodeNotFound, "no such path")
	}
}

func (s *Server) handleFaults(ctx *fasthttp.RequestCtx) {
	if ctx.IsPost() {
		var f httpd.Faults
		if !httpd.Decode(ctx, &f) {
			return
		}
		s.SetFaults(f)
	}
	httpd.WriteJSON(ctx, fasthttp.StatusOK, s.Faults())
}

func (s *Server) handleHostControl(ctx *fasthttp.RequestCtx, name string) {
	if ctx.IsDelete() {
		s.RemoveHost(name)
		return
	}
	var host endpointapi.Host
	if !httpd.Decode(ctx, &host) {
		return
	}
	host.Name = name
	s.SetHost(host)
}

func (s *Server) handleEndpointControl(ctx *fasthttp.RequestCtx, id string) {
	if ctx.IsDelete() {
		s.RemoveEndpoint(id)
		return
	}
	var e endpoint.Endpoint
	if !httpd.Decode(ctx, &e) {
		return
	}
	e.ID = id
	s.AddEndpoint(e, nil)
}

func (s *Server) handleReclaim(ctx *fasthttp.RequestCtx) {
	var request ReclaimRequest
	if !httpd.Decode(ctx, &request) {
		return
	}
	ids := s.Reclaim(request.Domain, request.Kind, time.Duration(request.NoticeMillis)*time.Millisecond)
	httpd.WriteJSON(ctx, fasthttp.StatusOK, map[string][]string{"endpoint_ids": ids})
}

func (s *Server) handleAvailability(ctx *fasthttp.RequestCtx) {
	var request AvailabilityRequest
	if !httpd.Decode(ctx, &request) {
		return
	}
	s.SetAvailable(request.Domain, request.Kind, request.Available)
}
