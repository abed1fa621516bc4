package configstore

import (
	"context"
	"sort"
	"strconv"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"github.com/clementineshed/clementineshed/pkg/logservice"
	"github.com/clementineshed/clementineshed/pkg/steperr"
)

// Withdraw withdraws keys at once, without the log. Operators and peers send
// such direct withdrawals. They are never undone, so their order and repetition
// make no difference. The store later appends those that the log does not hold.
func (s *Store) Withdraw(hashes ...KeyHash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.withdraw(hashes)
}

func (s *Store) withdraw(hashes []KeyHash) {
	added := false
	for _, h := range hashes {
		_, inFold := s.follower.fold.withdrawn[h]
		_, known := s.direct[h]
		if !inFold && !known {
			s.setDirect(h, true)
			added = true
		}
	}
	if added {
		s.view.Store(s.view.Load().withDirect(s.direct))
		s.endWatches()
	}
}

// Withdrawals returns the direct withdrawals that the log may not hold yet, in
// the order of their hashes.
func (s *Store) Withdrawals() []KeyHash {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.withdrawals()
}

func (s *Store) withdrawals() []KeyHash {
	var hashes []KeyHash
	for h := range s.direct {
		hashes = append(hashes, h)
	}
	sort.Slice(hashes, func(i, j int) bool { return hashes[i].String() < hashes[j].String() })
	return hashes
}

// OwnView returns the view that this host reports to its peers.
func (s *Store) OwnView() PeerView {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := PeerView{Host: s.opts.Host, Domain: s.opts.Domain, Next: s.follower.fold.next, Version: s.follower.fold.version, CaughtUp: s.caughtUp}
	v.Withdrawals = s.withdrawals()
	if at := s.Confirmation().lastRead(); !at.IsZero() {
		v.Read = true
		v.ReadAge = s.opts.Clock.Now().Sub(at)
	}
	return v
}

// MergePeerView merges a peer's view into the store. requestedAt is a time on this
// host's clock before the peer formed the view, such as the time of the request.
// The time of receipt would ignore the transit time and make the view appear
// newer than it is.
func (s *Store) MergePeerView(v PeerView, requestedAt time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.withdraw(v.Withdrawals)
	s.highestEnd = max(s.highestEnd, v.Version+1)
	s.peerViews[v.Host] = v
	// A peer with a newer version confirms nothing, because the change that this
	// host lacks may withdraw a key.
	newer := v.Version >= s.follower.fold.next && !s.skipNewerCheck
	if newer || (!v.CaughtUp && !s.skipCaughtUpCheck) {
		return
	}
	if requestedAt.After(s.lastContact[v.Domain]) {
		s.lastContact[v.Domain] = requestedAt
	}
	majority := MajorityContact(s.opts.Domain, s.caughtUp || s.skipCaughtUpCheck, s.opts.Domains, s.lastContact)
	s.updateConfirmation(func(c *Confirmation) {
		if read := requestedAt.Add(-v.ReadAge); v.Read && read.After(c.PeerRead) {
			c.PeerRead = read
		}
		c.Majority = majority
	})
}

// State returns the encoded fold for a peer. It does not contain the direct
// withdrawals, which OwnView reports. The error is ErrNoSnapshot if the store
// has no configuration yet.
func (s *Store) State() ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.follower.canReplay && s.follower.fold.next == 0 {
		return nil, ErrNoSnapshot
	}
	return s.follower.fold.encode()
}

// catchUp loads the state of the peer with the highest offset if the log cannot
// bring this host up to date: if noSnapshot, or if the log is down and the host
// is not ready or has not read the end of the log for peerCatchUpDelay.
func (s *Store) catchUp(ctx context.Context, noSnapshot bool) error {
	s.mu.Lock()
	stale := s.opts.Clock.Now().Sub(s.Confirmation().OwnRead) > peerCatchUpDelay
	needed := noSnapshot || (s.logDown && (stale || !s.isReady()))
	needed = needed && s.opts.Clock.Now().Sub(s.peersAskedAt) >= peerQueryInterval
	if needed {
		s.peersAskedAt = s.opts.Clock.Now()
	}
	next, logDown := s.follower.fold.next, s.logDown
	s.mu.Unlock()
	if !needed {
		return nil
	}
	requestedAt := s.opts.Clock.Now()
	views, err := s.opts.Peers.Views(ctx)
	if err != nil || len(views) == 0 {
		return err
	}
	best := views[0]
	for _, v := range views {
		if v.Next > best.Next {
			best = v
		}
	}
	if best.Next > next {
		if err := s.fetchState(ctx, best.Host); err != nil {
			return steperr.Wrap(err, "fetch config state", best.Host)
		}
	}
	s.readyFromPeer(best, logDown, views)
	for _, v := range views {
		s.MergePeerView(v, requestedAt)
	}
	return nil
}

func (s *Store) fetchState(ctx context.Context, host string) error {
	data, err := s.opts.Peers.State(ctx, host)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.follower.loadState(data); err != nil {
		return err
	}
	s.publish()
	return nil
}

