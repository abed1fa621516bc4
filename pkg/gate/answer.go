package gate

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"

	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/enginewire"
	"github.com/clementineshed/clementineshed/pkg/refusal"
)

// chatChunk is one event of a streamed answer.
type chatChunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []chunkChoice `json:"choices"`
	Usage   *chatUsage    `json:"usage,omitempty"`
}

type chunkChoice struct {
	Index        int        `json:"index"`
	Delta        chunkDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
}

type chunkDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content,omitempty"`
}

type chatUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// chatAnswer is an answer that is not streamed.
type chatAnswer struct {
	ID      string         `json:"id"`
	Object  string         `json:"object"`
	Created int64          `json:"created"`
	Model   string         `json:"model"`
	Choices []answerChoice `json:"choices"`
	Usage   chatUsage      `json:"usage"`
}

type answerChoice struct {
	Index        int           `json:"index"`
	Message      answerMessage `json:"message"`
	FinishReason string        `json:"finish_reason"`
}

type answerMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func usageOf(e enginewire.Event) chatUsage {
	return chatUsage{
		PromptTokens:     e.PromptTokens,
		CompletionTokens: e.OutputTokens,
		TotalTokens:      e.PromptTokens + e.OutputTokens,
	}
}

// streamChat answers with server-sent events. Only a complete answer ends with
// "[DONE]". One that fails ends with an error event and without the end of the body,
// so that HTTP clients that read no events see that it is incomplete.
func (g *Gate) streamChat(ctx *fasthttp.RequestCtx, s *session) {
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-store")
	created := g.Clock.Now().Unix()
	body, w := io.Pipe()
	ctx.SetBodyStream(body, -1)
	go func() {
		err := s.streamTo(bufio.NewWriter(w), created)
		s.finish(err)
		_ = w.CloseWithError(err)
	}()
}

// streamTo writes the events of the session as they arrive. A caller that does
// not read blocks the write and so the reads from the engine (back-pressure).
func (s *session) streamTo(w *bufio.Writer, created int64) error {
	chunk := chatChunk{ID: s.work.RequestID, Object: "chat.completion.chunk", Created: created, Model: s.model}
	delta := chunkDelta{Role: "assistant"}
	for {
		event, err := s.nextEvent()
		if err != nil {
			r := refusal.From(err)
			_, _ = w.WriteString("data: ")
			_, _ = w.Write(r.JSON(s.work.RequestID))
			_, _ = w.WriteString("\n\n")
			_ = w.Flush()
			return err
		}
		delta.Content = event.Token
		choice := chunkChoice{Delta: delta}
		if event.Done {
			choice.FinishReason = &event.FinishReason
			usage := usageOf(event)
			chunk.Usage = &usage
		}
		chunk.Choices = []chunkChoice{choice}
		if err := writeEvent(w, chunk, event.Done); err != nil {
			return refusal.Unknown(499, refusal.CodeCallerGone, "the caller stopped reading").WithCause(err)
		}
		if event.Done {
			return nil
		}
		delta.Role = ""
	}
}

func writeEvent(w *bufio.Writer, chunk chatChunk, last bool) error {
	data, err := json.Marshal(chunk)
	if err != nil {
		return err
	}
	_, _ = w.WriteString("data: ")
	_, _ = w.Write(data)
	_, _ = w.WriteString("\n\n")
	if last {
		_, _ = w.WriteString("data: [DONE]\n\n")
	}
	return w.Flush()
}

// completeChat answers with one JSON document.
func (g *Gate) completeChat(ctx *fasthttp.RequestCtx, s *session) error {
	var text strings.Builder
	for {
		event, err := s.nextEvent()
		if err != nil {
			s.finish(err)
			return err
		}
		text.WriteString(event.Token)
		if !event.Done {
			continue
		}
		body, err := json.Marshal(chatAnswer{
			ID:      s.work.RequestID,
			Object:  "chat.completion",
			Created: g.Clock.Now().Unix(),
			Model:   s.model,
			Choices: []answerChoice{{
				Message:      answerMessage{Role: "assistant", Content: text.String()},
				FinishReason: event.FinishReason,
			}},
			Usage: usageOf(event),
		})
		s.finish(err)
		if err != nil {
			return err
		}
		ctx.SetContentType("application/json")
		ctx.Response.SetBodyRaw(body)
		return nil
	}
}
