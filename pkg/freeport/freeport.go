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
	// no outgoing connection takes a port before its owner binds it. They are divided
	// into blocks, and the process that listens on the port of a block's lock, counted
	// from lowestLock on, owns the block.
	lowestPort = 20000
	blockSize  = 50
	blockCount = 240
	lowestLock = lowestPort - blockCount
)

// allocator hands out the ports of the blocks that it owns. An owner of a port may be
// down for a while, such as a process that a test kills and starts again, and no other
// process may get its port then.
type allocator struct {
	mu sync.Mutex
	// The fields below are guarded by mu. locks holds the locks of the blocks, which are
	// kept until the process ends, and left the ports of the last block that have not
	// been handed out.
	locks []net.Listener
	left  []int
}

var process allocator

// Port returns a port that is free for TCP and UDP on loopback. It never returns
// the same port twice in a process, nor one that another running process was given.
func Port() (int, error) { return process.port() }

// Address returns a loopback address with a port from Port.
func Address() (string, error) {
	port, err := Port()
	return loopback(port), err
}

func (a *allocator) port() (int, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		for len(a.left) > 0 {
			port := a.left[0]
			a.left = a.left[1:]
			if isFree(port) {
				return port, nil
			}
		}
		if err := a.takeBlock(); err != nil {
			return 0, err
		}
	}
}

// takeBlock must be called with mu held.
func (a *allocator) takeBlock() error {
	for _, block := range rand.Perm(blockCount) {
		lock, err := net.Listen("tcp", loopback(lowestLock+block))
		if err != nil {
			continue
		}
		a.locks = append(a.locks, lock)
		for i := range blockSize {
			a.left = append(a.left, lowestPort+block*blockSize+i)
		}
		return nil
	}
	return errors.New("no free port on loopback")
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// isFree reports whether both TCP and UDP can bind the port.
func isFree(port int) bool {
	l, err := net.Listen("tcp", loopback(port))
	if err != nil {
		return false
	}
	defer func() { _ = l.Close() }()
	u, err := net.ListenPacket("udp", loopback(port))
	if err != nil {
		return false
	}
	return u.Close() == nil
}
