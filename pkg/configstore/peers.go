package configstore

import (
	"context"
	"time"
)

// PeerView is what a host reports to its peers about its configuration.
type PeerView struct {
	Host   string `json:"host"`
	Domain string `json:"domain"`
	// Next is the offset up to which the host has folded, exclusive.
	Next int64 `json:"next"`
	// Version is the offset of the last record that changed its configuration.
	Version int64 `json:"version"`
	// CaughtUp is true if the host contains every change and withdrawal that was
	// in force when its process started. If it is false, the view confirms
	// nothing.
	CaughtUp bool `json:"vouches"`
	// Read is true if ReadAge is set.
	Read bool `json:"read"`
	// ReadAge is the age of the last read of the log's end, by the host or by one
	// of its peers, that confirms the host's configuration.
	ReadAge time.Duration `json:"read_age"`
	// Withdrawals are all direct withdrawals that the log may not hold yet.
	Withdrawals []KeyHash `json:"withdrawals,omitempty"`
}

// Peers queries other entry hosts. Implementations are safe for concurrent use.
type Peers interface {
	// Views returns the views of the peers that answer.
	Views(ctx context.Context) ([]PeerView, error)
	// State returns the encoded state of a peer, as Store.State returns it there.
	State(ctx context.Context, host string) ([]byte, error)
}

// NoPeers implements Peers for a host without peers.
type NoPeers struct{}

// Views returns no views.
func (NoPeers) Views(context.Context) ([]PeerView, error) { return nil, nil }

// State returns ErrNoSnapshot.
func (NoPeers) State(context.Context, string) ([]byte, error) { return nil, ErrNoSnapshot }
