package tunnel

import (
	"bufio"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/connstate"
)

// maxHeadBytes bounds the beginning of an answer that is given to OnAnswer.
const maxHeadBytes = 4 << 10

// tunnel is a tunnel that this host carries for another one.
type tunnel struct {
	server *Server
	// asking is the connection to the host that asked, endpoint that to the endpoint.
	asking net.Conn

	mu sync.Mutex
	// The fields below are guarded by mu.
	endpoint net.Conn
	closed   bool
}

// reset ends the tunnel and drops what has not arrived.
func (t *tunnel) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	_ = connstate.Reset(t.asking)
	if t.endpoint != nil {
		_ = connstate.Reset(t.endpoint)
	}
}

// setEndpoint sets the connection to the endpoint. It reports false if the tunnel has been
// reset.
func (t *tunnel) setEndpoint(nc net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endpoint = nc
	return !t.closed
}

// serve carries the tunnel to its end.
func (t *tunnel) serve() {
	defer func() { _ = t.asking.Close() }()
	probeAskingHost(t.asking)
	r, endpoint, req, outcome := t.server.accept(t.asking)
	if outcome != Opened {
		t.server.refuse(t.asking, outcome)
		return
	}
	if !t.setEndpoint(endpoint) || writeLine(t.asking, openAnswer{Outcome: Opened}) != nil || t.asking.SetDeadline(time.Time{}) != nil {
		t.reset()
		return
	}
	t.server.served.Add(1)
	life := defaultLife
	if req.LifeMillis > 0 {
		life = time.Duration(req.LifeMillis)*time.Millisecond + lifeMargin
	}
	timer := time.AfterFunc(life, t.reset)
	defer timer.Stop()
	var sent atomic.Int64
	watch := newAckWatch(t, endpoint, &sent)
	defer watch.stop()
	var wg sync.WaitGroup
	wg.Go(func() { t.carryRequest(r, endpoint, &sent) })
	t.carryAnswer(endpoint, req.Address, watch)
	wg.Wait()
}

// carryRequest passes on what the asking host sends, until it ends the exchange.
func (t *tunnel) carryRequest(r *bufio.Reader, endpoint net.Conn, written *atomic.Int64) {
	buf := make([]byte, maxFrameBytes)
	for {
		n, err := r.Read(buf)
		if n > 0 {
			if _, err := endpoint.Write(buf[:n]); err != nil {
				t.reset()
				return
			}
			written.Add(int64(n))
		}
		if err == nil {
			continue
		}
		// The asking host does not shut down one side alone: its answer is complete, or it
		// has given up. What waits to be sent must not arrive after that.
		if unacknowledged, queueErr := connstate.Unacknowledged(endpoint); !errors.Is(err, io.EOF) || queueErr != nil || unacknowledged > 0 {
			t.reset()
			return
		}
		_ = endpoint.Close()
		return
	}
}

// carryAnswer passes on what the endpoint sends, in frames. The end of the answer is marked
// only if the endpoint has ended it in order.
func (t *tunnel) carryAnswer(endpoint net.Conn, address string, watch *ackWatch) {
	buf := make([]byte, maxFrameBytes)
	observer := answerObserver{address: address, onAnswer: t.server.opts.OnAnswer}
	for {
		n, err := endpoint.Read(buf)
		if n > 0 {
			watch.stop()
			observer.add(buf[:n])
			if writeFrame(t.asking, buf[:n]) != nil {
				t.reset()
				return
			}
		}
		switch {
		case err == nil:
			continue
		case !errors.Is(err, io.EOF) || writeFrame(t.asking, nil) != nil:
			t.reset()
		}
		// The asking host closes a tunnel whose answer has ended.
		return
	}
}

// answerObserver shows the beginning of an answer to a function until it has seen enough.
type answerObserver struct {
	address  string
	onAnswer func(address string, head []byte) (done bool)
	head     []byte
	done     bool
}

func (o *answerObserver) add(data []byte) {
	if o.done {
		return
	}
	o.head = append(o.head, data[:min(len(data), maxHeadBytes-len(o.head))]...)
	if o.done = o.onAnswer(o.address, o.head) || len(o.head) == maxHeadBytes; o.done {
		o.head = nil
	}
}

// ackWatch resets a tunnel if the endpoint acknowledges nothing of what is on its way to
// it. It ends with the first byte of the answer: an endpoint that answers early need not
// read the rest of a long request.
type ackWatch struct {
	t        *tunnel
	endpoint net.Conn
	written  *atomic.Int64
	progress connstate.AckProgress
	done     chan struct{}
	stopOnce sync.Once
	wg       sync.WaitGroup
}

func newAckWatch(t *tunnel, endpoint net.Conn, written *atomic.Int64) *ackWatch {
	w := &ackWatch{t: t, endpoint: endpoint, written: written, done: make(chan struct{}), progress: connstate.NewAckProgress(0, time.Now())}
	w.wg.Go(w.run)
	return w
}

func (w *ackWatch) stop() {
	w.stopOnce.Do(func() { close(w.done) })
	w.wg.Wait()
}

func (w *ackWatch) run() {
	ticker := time.NewTicker(ackCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.done:
			return
		case now := <-ticker.C:
			unacknowledged, err := connstate.Unacknowledged(w.endpoint)
			if err == nil && w.progress.Stalled(w.written.Load(), unacknowledged, now, ackTimeout) {
				w.t.reset()
				return
			}
		}
	}
}
