package lease

import (
	"fmt"

	"github.com/pkg/errors"
)

// Duty is a kind of work that one process at a time may do for a failure domain.
type Duty string

// Duties. Their values are stored in the lease stream.
const (
	EngineOrders   Duty = "engine-orders"
	EndpointOrders Duty = "endpoint-orders"
	UsageReports   Duty = "usage-reports"
	// Coordination covers the other three where one process does them all.
	Coordination Duty = "coordination"
)

// Key names one lease.
type Key struct {
	Domain string `json:"domain"`
	Duty   Duty   `json:"duty"`
}

// String implements fmt.Stringer.
func (k Key) String() string { return fmt.Sprintf("%s/%s", k.Domain, k.Duty) }

// UnknownHolder stands in a list of predecessors for the holders whose records
// have all been truncated.
const UnknownHolder = "unknown"

// Term is one uninterrupted holding of a lease.
type Term struct {
	// Holder is the incarnation of the process.
	Holder string `json:"holder"`
	// Host is the host instance and Address the address the process has bound.
	Host    string `json:"host"`
	Address string `json:"address"`
	// Fence is the fencing token: the era and the offset of the claim, see fenceOf. It is
	// zero or more.
	Fence int64 `json:"fence"`
}

// Kinds of record in the lease stream.
const (
	kindClaim   = "claim"
	kindRenew   = "renew"
	kindRelease = "release"
	kindEnded   = "ended"
)

// none is the offset that stands for "no record".
const none int64 = -1

// leaseRecord is the body of claim, renew and release records. A claim or
// renewal states the whole lease, so that a reader needs no older record.
type leaseRecord struct {
	Key
	Term
	// Era is the era of the stream that the writer read in. The offsets in the record are
	// those of this era.
	Era int64 `json:"era,omitempty"`
	// Previous is the offset of the holder's last accepted record that the
	// writer has folded. In a claim it is that of the superseded holder, or none.
	Previous int64 `json:"previous"`
	// Quiet marks a claim by a writer that does not know the state of the key.
	// It is accepted if the key has no record from offset QuietSince up to the
	// claim.
	Quiet      bool  `json:"quiet,omitempty"`
	QuietSince int64 `json:"quiet_since,omitempty"`
	// Predecessors are the uncleared earlier terms.
	Predecessors []Term `json:"predecessors,omitempty"`
}

// endedRecord says that the process Ended has ended. A later process of the same
// host instance writes it once it has bound the same address. For UnknownHolder
// it is written on an operator's order.
type endedRecord struct {
	Host    string `json:"host"`
	Address string `json:"address"`
	By      string `json:"by"`
	Ended   string `json:"ended"`
}

var (
	// ErrNotHolder reports that this process does not hold the lease.
	ErrNotHolder = errors.New("this process does not hold the lease")
	// ErrExpired reports that this process was the last holder, but that its
	// lease duration has passed without a folded renewal.
	ErrExpired = errors.New("the lease has expired")
	// ErrNotCleared reports that this process holds the lease, but that orders of
	// earlier terms may still arrive, or that its host held the lease before
	// another host within the lease duration.
	ErrNotCleared = errors.New("orders of earlier lease holders may still arrive")
	// ErrInUse reports a release that was not written because a use is still
	// open.
	ErrInUse = errors.New("an order under the lease is unanswered")
)
