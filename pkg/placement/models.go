package placement

import (
	"sync"

	"github.com/clementineshed/clementineshed/pkg/pace"
)

// Models holds one model per service with engines. It is safe for concurrent
// use.
type Models struct {
	mu        sync.Mutex
	byService map[string]*Model // guarded by mu
	limiter   *pace.Limiter
}

// NewModels returns a set without models. limiter may be nil.
func NewModels(limiter *pace.Limiter) *Models {
	return &Models{byService: map[string]*Model{}, limiter: limiter}
}

// For returns the model of a service. It is created at first use.
func (m *Models) For(service string) *Model {
	m.mu.Lock()
	defer m.mu.Unlock()
	model := m.byService[service]
	if model == nil {
		model = NewModel()
		model.limiter = m.limiter
		m.byService[service] = model
	}
	return model
}
