package engined

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/apex/log"
	"github.com/hashicorp/golang-lru/v2/simplelru"
	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/enginewire"
	"github.com/clementineshed/clementineshed/pkg/jsonhttp"
	"github.com/clementineshed/clementineshed/pkg/standin/httpd"
	"github.com/clementineshed/clementineshed/pkg/steperr"
)

// maxExports bounds the finished prefills kept for export.
const maxExports = 1024

// exports holds exportable prefills by request ID, guarded by the server's mutex.
type exports = simplelru.LRU[string, export]

type export struct {
	hash   uint64
	tokens int
}

func newExports() *exports {
	// The only error of NewLRU is a size below one.
	e, _ := simplelru.NewLRU[string, export](maxExports, nil)
	return e
}

// handleExport answers after the simulated transfer time of the KV cache.
func (s *Server) handleExport(ctx *fasthttp.RequestCtx, requestID string) {
	s.mu.Lock()
	e, ok := s.exports.Get(requestID)
	s.mu.Unlock()
	if !ok {
		httpd.WriteError(ctx, fasthttp.StatusNotFound, httpd.CodeNotFound, "no such prefill")
		return
	}
	duration := time.Duration(float64(e.tokens) / s.opts.KVTransferRate * float64(time.Second))
	select {
	case <-s.opts.Clock.After(duration):
	case <-s.http.Closing():
	}
	httpd.WriteJSON(ctx, fasthttp.StatusOK, enginewire.KVAnswer{PromptHash: e.hash, Tokens: e.tokens})
}

// importKV fetches the prompt's KV cache from the engine at KVFrom. If that fails
// or the cache is of another prompt, this engine prefills the prompt.
func (s *Server) importKV(j *job) {
	if j.request.KVFrom == "" {
		return
	}
	client := jsonhttp.New(j.request.KVFrom, jsonhttp.Options{FreshConnections: true})
	var answer enginewire.KVAnswer
	path := enginewire.PathKV + "/" + j.request.RequestID
	err := client.Do(context.Background(), http.MethodGet, path, nil, &answer)
	if err != nil {
		step, peer := steperr.StepAndPeer(err)
		s.opts.Log.WithFields(log.Fields{"engine": s.opts.ID, "step": step, "peer": peer}).WithError(err).Warn("KV cache import failed; prefilling the prompt locally")
		return
	}
	j.imported = answer.PromptHash == j.promptHash && answer.Tokens == j.promptTokens
}

// exportRequestID returns the request ID in an export path.
func exportRequestID(path string) (string, bool) {
	id, ok := strings.CutPrefix(path, enginewire.PathKV+"/")
	return id, ok && id != ""
}
