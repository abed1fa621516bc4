package orders

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/clementineshed/clementineshed/pkg/connstate"
	"github.com/clementineshed/clementineshed/pkg/endpoint"
	"github.com/clementineshed/clementineshed/pkg/enginewire"
	"github.com/clementineshed/clementineshed/pkg/httphead"
	"github.com/clementineshed/clementineshed/pkg/jsonhttp"
	"github.com/clementineshed/clementineshed/pkg/steperr"
)

// HeaderHolder is the request header that names the lease holder. It makes the
// receiver list the connection as one that carries orders.
const HeaderHolder = enginewire.HeaderOrderHolder

// ErrNotListed reports a receiver whose list of order connections lacks the
// holder of the connection that asked for it. Such a list cannot prove that a
// connection has ended.
var ErrNotListed = errors.New("the receiver does not list this connection")

// errStaleConn reports a connection that the receiver has closed, or on which it has sent
// bytes that belong to no request.
var errStaleConn = errors.New("the connection is closed or has unrequested bytes")

// HTTPConn is one connection for sequential HTTP exchanges. It is not safe for
// concurrent use. An HTTP client would pick a connection from its pool; the
// sender of an order has to know which connection carries it and to reset that
// connection.
type HTTPConn struct {
	conn    net.Conn
	r       *bufio.Reader
	w       *bufio.Writer
	address string
	holder  string
	// used says that the connection has carried an exchange.
	used bool
}

// Dial opens a connection to address ("IP:port"). Its requests name holder
// unless that is empty. config is called once for the connection; nil means no
// TLS. The caller closes the connection.
func Dial(ctx context.Context, address, holder string, config func() *tls.Config) (*HTTPConn, error) {
	dialer := &net.Dialer{Timeout: OrderTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, steperr.Wrap(err, "connect", address)
	}
	if config != nil {
		conn = tls.Client(conn, config())
	}
	return &HTTPConn{conn: conn, r: bufio.NewReader(conn), w: bufio.NewWriter(conn), address: address, holder: holder}, nil
}

// DialRegistered is Dial, followed by a request that makes the receiver list
// the connection before any order is written. A later list without holder then
// proves that no order is in transit on the connection. A receiver that does
// not report its connections is accepted without that proof.
func DialRegistered(ctx context.Context, address, holder string, config func() *tls.Config) (*HTTPConn, error) {
	l, err := Dial(ctx, address, holder, config)
	if err != nil {
		return nil, err
	}
	holders, err := l.connectedHolders(ctx)
	if err == nil && !slices.Contains(holders, holder) {
		err = steperr.Wrap(ErrNotListed, "register connection", address)
	}
	if err != nil && !errors.Is(err, ErrNotReported) {
		l.Close()
		return nil, err
	}
	return l, nil
}

// ConnectedHolders asks the receiver at address for the holders with an open order
// connection. Its own connection names no holder and so is not in the list. It
// returns ErrNotReported if the receiver does not implement the request.
func ConnectedHolders(ctx context.Context, address string, config func() *tls.Config) ([]string, error) {
	l, err := Dial(ctx, address, "", config)
	if err != nil {
		return nil, err
	}
	defer l.Close()
	return l.connectedHolders(ctx)
}

func (l *HTTPConn) connectedHolders(ctx context.Context) ([]string, error) {
	var answer enginewire.OrderConnections
	err := l.exchange(ctx, http.MethodGet, enginewire.PathOrderConnections, nil, &answer)
	var status *jsonhttp.StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return nil, ErrNotReported
	}
	if err == nil && answer.Holders == nil {
		err = steperr.Wrap(ErrNotReported, "read order connections", l.address)
	}
	return answer.Holders, err
}

// Close resets the connection. Bytes in the kernel's send buffer are discarded
// instead of being delivered later.
func (l *HTTPConn) Close() {
	raw := l.conn
	if t, ok := raw.(*tls.Conn); ok {
		raw = t.NetConn()
	}
	if t, ok := raw.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = raw.Close()
}

