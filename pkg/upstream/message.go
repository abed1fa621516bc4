package upstream

import (
	"net"
	"strconv"
	"strings"
	"time"
)

// Field is one header field.
type Field struct{ Name, Value string }

// Fields is a header in the order in which it is sent.
type Fields []Field

// Get returns the value of the first field with the name, ignoring case.
func (f Fields) Get(name string) string {
	for _, field := range f {
		if strings.EqualFold(field.Name, name) {
			return field.Value
		}
	}
	return ""
}

// hopByHop are the fields that concern one connection only (RFC 9110, 7.6.1),
// and those that frame a body.
var hopByHop = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "te": true,
	"trailer": true, "transfer-encoding": true, "upgrade": true, "content-length": true,
	"proxy-authenticate": true, "proxy-authorization": true, "expect": true,
}

// EndToEnd returns the fields that are passed on to the next hop: without the
// hop-by-hop ones and those that a Connection field names.
func (f Fields) EndToEnd() Fields {
	listed := map[string]bool{}
	for _, field := range f {
		if !strings.EqualFold(field.Name, "connection") {
			continue
		}
		for name := range strings.SplitSeq(field.Value, ",") {
			listed[strings.ToLower(strings.TrimSpace(name))] = true
		}
	}
	kept := make(Fields, 0, len(f)+4)
	for _, field := range f {
		if name := strings.ToLower(field.Name); !hopByHop[name] && !listed[name] {
			kept = append(kept, field)
		}
	}
	return kept
}

// Without returns the fields whose names are not listed, ignoring case.
func (f Fields) Without(names ...string) Fields {
	kept := make(Fields, 0, len(f))
	for _, field := range f {
		drop := false
		for _, name := range names {
			drop = drop || strings.EqualFold(field.Name, name)
		}
		if !drop {
			kept = append(kept, field)
		}
	}
	return kept
}

// Request is a request to send. It is not changed by sending.
type Request struct {
	Method string
	// Target is the request target as the caller sent it, with its query.
	Target string
	Host   string
	Fields Fields
	// FieldsAtSend, if set, returns the fields once the connection is open, instead of
	// Fields: they may state the time that is left.
	FieldsAtSend func() Fields
	Body         []byte
	// HeadTimeout bounds the time from the send to the head of the answer, in
	// addition to the context's deadline; zero means no bound.
	HeadTimeout time.Duration
	// OnSilence is called when HeadTimeout has passed. It returns how much longer to
	// wait for the head; zero or nil ends the exchange with ErrAnswerTimeout.
	OnSilence func() time.Duration
	// NewConn asks for a new connection: the peer may be closing a reused one, and
	// a reset would leave unknown whether the request ran.
	NewConn bool
	// MaxIdle bounds the idle connections that are kept to the peer, if it is less than
	// Options.MaxIdle; zero means no further bound.
	MaxIdle int
	// Belongs reports whether an answer, whose head has been read, belongs to the
	// request; nil if that cannot be told.
	Belongs func(*Answer) bool
}

// maxJoinedBody is the largest body that is copied behind the head, to be sent in the
// same packet. Larger ones are sent from their own buffer.
const maxJoinedBody = 4 << 10

// maxWriteBytes bounds the part of a body that is handed to the kernel at once, so that
// the progress of a long upload can be seen.
const maxWriteBytes = 64 << 10

// writeTo sends the request.
func (r *Request) writeTo(cn *conn) error {
	message := net.Buffers{r.encode()}
	body := r.Body
	if len(body) <= maxJoinedBody {
		body = nil
	}
	for {
		piece := body[:min(len(body), maxWriteBytes)]
		body = body[len(piece):]
		if len(piece) > 0 {
			message = append(message, piece)
		}
		n, err := message.WriteTo(cn.Conn)
		cn.written.Add(n)
		if err != nil || len(body) == 0 {
			return err
		}
		message = message[:0]
	}
}

// encode returns the request as it is sent, without a body that is larger than
// maxJoinedBody. It has a Content-Length if it has a body or its method implies one.
func (r *Request) encode() []byte {
	b := make([]byte, 0, 512+min(len(r.Body), maxJoinedBody))
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	b = appendField(b, "Host", r.Host)
	fields := r.Fields
	if r.FieldsAtSend != nil {
		fields = r.FieldsAtSend()
	}
	for _, f := range fields {
		if !strings.EqualFold(f.Name, "host") {
			b = appendField(b, f.Name, f.Value)
		}
	}
	if len(r.Body) > 0 || r.Method != "GET" && r.Method != "HEAD" && r.Method != "DELETE" {
		b = appendField(b, "Content-Length", strconv.Itoa(len(r.Body)))
	}
	b = append(b, "\r\n"...)
	if len(r.Body) > maxJoinedBody {
		return b
	}
	return append(b, r.Body...)
}

func appendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}
