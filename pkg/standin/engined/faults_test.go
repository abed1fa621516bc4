package engined

import (
	"bufio"
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/enginewire"
	"github.com/clementineshed/clementineshed/pkg/jsonhttp"
	"github.com/clementineshed/clementineshed/pkg/standin/httpd"
)

// Guards against MuteOpen ending the open stream or muting new connections.
func TestOpenStreamGoesSilentWhileNewOnesWork(t *testing.T) {
	opts := fastOptions
	opts.StreamRate = 50
	s := startServer(t, opts)
	response, err := post(t, s, enginewire.PathGenerate, enginewire.GenerateRequest{Model: "m", Prompt: "p"})
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	lines := bufio.NewReader(response.Body)
	if _, err := lines.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	s.MuteOpen()
	read := make(chan error, 1)
	go func() {
		var err error
		for err == nil {
			_, err = lines.ReadString('\n')
		}
		read <- err
	}()
	request := enginewire.GenerateRequest{Model: "m", Prompt: "p", MaxTokens: 2}
	if text, _, _, err := readStream(t, s, request); err != nil || text != Answer("p", 2) {
		t.Fatalf("new connection: %q, %v", text, err)
	}
	select {
	case err := <-read:
		t.Fatalf("the muted stream ended: %v", err)
	case <-time.After(100 * time.Millisecond):
	}
	s.Crash()
	<-read
}

// Guards against faults that block the control endpoint, and against a journal
// without headers, which would hide a leaked key.
func TestControlAnswersDuringFaults(t *testing.T) {
	s := startServer(t, fastOptions)
	c := jsonhttp.New(s.Address(), jsonhttp.Options{Timeout: 100 * time.Millisecond, FreshConnections: true})
	ctx := context.Background()
	faults := Faults{Faults: httpd.Faults{Outage: httpd.OutageSilent}}
	if err := c.Do(ctx, http.MethodPost, "/control/faults", faults, nil); err != nil {
		t.Fatal(err)
	}
	if err := c.Do(ctx, http.MethodGet, enginewire.PathLoad, nil, nil); err == nil {
		t.Fatal("the silent engine answered")
	}
	if err := c.Do(ctx, http.MethodPost, "/control/faults", Faults{Refuse: true}, nil); err != nil {
		t.Fatal(err)
	}
	request := enginewire.GenerateRequest{RequestID: "r", Model: "m", Prompt: "p"}
	if err := c.Do(ctx, http.MethodPost, enginewire.PathGenerate, request, nil); err == nil {
		t.Fatal("the refusing engine accepted a request")
	}
	var journal []Entry
	if err := c.Do(ctx, http.MethodGet, "/control/journal", nil, &journal); err != nil {
		t.Fatal(err)
	}
	if len(journal) != 1 || journal[0].Refused != enginewire.CodeOverloaded || journal[0].Headers["Content-Type"] == "" {
		t.Fatalf("%+v", journal)
	}
}

// Guards against load reports without delay, and reports that never catch up.
func TestLoadReportLags(t *testing.T) {
	opts := fastOptions
	opts.LoadLag = 80 * time.Millisecond
	s := startServer(t, opts)
	s.Drain()
	if s.delayedLoad().Draining {
		t.Fatal("the report shows the drain without delay")
	}
	time.Sleep(opts.LoadLag)
	if !s.delayedLoad().Draining {
		t.Fatal("the report does not show the drain after LoadLag")
	}
}
