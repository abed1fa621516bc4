package faultproxy

import (
	"github.com/apex/log"
	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/standin/httpd"
)

// Proxy is a proxy that a Control operates: TCP or UDP.
type Proxy interface {
	SetFaults(Faults)
	Faults() Faults
	MuteOpen()
}

// Control is the HTTP control endpoint of a proxy, on a separate address.
type Control struct {
	proxy Proxy
	http  *httpd.Server
}

// NewControl returns a control endpoint that is not listening yet. Its log lines
// are dropped if logger is nil.
func NewControl(proxy Proxy, logger log.Interface) *Control {
	c := &Control{proxy: proxy}
	c.http = httpd.New("faultproxy", logger, c.handle)
	return c
}

// Listen binds address and serves until Close.
func (c *Control) Listen(address string) error { return c.http.Listen(address) }

// Address returns the bound address.
func (c *Control) Address() string { return c.http.Address() }

// Close stops the control endpoint and leaves the proxy running.
func (c *Control) Close() error { return c.http.Close() }

func (c *Control) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case "/control/faults":
		c.handleFaults(ctx)
	case "/control/mute-open":
		c.proxy.MuteOpen()
	case "/control/reset-open":
		if tcp, ok := c.proxy.(*TCP); ok {
			tcp.ResetOpen()
			return
		}
		httpd.WriteError(ctx, fasthttp.StatusBadRequest, httpd.CodeBadRequest, "datagrams have no connection to reset")
	default:
		httpd.WriteError(ctx, fasthttp.StatusNotFound, httpd.CodeNotFound, "no such path")
	}
}

func (c *Control) handleFaults(ctx *fasthttp.RequestCtx) {
	if ctx.IsPost() {
		var f Faults
		if !httpd.Decode(ctx, &f) {
			return
		}
		c.proxy.SetFaults(f)
	}
	httpd.WriteJSON(ctx, fasthttp.StatusOK, c.proxy.Faults())
}
