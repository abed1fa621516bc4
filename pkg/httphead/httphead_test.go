package httphead

import (
	"bufio"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// TestStatusBelow100IsNoAnswer guards against an answer with the status 000, which the
// parser takes as 200, or with another one that HTTP does not know.
func TestStatusBelow100IsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099"} {
		for _, before := range []string{"", "\r\n", "HTTP/1.1 100 Continue\r\n\r\n"} {
			text := before + "HTTP/1.1 " + status + " Unknown\r\nContent-Length: 2\r\n\r\nok"
			for _, r := range []*bufio.Reader{bufio.NewReader(strings.NewReader(text)), bufio.NewReader(iotest.OneByteReader(strings.NewReader(text)))} {
				var head fasthttp.ResponseHeader
				if err := ReadFinal(r, &head); !errors.Is(err, ErrInvalidStatus) {
					t.Errorf("%q: got status %d, %v", text, head.StatusCode(), err)
				}
			}
		}
	}
}

// TestReadFinal guards against heads that are read wrongly because of the check of their
// status, and against interim answers without end.
func TestReadFinal(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
	cases := map[string]int{
		"HTTP/1.1 200 OK\r\n\r\n":                                         200,
		"HTTP/1.0 503 Not 000\r\nA: b\r\n\r\n":                            503,
		"HTTP/1.1  404 Not Found\r\nContent-Length: 0\r\n\r\n":            404,
		strings.Repeat(interim, maxInterim) + "HTTP/1.1 204 No\r\n\r\n":   204,
		strings.Repeat(interim, maxInterim+1) + "HTTP/1.1 204 No\r\n\r\n": 0,
		"HTTP/1.1 200":        0,
		"HTTP/1.1 200 OK\r\n": 0,
		"":                    0,
		"garbage\r\n\r\n":     0,
		"HTTP/1.1 200 OK\r\nA: " + strings.Repeat("a", 8<<10) + "\r\n\r\n": 0,
		strings.Repeat("a", 8<<10): 0,
	}
	for text, want := range cases {
		for _, r := range []*bufio.Reader{bufio.NewReader(strings.NewReader(text)), bufio.NewReader(iotest.OneByteReader(strings.NewReader(text)))} {
			var head fasthttp.ResponseHeader
			err := ReadFinal(r, &head)
			if want == 0 && err == nil || want > 0 && (err != nil || head.StatusCode() != want) {
				t.Errorf("%.60q: got status %d, %v, want %d", text, head.StatusCode(), err, want)
			}
		}
	}
}

// TestReadFinalWaitsForNoBody guards against a head that is complete and read only once
// more bytes have come.
func TestReadFinalWaitsForNoBody(t *testing.T) {
	for _, text := range []string{"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"} {
		peer, conn := net.Pipe()
		go func() { _, _ = io.WriteString(peer, text) }()
		if err := conn.SetReadDeadline(time.Now().Add(10 * time.Second)); err != nil {
			t.Fatal(err)
		}
		var head fasthttp.ResponseHeader
		if err := ReadFinal(bufio.NewReader(conn), &head); err != nil {
			t.Errorf("%q: %v", text, err)
		}
		_ = conn.Close()
	}
}
