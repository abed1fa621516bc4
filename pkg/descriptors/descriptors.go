// Package descriptors divides the file descriptors of a process.
package descriptors

import (
	"math"
	"syscall"

	"github.com/pkg/errors"
)

const (
	// filesReserved is the number of descriptors that are kept for files, at most
	// filesShare of all. The platform reserves as many.
	filesReserved = 200
	filesShare    = 0.25
	// callersShare and endpointsShare are the parts of the remaining descriptors. A
	// request in progress takes one of each, and a connection between two requests only
	// one of the callers' share. With 4,100 descriptors the callers' share is 2,340; that
	// host has 2,100 connections of callers on a usual day. tunnelsShare is for connections
	// that are carried for other hosts, two for each. What is left is for listeners,
	// operators and the platform.
	callersShare   = 0.6
	endpointsShare = 0.29
	tunnelsShare   = 0.06
	// operatorsShare is the part for each listener that does not serve callers, within
	// the bounds below. Such a listener has a few connections.
	operatorsShare = 0.02
	minOperators   = 8
	maxOperators   = 64
)

// Shares are the numbers of connections that a process may have open. Operators is that
// of each listener for operators, metrics or readiness checks. Tunnels is the number of
// tunnels that may be carried for other hosts, of two connections each.
type Shares struct{ Callers, Endpoints, Operators, Tunnels int }

// Limit returns the number of descriptors that the process may have open: the smaller
// of its RLIMIT_NOFILE and maxFDs, if that is not zero.
func Limit(maxFDs int) int {
	limit := math.MaxInt32
	var rlimit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &rlimit); err == nil && rlimit.Cur < uint64(limit) {
		limit = int(rlimit.Cur)
	}
	if maxFDs > 0 {
		limit = min(limit, maxFDs)
	}
	return limit
}

// Divide returns the shares of a process that may have limit descriptors open.
func Divide(limit int) Shares {
	sockets := float64(limit - min(filesReserved, int(filesShare*float64(limit))))
	return Shares{
		Callers:   max(1, int(callersShare*sockets)),
		Endpoints: max(1, int(endpointsShare*sockets)),
		Tunnels:   max(1, int(tunnelsShare*sockets/2)),
		Operators: min(max(int(operatorsShare*sockets), minOperators), maxOperators),
	}
}

// Exhausted reports whether err says that there is no descriptor left.
func Exhausted(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// Retry calls open. If that fails for lack of descriptors and free has closed one, it
// calls open once more. free may be nil.
func Retry[T any](free func() bool, open func() (T, error)) (T, error) {
	v, err := open()
	if err != nil && Exhausted(err) && free != nil && free() {
		return open()
	}
	return v, err
}
