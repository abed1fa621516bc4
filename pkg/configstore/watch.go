package configstore

// Watch notifies its holder when a key stops being usable, so that work under
// the key can end. It is safe for concurrent use.
type Watch struct {
	store *Store
	hash  KeyHash
	done  chan struct{}
	cause Usability
}

// Done returns a channel that is closed when the key is withdrawn, no longer
// declared or no longer confirmed.
func (w *Watch) Done() <-chan struct{} { return w.done }

// Cause returns why the key stopped being usable. It must be called only after
// Done is closed.
func (w *Watch) Cause() Usability { return w.cause }

// Close releases the watch without closing Done. The caller must call it once.
func (w *Watch) Close() {
	s := w.store
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.watches[w.hash], w)
	if len(s.watches[w.hash]) == 0 {
		delete(s.watches, w.hash)
	}
}

// Watch returns a watch on the key with hash h. If the key is not usable, Done of
// the watch is closed at once. The caller must close the watch.
func (s *Store) Watch(h KeyHash) *Watch {
	w := &Watch{store: s, hash: h, done: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	// The check is repeated under the lock, so that no change between the
	// caller's check and the watch is lost.
	if _, u := s.Check(h); u != KeyUsable {
		w.cause = u
		close(w.done)
		return w
	}
	if s.watches[h] == nil {
		s.watches[h] = map[*Watch]struct{}{}
	}
	s.watches[h][w] = struct{}{}
	return w
}

// endWatches ends the watches of keys that are no longer usable. s.mu is held.
func (s *Store) endWatches() {
	for h, watches := range s.watches {
		_, u := s.Check(h)
		if u == KeyUsable {
			continue
		}
		for w := range watches {
			w.cause = u
			close(w.done)
		}
		delete(s.watches, h)
	}
}
