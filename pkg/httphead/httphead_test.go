package httphead

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/net/http/httpguts"

	"github.com/clementineshed/clementineshed/pkg/standin/badhead"
)

// TestStatusBelow100IsNoAnswer guards against an answer with the status 000, which the
// parser takes as 200, or with another one that HTTP does not know.
func TestStatusBelow100IsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099"} {
		for _, before := range []string{"", "\r\n", "HTTP/1.1 100 Continue\r\n\r\n"} {
			text := before + "HTTP/1.1 " + status + " Unknown\r\nContent-Length: 2\r\n\r\nok"
			for _, r := range []*bufio.Reader{bufio.NewReader(strings.NewReader(text)), bufio.NewReader(iotest.OneByteReader(strings.NewReader(text)))} {
				var head fasthttp.ResponseHeader
				var invalid *InvalidError
				if err := ReadFinal(r, &head); !errors.As(err, &invalid) || invalid.Part != "status line" {
					t.Errorf("%q: got status %d, %v", text, head.StatusCode(), err)
				}
			}
		}
	}
}

// TestInvalidHead guards against an answer whose head, or that of an interim answer before
// it, has an invalid field name or status.
func TestInvalidHead(t *testing.T) {
	for name, text := range badhead.Answers("Content-Type: text/plain\r\n", "ok") {
		for _, before := range []string{"", "\r\n", "\n\r\n"} {
			for _, r := range []*bufio.Reader{bufio.NewReader(strings.NewReader(before + text)), bufio.NewReader(iotest.OneByteReader(strings.NewReader(before + text)))} {
				var head fasthttp.ResponseHeader
				var invalid *InvalidError
				if err := ReadFinal(r, &head); !errors.As(err, &invalid) || invalid.Part == "" {
					t.Errorf("%s, %q before it: got status %d, %v", name, before, head.StatusCode(), err)
				}
			}
		}
	}
}

// TestInvalidErrorNamesTheField guards against an error that does not name the field, or that
// grows with what an endpoint sends.
func TestInvalidErrorNamesTheField(t *testing.T) {
	for name, want := range map[string]string{
		"X\x00 Odd":                 `"X\x00 Odd"`,
		strings.Repeat("a b", 1000): `"` + strings.Repeat("a b", 1000)[:maxQuotedBytes] + `"`,
	} {
		var head fasthttp.ResponseHeader
		err := ReadFinal(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n"+name+": 1\r\n\r\n")), &head)
		if err == nil || !strings.HasSuffix(err.Error(), "invalid field name "+want) {
			t.Errorf("got %v, want %s named", err, want)
		}
	}
}

// TestReadFinal guards against heads that are read wrongly because of their check, and
// against interim answers without end.
func TestReadFinal(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"
	cases := map[string]int{
		"HTTP/1.1 200 OK\r\n\r\n":                                         200,
		"HTTP/1.0 503 Not 000\r\nA: b\r\n\r\n":                            503,
		"HTTP/1.1 200 OK\r\nA!#$%&'*+-.^_`|~9:b : c\r\n\r\n":              200,
		"HTTP/1.1 599 Odd\nA: b\n\r\n\r\n":                                599,
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

// FuzzReadFinal guards against a head that the check takes to end elsewhere than the parser,
// so that fields that are not checked count, and against an invalid name or status.
func FuzzReadFinal(f *testing.F) {
	for _, text := range badhead.Answers("Content-Length: 2\r\n", "ok") {
		f.Add([]byte(text))
	}
	f.Add([]byte("\r\nHTTP/1.1 200 OK\nA: b\r\nC:\r\n\r\nD E: f\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bufio.NewReader(bytes.NewReader(data))
		_, size, err := Check(r)
		if err != nil {
			return
		}
		var head fasthttp.ResponseHeader
		if head.Read(r) != nil {
			return
		}
		if rest, _ := io.ReadAll(r); len(data)-len(rest) != size {
			t.Errorf("the check took %d bytes for the head, the parser %d", size, len(data)-len(rest))
		}
		if head.StatusCode() < 100 || head.StatusCode() > 599 {
			t.Errorf("status %d was accepted", head.StatusCode())
		}
		for name := range head.All() {
			if !httpguts.ValidHeaderFieldName(string(name)) {
				t.Errorf("field %q was accepted", name)
			}
		}
	})
}
