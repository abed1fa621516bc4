package routing

import (
	"sync"
	"time"

	"github.com/clementineshed/clementineshed/pkg/endpoint"
)

// sendRetention is how long a send counts if no load report acknowledges it.
const sendRetention = 30 * time.Second

// SendLog counts this host's sends to each endpoint that its latest load report
// does not include yet. It is safe for concurrent use.
type SendLog struct {
	mu         sync.Mutex
	byEndpoint map[string]*sends // guarded by mu
}

// sends holds the unacknowledged sends to one endpoint, oldest first, and their
// sum.
type sends struct {
	total          endpoint.SentWork
	unacknowledged []send
}

type send struct {
	at   time.Time
	size SendSize
}

// SendSize is the work of one send.
type SendSize struct {
	// PrefillTokens is the number of prompt tokens expected not to be cached.
	PrefillTokens int
	// Decodes is set if the endpoint generates the output.
	Decodes bool
}

// NewSendLog returns an empty log.
func NewSendLog() *SendLog { return &SendLog{byEndpoint: map[string]*sends{}} }

// Add records a send to the endpoint at now. Sends to one endpoint are expected
// in order of time.
func (l *SendLog) Add(endpointID string, size SendSize, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.byEndpoint[endpointID]
	if s == nil {
		s = &sends{}
		l.byEndpoint[endpointID] = s
	}
	s.unacknowledged = append(s.unacknowledged, send{at: now, size: size})
	s.addToTotal(size, 1)
	s.dropBefore(now.Add(-sendRetention))
}

// Acknowledge drops the sends before takenAt, the time of the endpoint's latest
// load report by this host's clock.
func (l *SendLog) Acknowledge(endpointID string, takenAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.byEndpoint[endpointID]; s != nil {
		s.dropBefore(takenAt)
	}
}

// Forget drops the sends to an endpoint that is gone.
func (l *SendLog) Forget(endpointID string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.byEndpoint, endpointID)
}

// Sent returns the sum of the sends that no report has acknowledged.
func (l *SendLog) Sent(endpointID string) endpoint.SentWork {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.byEndpoint[endpointID]; s != nil {
		return s.total
	}
	return endpoint.SentWork{}
}

func (s *sends) dropBefore(t time.Time) {
	n := 0
	for n < len(s.unacknowledged) && s.unacknowledged[n].at.Before(t) {
		s.addToTotal(s.unacknowledged[n].size, -1)
		n++
	}
	s.unacknowledged = append(s.unacknowledged[:0], s.unacknowledged[n:]...)
}

func (s *sends) addToTotal(size SendSize, sign int) {
	s.total.Requests += sign
	s.total.PrefillTokens += sign * size.PrefillTokens
	if size.Decodes {
		s.total.DecodeStreams += sign
	}
}
