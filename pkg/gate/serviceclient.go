package gate

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"mime"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/connstate"
	"github.com/clementineshed/clementineshed/pkg/descriptors"
	"github.com/clementineshed/clementineshed/pkg/httphead"
	"github.com/clementineshed/clementineshed/pkg/jsonhttp"
	"github.com/clementineshed/clementineshed/pkg/membudget"
	"github.com/clementineshed/clementineshed/pkg/retryafter"
	"github.com/clementineshed/clementineshed/pkg/steperr"
)

// HeaderBodyOmitted marks the answer to a retried request whose first answer
// had a body too large to keep. The status is that of the first answer.
const HeaderBodyOmitted = "X-Body-Omitted"

// Headers that a service receives besides the caller's Content-Type.
const (
	HeaderRequestID      = "X-Request-Id"
	HeaderTeam           = "X-Team"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	serviceDialTimeout = time.Second
	// serviceDefaultTimeout applies when the class has no completion limit.
	serviceDefaultTimeout = 30 * time.Second
	// serviceMaxAnswerBytes bounds an answer, which is held in memory.
	serviceMaxAnswerBytes = 8 << 20
)

// ServiceClient calls plain services. Each call opens a new connection: if the
// service closed a reused one, it would be unknown whether the call ran. The
// client never retries a call. It is safe for concurrent use.
type ServiceClient struct {
	tlsConfig func() *tls.Config
	// freeDescriptor closes a connection that can be spared and reports whether there was
	// one; nil before New of a gate.
	freeDescriptor func() bool
	// answers bounds the answers that are being read; nil before New of a gate.
	answers *membudget.Answers
}

// chargedConn charges what is read of an answer, and again as much for the growth of the
// buffer that it is read into.
type chargedConn struct {
	net.Conn
	answer *membudget.Answer
	done   <-chan struct{}
	// mayRead is how many bytes may still be read.
	mayRead int
}

// errEndless reports an answer with more bytes than the largest body and as many of framing.
var errEndless = errors.New("the answer is too long")

// Read implements net.Conn.
func (c *chargedConn) Read(p []byte) (int, error) {
	if c.mayRead <= 0 {
		return 0, errEndless
	}
	n, err := c.Conn.Read(p)
	if c.mayRead -= n; n > 0 {
		if takeErr := c.answer.Take(2*n, c.done); takeErr != nil {
			return 0, takeErr
		}
	}
	return n, err
}

// NewServiceClient returns a client. It calls tlsConfig for each connection; nil
// disables TLS.
func NewServiceClient(tlsConfig func() *tls.Config) *ServiceClient {
	return &ServiceClient{tlsConfig: tlsConfig}
}

// Call sends the request to the service at address and returns the complete
// answer. Errors carry the step and the peer; the cause is a
// *jsonhttp.NotSentError when the service has not seen the request.
func (c *ServiceClient) Call(ctx context.Context, address string, request *ServiceRequest) (ServiceAnswer, error) {
	answer, err := c.call(ctx, address, request)
	return answer, steperr.Wrap(err, "call service", address)
}

func (c *ServiceClient) call(ctx context.Context, address string, request *ServiceRequest) (answer ServiceAnswer, err error) {
	dialer := &net.Dialer{Timeout: serviceDialTimeout}
	conn, err := descriptors.Retry(c.freeDescriptor, func() (net.Conn, error) { return dialer.DialContext(ctx, "tcp", address) })
	if err != nil {
		return ServiceAnswer{}, &jsonhttp.NotSentError{Err: err}
	}
	stream := conn
	// A call that is given up must not reach the service later.
	reset := func() { _ = connstate.Reset(conn) }
	defer func() {
		if err != nil {
			reset()
			return
		}
		_ = stream.Close()
	}()
	if c.tlsConfig != nil {
		tlsConn := tls.Client(conn, c.tlsConfig())
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			return ServiceAnswer{}, &jsonhttp.NotSentError{Err: err}
		}
		stream = tlsConn
	}
	charge := c.answers.Begin()
	defer charge.Release()
	stop := context.AfterFunc(ctx, reset)
	defer stop()
	if err := ctx.Err(); err != nil {
		return ServiceAnswer{}, &jsonhttp.NotSentError{Err: err}
	}
	return exchange(ctx, &chargedConn{Conn: stream, answer: charge, done: ctx.Done(), mayRead: 2 * serviceMaxAnswerBytes}, address, request)
}

func exchange(ctx context.Context, conn net.Conn, address string, request *ServiceRequest) (ServiceAnswer, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(serviceDefaultTimeout)
	}
	if err := conn.SetDeadline(deadline); err != nil {
		return ServiceAnswer{}, &jsonhttp.NotSentError{Err: err}
	}
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(request.Method)
	req.SetRequestURI(request.URI)
	req.Header.SetHost(address)
	// The service gets the normalized path, by which the route was found.
	req.SetRequestURIBytes(req.URI().RequestURI())
	req.SetConnectionClose()
	setNonEmpty(req, HeaderRequestID, request.RequestID)
	setNonEmpty(req, HeaderTeam, request.Team)
	setNonEmpty(req, HeaderIdempotencyKey, request.IdempotencyKey)
	setNonEmpty(req, fasthttp.HeaderContentType, request.ContentType)
	req.SetBodyRaw(request.Body)
	if err := writeRequest(conn, req); err != nil {
		return ServiceAnswer{}, errors.Wrap(err, "write request")
	}
	if err := httphead.ReadAnswer(bufio.NewReader(conn), resp, request.Method, serviceMaxAnswerBytes); err != nil {
		return ServiceAnswer{}, errors.Wrap(err, "read answer")
	}
	if brokenEventStream(&resp.Header, resp.Body()) {
		return ServiceAnswer{}, errors.New("the stream of events ended inside an event")
	}
	return ServiceAnswer{
		Status:      resp.StatusCode(),
		ContentType: string(resp.Header.ContentType()),
		RetryAfter:  retryafter.OfResponse(resp, time.Now()),
		// The buffer is not used again for another answer.
		Body: resp.SwapBody(nil),
	}, nil
}

// writeRequest sends a request completely. After an error no answer may be read: once a
// write has reported a reset, reads no longer do, and what has come of an answer that ends
// with its connection looks complete.
func writeRequest(conn net.Conn, req *fasthttp.Request) error {
	w := bufio.NewWriter(conn)
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}

// brokenEventStream reports whether a body is a stream of server-sent events that does not
// end with an empty line: the service failed inside an event, and the framing of the
// answer need not show it.
func brokenEventStream(header *fasthttp.ResponseHeader, body []byte) bool {
	mediaType, _, err := mime.ParseMediaType(string(header.ContentType()))
	if err != nil || mediaType != "text/event-stream" || len(body) == 0 {
		return false
	}
	return !bytes.HasSuffix(body, []byte("\n\n")) && !bytes.HasSuffix(body, []byte("\r\n\r\n")) && !bytes.HasSuffix(body, []byte("\r\r"))
}

func setNonEmpty(req *fasthttp.Request, name, value string) {
	if value != "" {
		req.Header.Set(name, value)
	}
}
