package faultproxy

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/jsonhttp"
)

// echoServer answers each line with itself and counts the lines.
type echoServer struct {
	listener net.Listener
	lines    atomic.Int64
}

func startEchoServer(t *testing.T) *echoServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	result := &echoServer{listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go result.echo(conn)
		}
	}()
	return result
}

func (server *echoServer) echo(conn net.Conn) {
	defer conn.Close()
	lines := bufio.NewScanner(conn)
	for lines.Scan() {
		server.lines.Add(1)
		_, _ = conn.Write(append(lines.Bytes(), '\n'))
	}
}

func startTCP(t *testing.T) (*TCP, *echoServer) {
	t.Helper()
	server := startEchoServer(t)
	p, err := ListenTCP("127.0.0.1:0", server.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = p.Close() })
	return p, server
}

func dial(t *testing.T, network, address string) net.Conn {
	t.Helper()
	conn, err := net.Dial(network, address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// sendLine sends a line and reports whether its echo arrived within 150 ms, and
// whether the connection ended instead.
func sendLine(conn net.Conn) (echoed, ended bool) {
	_, _ = conn.Write([]byte("x\n"))
	_ = conn.SetReadDeadline(time.Now().Add(150 * time.Millisecond))
	n, err := conn.Read(make([]byte, 8))
	timeout, isNet := err.(net.Error)
	return n > 0, err != nil && !(isNet && timeout.Timeout())
}

// dialAndSendLine calls sendLine on a new connection. A reset that arrives before
// the dial returns also counts as an ended connection.
func dialAndSendLine(t *testing.T, address string) (echoed, ended bool) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if errors.Is(err, syscall.ECONNRESET) {
		return false, true
	}
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	return sendLine(conn)
}

// Guards against faults that affect more or less than documented.
func TestTCPFaults(t *testing.T) {
	for _, c := range []struct {
		name          string
		faults        Faults
		echoed, ended bool
		delivered     int64
	}{
		{"none", Faults{}, true, false, 1},
		{"delay", Faults{DelayMillis: 20}, true, false, 1},
		{"drop to target", Faults{DropToTarget: true}, false, false, 0},
		{"drop to caller", Faults{DropToCaller: true}, false, false, 1},
		{"cut", Faults{Cut: true}, false, false, 0},
		{"refuse", Faults{Refuse: true}, false, true, 0},
		{"lose answer", Faults{LoseAnswers: 1}, false, true, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p, server := startTCP(t)
			p.SetFaults(c.faults)
			begin := time.Now()
			echoed, ended := dialAndSendLine(t, p.Address())
			if echoed != c.echoed || ended != c.ended || server.lines.Load() != c.delivered {
				t.Fatalf("echoed %v, ended %v, %d lines delivered", echoed, ended, server.lines.Load())
			}
			if took := time.Since(begin); took < 2*p.Faults().delay() {
				t.Fatalf("round trip took %v, less than twice the delay", took)
			}
			p.SetFaults(Faults{})
			if echoed, _ := sendLine(dial(t, "tcp", p.Address())); !echoed {
				t.Fatal("a new connection does not work after the fault")
			}
		})
	}
}

// Guards against a mute that affects new connections, and a reset that does not
// close the open ones.
func TestOpenConnections(t *testing.T) {
	p, _ := startTCP(t)
	muted := dial(t, "tcp", p.Address())
	if echoed, _ := sendLine(muted); !echoed {
		t.Fatal("no echo before the mute")
	}
	p.MuteOpen()
	fresh := dial(t, "tcp", p.Address())
	if echoed, ended := sendLine(muted); echoed || ended {
		t.Fatal("the muted connection received an echo or ended")
	}
	if echoed, _ := sendLine(fresh); !echoed {
		t.Fatal("a new connection got no echo after the mute")
	}
	p.ResetOpen()
	if _, ended := sendLine(fresh); !ended {
		t.Fatal("the connection is open after a reset")
	}
}

// Guards against a datagram that is forwarded despite a fault, and a flow that
// does not work after it.
func TestUDPFaults(t *testing.T) {
	socket, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	go func() {
		buffer := make([]byte, 16)
		for {
			n, caller, err := socket.ReadFrom(buffer)
			if err != nil {
				return
			}
			_, _ = socket.WriteTo(buffer[:n], caller)
		}
	}()
	p, err := ListenUDP("127.0.0.1:0", socket.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	conn := dial(t, "udp", p.Address())
	for _, f := range []Faults{{}, {Cut: true}, {DelayMillis: 10}, {DropToCaller: true}, {}} {
		p.SetFaults(f)
		if echoed, _ := sendLine(conn); echoed != !f.drops(toCaller) {
			t.Fatalf("%+v: echoed %v", f, echoed)
		}
	}
	p.MuteOpen()
	if echoed, _ := sendLine(conn); echoed {
		t.Fatal("the muted flow received an echo")
	}
}

// Guards against a control endpoint that does not set the faults of its proxy.
func TestControl(t *testing.T) {
	p, _ := startTCP(t)
	control := NewControl(p, nil)
	if err := control.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	defer control.Close()
	c := jsonhttp.New(control.Address(), jsonhttp.Options{})
	if err := c.Do(context.Background(), "POST", "/control/faults", Faults{Refuse: true}, nil); err != nil {
		t.Fatal(err)
	}
	if !p.Faults().Refuse {
		t.Fatal("the fault set over the control endpoint is not active")
	}
}
