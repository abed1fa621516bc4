package gate

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/declaration"
	"github.com/clementineshed/clementineshed/pkg/quarantine"
	"github.com/clementineshed/clementineshed/pkg/refusal"
)

// chatRequest is the part of an OpenAI-compatible chat completion request that
// the gate reads. Unknown fields are ignored: client libraries send many.
type chatRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Stream              bool          `json:"stream"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
}

type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
}

// chatContent is a string or a list of text parts.
type chatContent string

// UnmarshalJSON implements json.Unmarshaler.
func (c *chatContent) UnmarshalJSON(data []byte) error {
	if len(data) == 0 || data[0] != '[' {
		return json.Unmarshal(data, (*string)(c))
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	var text strings.Builder
	for _, part := range parts {
		text.WriteString(part.Text)
	}
	*c = chatContent(text.String())
	return nil
}

// prompt joins the messages into the text that engines receive.
func (r *chatRequest) prompt() string {
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(string(m.Content))
		b.WriteByte('\n')
	}
	return b.String()
}

// maxFeatures bounds the messages that count as parts of a prompt, the earliest first.
const maxFeatures = 32

// features returns what the request may have in common with others that crash engines:
// its messages except the last one, which is its own.
func (r *chatRequest) features() []quarantine.Feature {
	shared := r.Messages[:len(r.Messages)-1]
	features := make([]quarantine.Feature, 0, min(len(shared), maxFeatures))
	for _, m := range shared[:cap(features)] {
		features = append(features, quarantine.Feature(xxhash.Sum64String(r.Model+"\x00"+m.Role+"\x00"+string(m.Content))))
	}
	return features
}

// parseChat decodes and checks a request body. Errors are refusals with ran
// "no".
func parseChat(body []byte, maxOutput int) (*chatRequest, error) {
	var request chatRequest
	if err := json.Unmarshal(body, &request); err != nil {
		return nil, invalidRequest("the body is not a valid chat completion request: " + err.Error())
	}
	if request.Model == "" {
		return nil, invalidRequest(`"model" is missing`)
	}
	if len(request.Messages) == 0 {
		return nil, invalidRequest(`"messages" is empty`)
	}
	if request.MaxTokens == 0 {
		request.MaxTokens = request.MaxCompletionTokens
	}
	if request.MaxTokens < 0 {
		return nil, invalidRequest(`"max_tokens" is negative`)
	}
	if request.MaxTokens == 0 || request.MaxTokens > maxOutput {
		request.MaxTokens = maxOutput
	}
	return &request, nil
}

func invalidRequest(message string) *refusal.Refusal {
	return refusal.NotRun(400, refusal.CodeInvalidRequest, message)
}

// chat serves POST /v1/chat/completions.
func (g *Gate) chat(ctx *fasthttp.RequestCtx, requestID string) error {
	arrived := g.Clock.Now()
	c, err := g.authenticate(ctx)
	if err != nil {
		return err
	}
	request, err := parseChat(ctx.PostBody(), g.Limits.MaxOutputTokens)
	if err != nil {
		return err
	}
	route, ok := g.Config.ModelRoute(request.Model)
	if !ok {
		return refusal.NotRun(404, refusal.CodeUnknownModel, "the model is not served here")
	}
	if err := authorize(c, route); err != nil {
		return err
	}
	s := g.newSession(ctx, requestID, c, route, request)
	s.work.ArrivedAt = arrived
	// The decoded request does not refer to the body.
	ctx.Request.ReleaseBody(0)
	if err := s.takeQuota(); err != nil {
		s.finish(err)
		return err
	}
	if err := s.start(); err != nil {
		s.finish(err)
		return err
	}
	if request.Stream {
		g.streamChat(ctx, s)
		return nil
	}
	return g.completeChat(ctx, s)
}

// newSession returns the session of a chat request and adds it to inflight.
func (g *Gate) newSession(ctx *fasthttp.RequestCtx, requestID string, c caller, route declaration.Route, request *chatRequest) *session {
	class, _ := g.Config.Class(route.Class)
	prompt := request.prompt()
	runCtx, cancel := context.WithCancelCause(context.Background())
	s := &session{
		gate:   g,
		ctx:    runCtx,
		cancel: cancel,
		caller: c,
		route:  route,
		model:  request.Model,
		prompt: prompt,
		work: Work{
			RequestID:  requestID,
			Team:       c.team,
			Class:      class,
			Model:      route.Model,
			Repeatable: true,
			Prompt:     []byte(prompt),
			CacheSalt:  g.cacheSalt(c.team),
			MaxTokens:  request.MaxTokens,
		},
		identity: quarantine.Request{Fingerprint: quarantine.FingerprintOf(c.team, route.Name, ctx.PostBody()), Features: request.features()},
	}
	g.inflight.add(&inflightRequest{id: requestID, caller: c, conn: ctx.Conn(), cancel: cancel})
	return s
}

// cacheSalt separates the prefix caches of teams, because the time to the first
// token reveals what is cached. Teams of one cache group share a cache.
func (g *Gate) cacheSalt(team string) string {
	t, ok := g.Config.Team(team)
	if ok && t.CacheGroup != "" {
		return "group:" + t.CacheGroup
	}
	return "team:" + team
}
