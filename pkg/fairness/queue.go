package fairness

import "container/heap"

// Queue holds requests in fair order: the least served team first, within a team
// the highest priority first, and the earlier arrival among equal priorities. It
// is not safe for concurrent use.
type Queue[T any] struct {
	ledger      *Ledger
	teams       map[string]*teamQueue[T]
	byService   teamHeap[T]
	size        int
	lastArrival int64
	// rescales is the ledger's rescale count for which teamQueue.service is
	// valid.
	rescales int
}

// teamQueue is the queued requests of one team, in the order in which they are
// dequeued. service is the team's weighted service when it was last read.
type teamQueue[T any] struct {
	team      string
	service   float64
	heapIndex int
	items     []Item[T]
}

// Item is a queued request.
type Item[T any] struct {
	Team string
	// Priority orders the requests of one team; higher goes first.
	Priority int
	Value    T
	arrival  int64
}

// NewQueue returns an empty queue that orders teams by their service in ledger.
func NewQueue[T any](ledger *Ledger) *Queue[T] {
	return &Queue[T]{ledger: ledger, teams: map[string]*teamQueue[T]{}}
}

// Len returns the number of queued requests.
func (q *Queue[T]) Len() int { return q.size }

// Push adds a request as the latest arrival.
func (q *Queue[T]) Push(team string, priority int, value T) {
	q.lastArrival++
	q.Requeue(Item[T]{Team: team, Priority: priority, arrival: q.lastArrival, Value: value})
}

// Requeue puts an item that Pop removed back at its former place in the order.
func (q *Queue[T]) Requeue(item Item[T]) {
	t := q.teams[item.Team]
	if t == nil {
		t = &teamQueue[T]{team: item.Team, service: q.ledger.weightedService(item.Team)}
		q.teams[item.Team] = t
		heap.Push(&q.byService, t)
	}
	at := len(t.items)
	for at > 0 && item.before(t.items[at-1]) {
		at--
	}
	t.items = append(t.items, item)
	copy(t.items[at+1:], t.items[at:])
	t.items[at] = item
	q.size++
}

func (item Item[T]) before(other Item[T]) bool {
	if item.Priority != other.Priority {
		return item.Priority > other.Priority
	}
	return item.arrival < other.arrival
}

// Pop removes the first request in fair order and returns it. It returns false
// if the queue is empty.
func (q *Queue[T]) Pop() (Item[T], bool) {
	q.refresh()
	for len(q.byService) > 0 {
		t := q.byService[0]
		// The service may have grown since it was read. It never shrinks by
		// much, so the heap is corrected lazily from the top.
		if service := q.ledger.weightedService(t.team); service != t.service {
			t.service = service
			heap.Fix(&q.byService, 0)
			if q.byService[0] != t {
				continue
			}
		}
		item := t.items[0]
		t.items = t.items[1:]
		q.size--
		if len(t.items) == 0 {
			heap.Pop(&q.byService)
			delete(q.teams, t.team)
		}
		return item, true
	}
	return Item[T]{}, false
}

// Each calls visit for up to limit queued requests, team by team in heap order:
// no particular order, but the least served team comes first.
func (q *Queue[T]) Each(limit int, visit func(item Item[T])) {
	for _, t := range q.byService {
		for _, item := range t.items {
			if limit--; limit < 0 {
				return
			}
			visit(item)
		}
	}
}

// TeamBefore reports whether a new request of team b would wait for queued
// requests of team a.
func (q *Queue[T]) TeamBefore(a, b string) bool {
	return a == b || q.ledger.weightedService(a) <= q.ledger.weightedService(b)
}

// refresh reads the service of all teams again if the ledger has rescaled its
// figures.
func (q *Queue[T]) refresh() {
	rescales := q.ledger.rescaleCount()
	if rescales == q.rescales {
		return
	}
	q.rescales = rescales
	for _, t := range q.byService {
		t.service = q.ledger.weightedService(t.team)
	}
	heap.Init(&q.byService)
}

// Retain keeps the requests for which keep returns true and drops the others. It
// calls keep once for each request, in no particular order of teams.
func (q *Queue[T]) Retain(keep func(team string, value T) bool) {
	// The loop changes the heap, so it iterates over a copy. The teams map would
	// give no deterministic order.
	queues := append([]*teamQueue[T](nil), q.byService...)
	for _, t := range queues {
		team := t.team
		kept := t.items[:0]
		for _, item := range t.items {
			if keep(team, item.Value) {
				kept = append(kept, item)
			}
		}
		q.size -= len(t.items) - len(kept)
		clear(t.items[len(kept):])
		t.items = kept
		if len(kept) == 0 {
			heap.Remove(&q.byService, t.heapIndex)
			delete(q.teams, team)
		}
	}
}

type teamHeap[T any] []*teamQueue[T]

func (h teamHeap[T]) Len() int { return len(h) }
func (h teamHeap[T]) Less(a, b int) bool {
	if h[a].service != h[b].service {
		return h[a].service < h[b].service
	}
	return h[a].team < h[b].team
}
func (h teamHeap[T]) Swap(a, b int) {
	h[a], h[b] = h[b], h[a]
	h[a].heapIndex, h[b].heapIndex = a, b
}
func (h *teamHeap[T]) Push(x any) {
	t := x.(*teamQueue[T])
	t.heapIndex = len(*h)
	*h = append(*h, t)
}
func (h *teamHeap[T]) Pop() any {
	old := *h
	t := old[len(old)-1]
	*h = old[:len(old)-1]
	return t
}
