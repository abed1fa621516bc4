package lease

import (
	"fmt"

	"github.com/pkg/errors"
)

// Duty is a kind of authority.
type Duty string

// Duties.
const (
	EngineOrders   Duty = "engine-orders"
	EndpointOrders Duty = "endpoint-orders"
	UsageReports   Duty = "usage-reports"
	// Coordination covers the three others, where one process does them all.
	Coordination Duty = "coordination"
)

// Key names one lease.
type Key struct {
	Domain string `json:"domain"`
	Duty   Duty   `json:"duty"`
}

// String implements fmt.Stringer.
func (k Key) String() string { return fmt.Sprintf("%s/%s", k.Domain, k.Duty) }

// UnknownHolder stands in a list of predecessors for holders whose records are
// all past the retention.
const UnknownHolder = "unknown"

// Term is one uninterrupted holding of a lease.
type Term struct {
	// Holder is the incarnation of the process.
	Holder string `json:"holder"`
	// Host is the host instance and Address the address the process has bound.
	Host    string `json:"host"`
	Address string `json:"address"`
	// Fence is the fencing number; zero or more.
	Fence int64 `json:"fence"`
}

// Kinds of record in the lease stream.
const (
	kindClaim   = "claim"
	kindRenew   = "renew"
	kindRelease = "release"
	kindEnded   = "ended"
)

// none stands for "no record".
const none int64 = -1

// statement is the body of claim, renew and release records. Claims and
// renewals state the whole lease, so that a reader needs no older record.
type statement struct {
	Key
	Term
	// Previous is the offset of the holder's last accepted record that the
	// writer has folded: for a claim that of the superseded holder, or none.
	Previous int64 `json:"previous"`
	// Quiet marks a claim by an unsure view. It is accepted if the key has no
	// record from offset QuietSince up to the claim.
	Quiet      bool  `json:"quiet,omitempty"`
	QuietSince int64 `json:"quiet_since,omitempty"`
	// Predecessors are the earlier terms without proof.
	Predecessors []Term `json:"predecessors,omitempty"`
}

// endedRecord says that process Ended is gone. It is written by a later process
// of the same host instance that holds the same bound address, or by an
// operator for UnknownHolder.
type endedRecord struct {
	Host    string `json:"host"`
	Address string `json:"address"`
	By      string `json:"by"`
	Ended   string `json:"ended"`
}

var (
	// ErrNotHolder reports that this process does not hold the lease.
	ErrNotHolder = errors.New("this process does not hold the lease")
	// ErrExpired reports that this process was the last holder, but its lease
	// time has passed without a folded renewal.
	ErrExpired = errors.New("the lease has expired")
	// ErrInUse reports a release that was not written because an order is
	// unanswered.
	ErrInUse = errors.New("an order under the lease is unanswered")
)
