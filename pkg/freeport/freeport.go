// Package freeport finds free loopback addresses for processes and servers that
// are given their address before they bind it.
package freeport

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/pkg/errors"
)

const (
	// The ports from lowestPort on are below the system's ephemeral range, so that
	// no outgoing connection takes a port before its owner binds it.
	lowestPort = 20000
	portCount  = 12000
	// maxAttempts bounds the ports that one call tries.
	maxAttempts = 1000
)

// assigned holds the ports that this process has returned. Their owners may not
// have bound them yet.
var assigned sync.Map

// Port returns a port that is free for TCP and UDP on loopback. It never returns
// the same port twice in a process.
func Port() (int, error) {
	for range maxAttempts {
		port := lowestPort + rand.IntN(portCount)
		if _, taken := assigned.Load(port); taken || !isFree(port) {
			continue
		}
		if _, taken := assigned.LoadOrStore(port, struct{}{}); !taken {
			return port, nil
		}
	}
	return 0, errors.New("no free port on loopback")
}

// Address returns a loopback address with a port from Port.
func Address() (string, error) {
	port, err := Port()
	return fmt.Sprintf("127.0.0.1:%d", port), err
}

// isFree reports whether both TCP and UDP can bind the port.
func isFree(port int) bool {
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
