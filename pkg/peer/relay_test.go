package peer

import (
	"net"
	"sync"
	"testing"
)

// maxDatagramBytes is more than any UDP payload.
const maxDatagramBytes = 1 << 16

// relay forwards UDP datagrams to a target and can drop those of open flows.
type relay struct {
	socket *net.UDPConn
	target string
	wg     sync.WaitGroup

	mu    sync.Mutex
	flows map[string]*flow
}

// flow is one client address with its own socket to the target.
type flow struct {
	out    *net.UDPConn
	silent bool
}

func newRelay(t *testing.T, target string) *relay {
	t.Helper()
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{socket: socket, target: target, flows: map[string]*flow{}}
	r.wg.Go(r.forward)
	t.Cleanup(r.close)
	return r
}

func (r *relay) address() string { return r.socket.LocalAddr().String() }

// silenceOpenFlows drops all further datagrams of the flows open now.
func (r *relay) silenceOpenFlows() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.flows {
		f.silent = true
	}
}

func (r *relay) close() {
	_ = r.socket.Close()
	r.mu.Lock()
	for _, f := range r.flows {
		_ = f.out.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

func (r *relay) forward() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := r.socket.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if f := r.flow(from); f != nil && !r.isSilent(f) {
			_, _ = f.out.Write(buffer[:n])
		}
	}
}

func (r *relay) flow(from *net.UDPAddr) *flow {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f := r.flows[from.String()]; f != nil {
		return f
	}
	conn, err := net.Dial("udp", r.target)
	if err != nil {
		return nil
	}
	f := &flow{out: conn.(*net.UDPConn)}
	r.flows[from.String()] = f
	r.wg.Go(func() { r.forwardReplies(f, from) })
	return f
}

func (r *relay) forwardReplies(f *flow, to *net.UDPAddr) {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, err := f.out.Read(buffer)
		if err != nil {
			return
		}
		if !r.isSilent(f) {
			_, _ = r.socket.WriteToUDP(buffer[:n], to)
		}
	}
}

func (r *relay) isSilent(f *flow) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return f.silent
}
