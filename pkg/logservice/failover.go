package logservice

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Failover is a Client that tries several addresses of one log service in turn.
// An append is tried at the next address only after ErrNotAppended, a read after
// ErrUnavailable. It is safe for concurrent use.
type Failover struct {
	clients []Client
	// preferred is the index of the client that is tried first: the last one that
	// did not fail over to the next.
	preferred atomic.Int64
}

// NewFailover returns a client for clients, one per address. There must be at
// least one.
func NewFailover(clients ...Client) *Failover { return &Failover{clients: clients} }

// Append implements Client.
func (f *Failover) Append(ctx context.Context, stream string, records [][]byte) (int64, error) {
	var offset int64
	err := f.tryEach(func(c Client) (done bool, err error) {
		offset, err = c.Append(ctx, stream, records)
		return !errors.Is(err, ErrNotAppended), err
	})
	return offset, err
}

// Read implements Client.
func (f *Failover) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (Page, error) {
	var page Page
	err := f.tryEach(func(c Client) (done bool, err error) {
		page, err = c.Read(ctx, stream, from, limit, wait)
		return !errors.Is(err, ErrUnavailable), err
	})
	return page, err
}

// tryEach calls try for each client, from the preferred one on, until try reports
// done. It returns the error of the last call.
func (f *Failover) tryEach(try func(Client) (done bool, err error)) error {
	start := int(f.preferred.Load())
	var err error
	for i := range f.clients {
		n := (start + i) % len(f.clients)
		var done bool
		if done, err = try(f.clients[n]); done {
			f.preferred.Store(int64(n))
			return err
		}
	}
	return err
}
