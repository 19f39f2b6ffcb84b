package front

import "sync"

// memoryBudget is memory that requests share. It is safe for concurrent use.
type memoryBudget struct {
	mu    sync.Mutex
	limit int64
	used  int64
	freed chan struct{} // closed when memory is given back; nil while nobody waits
}

func newMemoryBudget(limit int64) *memoryBudget {
	return &memoryBudget{limit: limit}
}

// take takes n bytes. If there are not as many, it returns a channel that is closed when
// there may be.
func (m *memoryBudget) take(n int64) (bool, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.used+n > m.limit {
		if m.freed == nil {
			m.freed = make(chan struct{})
		}
		return false, m.freed
	}
	m.used += n
	return true, nil
}

// giveBack ends the use of n bytes.
func (m *memoryBudget) giveBack(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= n
	if m.freed != nil {
		close(m.freed)
		m.freed = nil
	}
}

// inUse returns how many bytes are taken.
func (m *memoryBudget) inUse() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}
