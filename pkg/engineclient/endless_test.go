package engineclient

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/enginewire"
)

// TestEndlessBytesEndTheStream guards against an engine in trouble that sends bytes without
// an event, in any part of its answer, and occupies the request until its caller leaves.
func TestEndlessBytesEndTheStream(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, tt := range map[string]struct {
		head, text string
		done       bool
	}{
		"no answer":            {"", "nonsense ", false},
		"field":                {"HTTP/1.1 200 OK\r\nX: ", "x", false},
		"interim answers":      {"", "HTTP/1.1 103 Early Hints\r\n\r\n", false},
		"line":                 {"HTTP/1.1 200 OK\r\n\r\ndata: ", "x", false},
		"lines":                {"HTTP/1.1 200 OK\r\n\r\n", ": comment\n", false},
		"chunk extension":      {chunked + "5;", "x", false},
		"chunks":               {chunked, "2\r\n:\n\r\n", false},
		"after the last event": {"HTTP/1.1 200 OK\r\n\r\n%s", ": comment\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := startEngine(t, func(c net.Conn, _ int, id string) bool {
				head := strings.ReplaceAll(tt.head, "%s", fmt.Sprintf("data: {\"request_id\":%q,\"done\":true}\n\n", id))
				_, err := io.WriteString(c, head)
				for block := strings.Repeat(tt.text, 1+8192/len(tt.text)); err == nil; {
					_, err = io.WriteString(c, block)
				}
				return false
			})
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			s, err := newClient(t).Generate(ctx, address, enginewire.GenerateRequest{RequestID: "r-1"}, nil)
			done := false
			if err == nil {
				event, nextErr := s.Next()
				err, done = nextErr, event.Done
				s.Close()
			}
			if ctx.Err() != nil || (err == nil) != tt.done || done != tt.done {
				t.Errorf("got done %v, %v, context %v", done, err, ctx.Err())
			}
		})
	}
}
