package check

import "sync"

// Recorder collects records from several goroutines.
type Recorder struct {
	mu   sync.Mutex
	told []Told
	ran  []Ran
}

// AddTold records what a caller was told.
func (r *Recorder) AddTold(t Told) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.told = append(r.told, t)
}

// AddRan records lines of a ledger.
func (r *Recorder) AddRan(lines ...Ran) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ran = append(r.ran, lines...)
}

// Told returns a copy of what was told so far.
func (r *Recorder) Told() []Told {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Told(nil), r.told...)
}

// Ran returns a copy of the ledger lines so far.
func (r *Recorder) Ran() []Ran {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Ran(nil), r.ran...)
}
