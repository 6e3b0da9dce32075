package account

import (
	"slices"
	"time"
)

const (
	// maxKeys limits the keys tracked per target, maxTracked the targets and the keys
	// tracked in total. The most recently used are kept.
	maxKeys    = 256
	maxTracked = 100_000
	// idleTimeout is the idle time after which targets and keys are dropped at the limit.
	// If that frees none, all are dropped.
	idleTimeout = time.Minute
	// slowdownWeight is the weight of a new run in a target's slowdown.
	slowdownWeight = 0.3
	// slowThreshold is the ratio to a warm run from which a run is slow.
	slowThreshold = 2
)

// run is the last run of a key at a target.
type run struct {
	key   string
	ended time.Duration
}

// target is the history of one target.
type target struct {
	// runs holds the last run of each key, most recent last.
	runs []run
	// slowdown is the moving average of the time of known keys relative to a warm run.
	slowdown float64
	last     time.Duration
}

func (t *target) record(r run) {
	t.runs = slices.DeleteFunc(t.runs, func(other run) bool { return other.key == r.key })
	t.runs = append(t.runs, r)
	if len(t.runs) > maxKeys {
		t.runs = t.runs[1:]
	}
	t.last = r.ended
}

// lastEnd returns the end of the key's last run at the target.
func (t *target) lastEnd(key string) (time.Duration, bool) {
	for _, r := range t.runs {
		if r.key == key {
			return r.ended, true
		}
	}
	return 0, false
}

// history tracks the runs of keys at targets.
type history struct {
	targets map[string]*target
	// firstRun and lastRun are the ends of each key's first and last run at any target.
	firstRun, lastRun map[string]time.Duration
}

func newHistory() *history {
	return &history{targets: make(map[string]*target), firstRun: make(map[string]time.Duration), lastRun: make(map[string]time.Duration)}
}

func (m *history) target(name string, now time.Duration) *target {
	t := m.targets[name]
	if t == nil {
		if len(m.targets) >= maxTracked {
			for other, known := range m.targets {
				if now-known.last > idleTimeout {
					delete(m.targets, other)
				}
			}
			if len(m.targets) >= maxTracked {
				clear(m.targets)
			}
		}
		t = &target{slowdown: 1}
		m.targets[name] = t
	}
	return t
}

// record adds a run of a key, which includes the service name.
func (m *history) record(at *target, key string, ended time.Duration) {
	at.record(run{key, ended})
	if len(m.firstRun) >= maxTracked {
		for other, last := range m.lastRun {
			if ended-last > idleTimeout {
				delete(m.firstRun, other)
				delete(m.lastRun, other)
			}
		}
		if len(m.firstRun) >= maxTracked {
			clear(m.firstRun)
			clear(m.lastRun)
		}
	}
	if _, known := m.firstRun[key]; !known {
		m.firstRun[key] = ended
	}
	m.lastRun[key] = ended
}

// causeOfSlow classifies a slow run by its key, its target and when it began.
func (m *history) causeOfSlow(at *target, key string, began time.Duration) Cause {
	first, ran := m.firstRun[key]
	if !ran {
		return FirstRun
	}
	last, here := at.lastEnd(key)
	switch {
	case here && last <= began && at.slowdown > slowThreshold:
		return TargetSlow
	case here && last <= began:
		return Evicted
	case here || first > began:
		return DuringFirstRun
	}
	return WarmElsewhere
}
