package e2e

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/refusal"
	"github.com/clementineshed/clementineshed/pkg/standin/engined"
	"github.com/clementineshed/clementineshed/pkg/standin/orderd"
)

// callerTimeout exceeds every latency target that is declared.
const callerTimeout = 20 * time.Second

// Answer is the outcome of a caller's request.
type Answer struct {
	// Status is the HTTP status, or 0 without a response.
	Status int
	// Body is the response body, or the joined tokens of a stream.
	Body string
	// Code and Ran are those of a refusal, whether it is the response or ends a
	// stream. Ran is RanNo if the connection could not be opened.
	Code string
	Ran  refusal.Ran
	// RequestID is empty without a response.
	RequestID string
	// Complete reports whether a stream ended with its [DONE] event.
	Complete bool
	// EndedAt is the time at which a stream ended.
	EndedAt time.Time
}

// OK reports whether the request was served. A stream that broke off has a Code.
func (a Answer) OK() bool { return a.Status == http.StatusOK && a.Code == "" }

// Order sends a shipment to the order service through the host.
func (h *Host) Order(key, idempotencyKey, body string) Answer {
	headers := map[string]string{"Authorization": "Bearer " + key, "Idempotency-Key": idempotencyKey}
	return readAnswer(Send(h.CallerAddress, orderd.DefaultPrefix+"shipments", headers, body))
}

// Send posts body once over a new connection. The caller closes the response.
func Send(address, path string, headers map[string]string, body string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: callerTimeout}
	return client.Do(req)
}

func transportFailure(err error) Answer {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return Answer{Ran: refusal.RanNo, Code: "not_connected"}
	}
	return Answer{Ran: refusal.RanUnknown, Code: "no_answer"}
}

func readAnswer(resp *http.Response, err error) Answer {
	if err != nil {
		return transportFailure(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return transportFailure(err)
	}
	a := Answer{Status: resp.StatusCode, Body: string(data), RequestID: resp.Header.Get("X-Request-Id")}
	if a.Status != http.StatusOK {
		a.setRefusal(data)
	}
	return a
}

// setRefusal reads a refusal from data. After any other body, Ran is unknown.
func (a *Answer) setRefusal(data []byte) {
	var refused refusal.Body
	if json.Unmarshal(data, &refused) != nil || refused.Error.Code == "" {
		refused.Error = refusal.BodyError{Code: "not_a_refusal", Ran: refusal.RanUnknown}
	}
	a.Code, a.Ran = refused.Error.Code, refused.Error.Ran
	if refused.Error.RequestID != "" {
		a.RequestID = refused.Error.RequestID
	}
}

// Stream is a streamed chat completion that may still run. It is safe for
// concurrent use.
type Stream struct {
	// Want is the complete correct answer.
	Want string

	tokens atomic.Int64
	ended  chan struct{}
	answer Answer
}

// LongPrompt returns a prompt that begins with start and whose answer has more
// than engined.MaxLength-20 tokens.
func LongPrompt(start string) string {
	for n := 0; ; n++ {
		prompt := fmt.Sprint(start, " ", n)
		if engined.AnswerTokens("user: "+prompt+"\n", 0) > engined.MaxAnswerTokens-20 {
			return prompt
		}
	}
}

// Chat starts a streamed chat completion through the host.
func (h *Host) Chat(key, prompt string, maxTokens int) *Stream {
	s := &Stream{Want: engined.Answer("user: "+prompt+"\n", maxTokens), ended: make(chan struct{})}
	body, _ := json.Marshal(map[string]any{
		"model": ModelRoute, "stream": true, "max_tokens": maxTokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	go func() {
		defer close(s.ended)
		defer func() { s.answer.EndedAt = time.Now() }()
		s.readEvents(Send(h.CallerAddress, "/v1/chat/completions", map[string]string{"Authorization": "Bearer " + key}, string(body)))
	}()
	return s
}

func (s *Stream) readEvents(resp *http.Response, err error) {
	if err != nil || resp.StatusCode != http.StatusOK {
		s.answer = readAnswer(resp, err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	s.answer = Answer{Status: resp.StatusCode, RequestID: resp.Header.Get("X-Request-Id")}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if ok {
			s.handleEvent(data)
		}
	}
	if !s.answer.Complete && s.answer.Code == "" {
		s.answer.Code, s.answer.Ran = "no_end", refusal.RanUnknown
	}
}

func (s *Stream) handleEvent(data string) {
	var chunk struct {
		Choices []struct{ Delta struct{ Content string } }
		Error   *refusal.BodyError
	}
	switch {
	case data == "[DONE]":
		s.answer.Complete = true
	case json.Unmarshal([]byte(data), &chunk) != nil:
		s.answer.Code, s.answer.Ran = "not_an_event", refusal.RanUnknown
	case chunk.Error != nil:
		s.answer.Code, s.answer.Ran = chunk.Error.Code, chunk.Error.Ran
	default:
		for _, c := range chunk.Choices {
			s.answer.Body += c.Delta.Content
			s.tokens.Add(1)
		}
	}
}

// Tokens returns the number of tokens received so far.
func (s *Stream) Tokens() int64 { return s.tokens.Load() }

// Wait returns the answer, or false if the stream still runs after limit.
func (s *Stream) Wait(limit time.Duration) (Answer, bool) {
	select {
	case <-s.ended:
		return s.answer, true
	case <-time.After(limit):
		return Answer{}, false
	}
}

// WaitCorrect reports whether the stream ends within limit with the complete
// correct answer.
func (s *Stream) WaitCorrect(limit time.Duration) bool {
	a, ended := s.Wait(limit)
	return ended && a.OK() && a.Complete && a.Body == s.Want
}
