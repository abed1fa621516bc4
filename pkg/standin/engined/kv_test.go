package engined

import (
	"strings"
	"testing"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/enginewire"
	"github.com/clementineshed/clementineshed/pkg/prefix"
)

// Guards against engines that accept requests of another role, a decode engine
// that prefills although it could import the KV cache, and a lost answer when the
// exporting engine has crashed.
func TestPrefillAndDecodeOnSeparateEngines(t *testing.T) {
	opts := fastOptions
	opts.Role = endpoint.RolePrefill
	prefill := startServer(t, opts)
	opts.Role = endpoint.RoleDecode
	decode := startServer(t, opts)
	prompt := strings.Repeat("p", 2*prefix.ChunkBytes)
	first := enginewire.GenerateRequest{RequestID: "r", Model: "m", Prompt: prompt, MaxTokens: 1}
	rest := enginewire.GenerateRequest{RequestID: "r", Model: "m", Prompt: prompt, SkipTokens: 1}
	if _, last, _, _ := readStream(t, prefill, rest); last.Done || prefill.Journal()[0].Refused != enginewire.CodeWrongRole {
		t.Fatalf("%+v", prefill.Journal())
	}
	if _, last, _, _ := readStream(t, decode, rest); last.Done || decode.Journal()[0].Refused != enginewire.CodeWrongRole {
		t.Fatalf("%+v", decode.Journal())
	}
	head, _, _, err := readStream(t, prefill, first)
	if err != nil {
		t.Fatal(err)
	}
	rest.KVFrom = prefill.Address()
	tail, last, _, err := readStream(t, decode, rest)
	if err != nil || head+tail != Answer(prompt, 0) || last.CachedTokens != last.PromptTokens-1 {
		t.Fatalf("%q, %+v, %v", head+tail, last, err)
	}
	prefill.Crash()
	rest.RequestID = "other"
	rest.Prompt = strings.Repeat("q", 2*prefix.ChunkBytes)
	tail, last, _, err = readStream(t, decode, rest)
	if err != nil || Token(rest.Prompt, 0)+tail != Answer(rest.Prompt, 0) || last.CachedTokens != 0 {
		t.Fatalf("after the exporting engine crashed: %q, %+v, %v", tail, last, err)
	}
}

// Guards against KV memory that is counted twice or never freed, which would
// keep requests out of the batch.
func TestKVMemoryIsFreed(t *testing.T) {
	s := startServer(t, fastOptions)
	prompt := strings.Repeat("p", 3*prefix.ChunkBytes)
	for range 3 {
		if _, _, _, err := readStream(t, s, enginewire.GenerateRequest{RequestID: "r", Model: "m", Prompt: prompt}); err != nil {
			t.Fatal(err)
		}
	}
	// The last stream can end just before its step removes the job.
	s.step(0)
	if load := s.Load(); load.KVTokensUsed != 3*prefix.ChunkTokens {
		t.Fatalf("%d tokens used", load.KVTokensUsed)
	}
}
