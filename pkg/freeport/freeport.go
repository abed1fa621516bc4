// Package freeport finds loopback addresses for processes and servers that are
// told where to listen before they do.
package freeport

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Ports below the system's ephemeral range, so that no outgoing connection takes
// a chosen port before its owner binds it.
const (
	lowestPort = 20000
	ports      = 12000
	// attempts bounds the ports that are tried.
	attempts = 1000
)

// given holds the ports that this process has handed out: their owners may not
// have bound them yet.
var given sync.Map

// Port returns a port that neither TCP nor UDP uses on loopback.
func Port() (int, error) {
	for range attempts {
		port := lowestPort + rand.IntN(ports)
		if _, taken := given.Load(port); taken || !free(port) {
			continue
		}
		if _, taken := given.LoadOrStore(port, struct{}{}); !taken {
			return port, nil
		}
	}
	return 0, errors.New("no free port on loopback")
}

// Address returns a loopback address with such a port.
func Address() (string, error) {
	port, err := Port()
	return fmt.Sprintf("127.0.0.1:%d", port), err
}

func free(port int) bool {
	address := fmt.Sprintf("127.0.0.1:%d", port)
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = l.Close() }()
	u, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return u.Close() == nil
}
