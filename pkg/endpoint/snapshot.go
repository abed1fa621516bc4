package endpoint

import "time"

// shardRows is the number of rows in a shard. A change of one row copies the row
// pointers of its shard.
const shardRows = 64

// row is the state of one endpoint. It is immutable once a version contains it.
type row struct {
	listed          Endpoint
	state           State
	load            Load
	loadRequestedAt time.Time
	hasLoad         bool
}

// instance returns the newest known instance: that of the load report if there is
// one, or else that of the endpoint list.
func (r *row) instance() string {
	if r.hasLoad && r.load.Instance != "" {
		return r.load.Instance
	}
	return r.listed.Instance
}

// version is an immutable state of the table. A new version shares the index and
// the unchanged shards with the one before.
type version struct {
	index  map[string]int
	shards [][]*row
}

func newVersion(rows []*row) *version {
	v := &version{index: make(map[string]int, len(rows))}
	for i, r := range rows {
		v.index[r.listed.ID] = i
		if i%shardRows == 0 {
			v.shards = append(v.shards, nil)
		}
		v.shards[i/shardRows] = append(v.shards[i/shardRows], r)
	}
	return v
}

func (v *version) find(id string) (*row, bool) {
	i, ok := v.index[id]
	if !ok {
		return nil, false
	}
	return v.shards[i/shardRows][i%shardRows], true
}

// withRow returns a copy of v in which r replaces the row of id.
func (v *version) withRow(id string, r *row) *version {
	i := v.index[id]
	shards := append([][]*row(nil), v.shards...)
	shard := append([]*row(nil), shards[i/shardRows]...)
	shard[i%shardRows] = r
	shards[i/shardRows] = shard
	return &version{index: v.index, shards: shards}
}

// Snapshot is an immutable view of the table at one time. The zero value has no
// endpoints. It is safe for concurrent use.
type Snapshot struct {
	version *version
	now     time.Time
}

// TakenAt returns the time at which the snapshot was taken.
func (s Snapshot) TakenAt() time.Time { return s.now }

// Len returns the number of endpoints.
func (s Snapshot) Len() int {
	if s.version == nil {
		return 0
	}
	return len(s.version.index)
}

// At returns endpoint i in the order of the endpoint list. It panics unless
// 0 <= i < Len().
func (s Snapshot) At(i int) Status {
	return s.status(s.version.shards[i/shardRows][i%shardRows])
}

// Get returns the endpoint with an id, and false if it is not listed.
func (s Snapshot) Get(id string) (Status, bool) {
	if s.version == nil {
		return Status{}, false
	}
	r, ok := s.version.find(id)
	if !ok {
		return Status{}, false
	}
	return s.status(r), true
}

// All returns every endpoint, in the order of the endpoint list.
func (s Snapshot) All() []Status {
	all := make([]Status, s.Len())
	for i := range all {
		all[i] = s.At(i)
	}
	return all
}

func (s Snapshot) status(r *row) Status {
	status := Status{Endpoint: r.listed, Load: r.load, HasLoad: r.hasLoad}
	status.State = r.state
	status.Instance = r.instance()
	if r.hasLoad {
		status.LoadAge = s.now.Sub(r.loadRequestedAt)
	}
	return status
}
