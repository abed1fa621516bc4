package logservice

import (
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"
)

// Names of the streams that this system uses.
const (
	StreamConfig     = "config"
	StreamLease      = "lease"
	StreamAttempts   = "attempts"
	StreamUsage      = "usage"
	StreamQuarantine = "quarantine"
	StreamOrigins    = "origins"
)

var (
	// ErrNotAppended reports an append that has had no effect and never will.
	ErrNotAppended = errors.New("record was not appended")
	// ErrOutcomeUnknown reports an append that may have taken effect or may
	// still take effect.
	ErrOutcomeUnknown = errors.New("outcome of the append is unknown")
	// ErrUnavailable reports a read that the service did not answer.
	ErrUnavailable = errors.New("log service is unavailable")
)

// TruncatedError reports a read from an offset that the service does not have: its
// record has been dropped by the retention or, if Oldest is not beyond the offset, was
// lost when the service came back from an older copy.
type TruncatedError struct {
	// Oldest is the oldest offset that can still be read.
	Oldest int64
	// Era is the era of the answer, see Page.Era.
	Era int64
}

// Error implements the error interface.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("the service does not have the offset; its oldest is %d, its era %d", e.Oldest, e.Era)
}

// Record is one record of a stream.
type Record struct {
	Offset int64 `json:"offset"`
	// TimeMillis is the service's clock at the append, in Unix milliseconds. It
	// is for reports and retention only and does not order records.
	TimeMillis int64  `json:"time_ms"`
	Data       []byte `json:"data"`
	// Era is the era in which a Tail has read the record.
	Era int64 `json:"-"`
}

// Page is the answer to a read.
type Page struct {
	Records []Record `json:"records"`
	// Oldest is the oldest offset that is retained.
	Oldest int64 `json:"oldest"`
	// End is the offset of the next append to the stream, as far as the
	// answering replica knows.
	End int64 `json:"end"`
	// Era is the era of the log in which the page was read, see Eras; zero if the
	// service states none.
	Era int64 `json:"era,omitempty"`
}

// Client reads and appends records. Implementations are safe for concurrent
// use.
type Client interface {
	// Append appends records in order, all or none, and returns the offset of
	// the first. Errors wrap ErrNotAppended or ErrOutcomeUnknown.
	Append(ctx context.Context, stream string, records [][]byte) (first int64, err error)
	// Read returns up to limit records, starting at offset from. If there is
	// none yet, it waits for one, at most for wait. Errors wrap *TruncatedError
	// or ErrUnavailable.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Page, error)
}
