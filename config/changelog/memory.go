package changelog

import (
	"slices"
	"sync"
	"time"
)

// memory keeps the newest head of each template that this process has read, to
// answer reads while the store is out.
type memory struct {
	mu    sync.Mutex
	heads map[string]Remembered
}

// Remembered is a head as it was last read.
type Remembered struct {
	Template string
	Head     *Head
	// At is when the store was last seen to hold this head or a newer one was
	// taken in.
	At time.Time
}

func (m *memory) keep(template string, head *Head, at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.heads == nil {
		m.heads = map[string]Remembered{}
	}
	old := m.heads[template]
	if old.Head != nil && head.Less(old.Head.Version) {
		return
	}
	m.heads[template] = Remembered{Template: template, Head: head, At: at}
}

// Remember keeps a head that was read elsewhere in the process.
func (l *Log) Remember(template string, head *Head) {
	l.memory.keep(template, head, l.now())
}

// Remembered returns the heads that this process has read, sorted by template.
func (l *Log) Remembered() []Remembered {
	l.memory.mu.Lock()
	defer l.memory.mu.Unlock()
	var all []Remembered
	for _, name := range sortedKeys(l.memory.heads) {
		all = append(all, l.memory.heads[name])
	}
	return slices.Clip(all)
}
