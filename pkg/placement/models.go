package placement

import "sync"

// Models holds one model per service with engines. It is safe for concurrent
// use.
type Models struct {
	mu        sync.Mutex
	byService map[string]*Model // guarded by mu
}

// NewModels returns a set without models.
func NewModels() *Models { return &Models{byService: map[string]*Model{}} }

// For returns the model of a service. It is created at first use.
func (m *Models) For(service string) *Model {
	m.mu.Lock()
	defer m.mu.Unlock()
	model := m.byService[service]
	if model == nil {
		model = NewModel()
		m.byService[service] = model
	}
	return model
}
