package gate

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/clementineshed/clementineshed/pkg/membudget"
)

// TestEndlessAnswersEnd guards against a service in trouble that sends bytes without end:
// they took the memory budget, or the time of the call until its deadline.
func TestEndlessAnswersEnd(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, answer := range map[string][2]string{
		"no answer":       {"", "nonsense "},
		"status line":     {"HTTP/1.1 200 ", "x"},
		"field":           {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"interim answers": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
		"body":            {"HTTP/1.1 200 OK\r\n\r\n", "x"},
		"chunk size":      {chunked, "0"},
		"chunk extension": {chunked + "5;", "x"},
		"chunks":          {chunked, "5\r\nhello\r\n"},
		"trailer line":    {chunked + "0\r\nX: ", "x"},
		"trailer lines":   {chunked + "0\r\n", "X: y\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := startService(t, func(c net.Conn) {
				_, _ = http.ReadRequest(bufio.NewReader(c))
				_, err := io.WriteString(c, answer[0])
				for block := strings.Repeat(answer[1], 1+8192/len(answer[1])); err == nil; {
					_, err = io.WriteString(c, block)
				}
			})
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			client := NewServiceClient(nil)
			client.answers = membudget.NewAnswers(membudget.New(64 << 20))
			if got, err := client.Call(ctx, address, &ServiceRequest{Method: "GET", URI: "/"}); err == nil || ctx.Err() != nil {
				t.Errorf("got status %d, %v, context %v", got.Status, err, ctx.Err())
			}
		})
	}
}