// readyFromPeer makes a store that starts while the log is down ready, with the
// state of the peer with the highest offset. The store counts as caught up only
// if caught-up peers answered in a majority of the domains. Any smaller set may
// lack a withdrawal that was pushed to a majority.
func (s *Store) readyFromPeer(best PeerView, logDown bool, views []PeerView) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !logDown || !s.follower.canReplay || s.follower.fold.next < best.Next {
		return
	}
	lastContact := map[string]time.Time{}
	for _, v := range views {
		s.withdraw(v.Withdrawals)
		if v.CaughtUp {
			lastContact[v.Domain] = s.peersAskedAt
		}
	}
	if !MajorityContact(s.opts.Domain, false, s.opts.Domains, lastContact).IsZero() {
		s.caughtUp = true
	}
	s.readyOnce.Do(func() { close(s.ready) })
}

// mergePeerWithdrawalsOnce gets the direct withdrawals of the peers when the
// process starts, because the log may not hold them yet.
func (s *Store) mergePeerWithdrawalsOnce(ctx context.Context) {
	if s.withdrawalsMerged {
		return
	}
	s.withdrawalsMerged = true
	views, err := s.opts.Peers.Views(ctx)
	if err != nil {
		s.opts.Logger.WithField("step", "ask peers for withdrawals").WithError(err).Warn("config_peers_failed")
	}
	for _, v := range views {
		s.Withdraw(v.Withdrawals...)
	}
}

// appendWithdrawals appends the direct withdrawals that the log does not hold.
// Each host waits a random time first, so that usually only one appends them.
func (s *Store) appendWithdrawals(ctx context.Context) {
	s.mu.Lock()
	hashes := s.withdrawals()
	now := s.opts.Clock.Now()
	if len(hashes) == 0 {
		s.appendWithdrawalsAt = time.Time{}
		s.mu.Unlock()
		return
	}
	if s.appendWithdrawalsAt.IsZero() {
		s.appendWithdrawalsAt = now.Add(time.Duration(s.opts.Rand.Int63n(int64(withdrawalAppendJitter))))
	}
	due := !now.Before(s.appendWithdrawalsAt)
	if due {
		s.appendWithdrawalsAt = time.Time{}
	}
	s.mu.Unlock()
	if !due {
		return
	}
	w := Withdrawal{ID: s.opts.Nonce + "-" + strconv.FormatInt(now.UnixNano(), 36), Hashes: hashes}
	s.append(ctx, "append withdrawals", record{Withdraw: &w})
}

// append appends one record and logs a failure. The caller needs no result,
// because it repeats the append until the fold contains the effect.
func (s *Store) append(ctx context.Context, step string, r record) {
	data, err := r.encode()
	if err == nil {
		_, err = s.opts.Log.Append(ctx, logservice.StreamConfig, [][]byte{data})
	}
	if err != nil {
		s.opts.Logger.WithField("step", step).WithError(err).Warn("config_append_failed")
	}
}

// writeSnapshot writes a complete snapshot if one is due (see snapshotDue).
func (s *Store) writeSnapshot(ctx context.Context) {
	s.mu.Lock()
	due := s.snapshotDue()
	s.mu.Unlock()
	if !due {
		return
	}
	// Encoding many teams takes long. It runs without the lock, because it only
	// reads the fold and only this goroutine changes the fold.
	next := s.follower.fold.next
	data, err := s.follower.fold.encode()
	if err == nil {
		err = s.appendChunks(ctx, next, data)
	}
	fields := log.Fields{"step": "write config snapshot", "next": next, "bytes": len(data)}
	if err != nil {
		s.opts.Logger.WithFields(fields).WithError(err).Warn("config_snapshot_failed")
		return
	}
	s.opts.Logger.WithFields(fields).Info("config_snapshot_written")
}

// snapshotDue reports whether to write a snapshot now, and if so sets the time
// of the next attempt. A snapshot is due at a random age of the last one,
// between one and one and a half times the snapshot interval. The random age
// differs per host, so that usually only one host writes. A host whose attempt
// does not succeed tries again after a quarter of the interval. s.mu is held.
func (s *Store) snapshotDue() bool {
	f := s.follower
	if !f.canReplay || !s.isReady() || s.confirmation.Load().OwnRead.IsZero() {
		return false
	}
	every := s.opts.Retention / snapshotsPerRetention
	now := s.opts.Clock.Now()
	if s.nextSnapshotAt.IsZero() || s.scheduledAfter != f.lastSnapshotAt {
		s.scheduledAfter = f.lastSnapshotAt
		from := f.lastSnapshotAt
		if from.IsZero() {
			from = now.Add(-every)
		}
		s.nextSnapshotAt = from.Add(every + time.Duration(s.opts.Rand.Int63n(int64(every/2)+1)))
	}
	if now.Before(s.nextSnapshotAt) {
		return false
	}
	s.nextSnapshotAt = now.Add(every / 4)
	return true
}

// chunksPerAppend limits one append to about 3 MB of encoded chunks.
const chunksPerAppend = 8

// appendChunks appends the chunks of an encoded state in order. It stops at the
// first failure, because readers take the last chunk as the sign of a complete
// snapshot.
func (s *Store) appendChunks(ctx context.Context, next int64, data []byte) error {
	records, err := encodeChunks(next, data, s.chunkBytes)
	if err != nil {
		return err
	}
	for len(records) > 0 {
		n := min(len(records), chunksPerAppend)
		if _, err := s.opts.Log.Append(ctx, logservice.StreamConfig, records[:n]); err != nil {
			return errors.Wrap(err, "append snapshot chunks")
		}
		records = records[n:]
	}
	return nil
}