// exchange sends one request and decodes its answer. A *jsonhttp.StatusError is
// an answer. After any other error the receiver may still get the request.
func (l *HTTPConn) exchange(ctx context.Context, method, path string, in, out any) error {
	return steperr.Wrap(l.roundTrip(ctx, method, path, in, out), method+" "+path, l.address)
}

func (l *HTTPConn) roundTrip(ctx context.Context, method, path string, in, out any) error {
	stop := context.AfterFunc(ctx, l.Close)
	defer stop()
	if err := l.conn.SetDeadline(time.Now().Add(OrderTimeout)); err != nil {
		return err
	}
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + l.address + path)
	if l.holder != "" {
		req.Header.Set(HeaderHolder, l.holder)
	}
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return errors.Wrap(err, "encode request")
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	if l.r.Buffered() > 0 || l.used && connstate.Of(l.conn) != connstate.Idle {
		return errStaleConn
	}
	l.used = true
	if err := req.Write(l.w); err != nil {
		return err
	}
	if err := l.w.Flush(); err != nil {
		return err
	}
	if err := httphead.ReadAnswer(l.r, resp, method, 0); err != nil {
		return err
	}
	if code := resp.StatusCode(); code < 200 || code > 299 {
		return &jsonhttp.StatusError{Status: code, Body: append([]byte(nil), resp.Body()...)}
	}
	if out == nil {
		return nil
	}
	return errors.Wrap(json.Unmarshal(resp.Body(), out), "decode answer")
}

// Post sends one order and waits for its answer. Its errors are those of
// EngineConn.Order.
func (l *HTTPConn) Post(ctx context.Context, path string, order any) error {
	return asRefusal(l.exchange(ctx, http.MethodPost, path, order, nil))
}

// asRefusal turns a status error below 500 into a *RefusedError and returns
// other errors unchanged. A 5xx status is no refusal: a proxy may have sent it
// after the receiver had acted.
func asRefusal(err error) error {
	var status *jsonhttp.StatusError
	if !errors.As(err, &status) || status.Status >= 500 {
		return err
	}
	var r enginewire.Refusal
	_ = json.Unmarshal(status.Body, &r)
	return &RefusedError{Code: r.Code, Fence: r.Fence}
}

// HTTPEngines is the HTTP client of the engines' order interface, which
// docs/platform.md describes. It implements Engines.
type HTTPEngines struct {
	// TLS returns the configuration of one connection; nil means no TLS.
	TLS func() *tls.Config
}

// Connect implements Engines. It reads the engine's load report on the same
// connection to learn the instance.
func (h HTTPEngines) Connect(ctx context.Context, ep endpoint.Endpoint, holder string) (EngineConn, error) {
	l, err := DialRegistered(ctx, ep.Address, holder, h.TLS)
	if err != nil {
		return nil, err
	}
	var load endpoint.Load
	if err := l.exchange(ctx, http.MethodGet, enginewire.PathLoad, nil, &load); err != nil {
		l.Close()
		return nil, err
	}
	return &httpEngineConn{HTTPConn: l, instance: load.Instance}, nil
}

// Load implements Engines.
func (h HTTPEngines) Load(ctx context.Context, ep endpoint.Endpoint) (endpoint.Load, error) {
	l, err := Dial(ctx, ep.Address, "", h.TLS)
	if err != nil {
		return endpoint.Load{}, err
	}
	defer l.Close()
	var load endpoint.Load
	err = l.exchange(ctx, http.MethodGet, enginewire.PathLoad, nil, &load)
	return load, err
}

// ConnectedHolders implements Engines.
func (h HTTPEngines) ConnectedHolders(ctx context.Context, ep endpoint.Endpoint) ([]string, error) {
	return ConnectedHolders(ctx, ep.Address, h.TLS)
}

type httpEngineConn struct {
	*HTTPConn
	instance string
}

// Instance implements EngineConn.
func (c *httpEngineConn) Instance() string { return c.instance }

// Order implements EngineConn.
func (c *httpEngineConn) Order(ctx context.Context, order enginewire.Order) error {
	return c.Post(ctx, enginewire.PathOrders, order)
}
