package httpd

import (
	"net"
	"slices"

	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/enginewire"
)

// RegisterHolder records the holder named in the request's HeaderOrderHolder as the
// holder of its connection. Handlers must call it before the request can take
// effect.
func (s *Server) RegisterHolder(ctx *fasthttp.RequestCtx) {
	holder := string(ctx.Request.Header.Peek(enginewire.HeaderOrderHolder))
	if holder == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holders[ctx.Conn()] = holder
}

// connState removes the holder of a connection whose last handler has returned.
func (s *Server) connState(c net.Conn, state fasthttp.ConnState) {
	if state != fasthttp.StateClosed && state != fasthttp.StateHijacked {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.holders, c)
}

// ServeHolders answers GET enginewire.PathOrderConnections with the
// recorded holders, sorted and without duplicates.
func (s *Server) ServeHolders(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	holders := make([]string, 0, len(s.holders))
	for _, holder := range s.holders {
		holders = append(holders, holder)
	}
	s.mu.Unlock()
	slices.Sort(holders)
	WriteJSON(ctx, fasthttp.StatusOK, enginewire.OrderConnections{Holders: slices.Compact(holders)})
}
