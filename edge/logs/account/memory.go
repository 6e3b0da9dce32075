package account

import (
	"slices"
	"time"
)

const (
	// maxKeys bounds the keys that are followed for one target, and maxFollowed the
	// targets, and the keys whose first run is known. Those that ran last are kept.
	maxKeys     = 256
	maxFollowed = 100_000
	// idleFor is after how long without a run a target or key is dropped when there
	// are too many. If too many are busy all are dropped, and found to be new once more.
	idleFor = time.Minute
	// slowRate is the weight of one run in the speed of a target.
	slowRate = 0.3
	// slowFrom times the time of a fast warm run a run is slow.
	slowFrom = 2
)

// run is one run of a key at a target.
type run struct {
	key   string
	ended time.Duration
}

// target is what is known of one target from the lines so far.
type target struct {
	// runs holds the last run of each key, the latest last.
	runs []run
	// pace is how many times longer than usual known keys take.
	pace float64
	last time.Duration
}

// note takes a run in.
func (t *target) note(r run) {
	t.runs = slices.DeleteFunc(t.runs, func(other run) bool { return other.key == r.key })
	t.runs = append(t.runs, r)
	if len(t.runs) > maxKeys {
		t.runs = t.runs[1:]
	}
	t.last = r.ended
}

// lastEnd returns when a key ran there last.
func (t *target) lastEnd(key string) (time.Duration, bool) {
	for _, r := range t.runs {
		if r.key == key {
			return r.ended, true
		}
	}
	return 0, false
}

// memory follows what targets have run.
type memory struct {
	targets map[string]*target
	// first is when the first run of a key ended anywhere, last when it ran last.
	first, last map[string]time.Duration
}

func newMemory() *memory {
	return &memory{targets: make(map[string]*target), first: make(map[string]time.Duration), last: make(map[string]time.Duration)}
}

func (m *memory) target(name string, now time.Duration) *target {
	t := m.targets[name]
	if t == nil {
		if len(m.targets) >= maxFollowed {
			for other, known := range m.targets {
				if now-known.last > idleFor {
					delete(m.targets, other)
				}
			}
			if len(m.targets) >= maxFollowed {
				clear(m.targets)
			}
		}
		t = &target{pace: 1}
		m.targets[name] = t
	}
	return t
}

// note takes in a run of a key of a service.
func (m *memory) note(at *target, key string, ended time.Duration) {
	at.note(run{key, ended})
	if len(m.first) >= maxFollowed {
		for other, last := range m.last {
			if ended-last > idleFor {
				delete(m.first, other)
				delete(m.last, other)
			}
		}
		if len(m.first) >= maxFollowed {
			clear(m.first)
			clear(m.last)
		}
	}
	if _, known := m.first[key]; !known {
		m.first[key] = ended
	}
	m.last[key] = ended
}

// causeOfSlow tells why a run that began at a time took long.
func (m *memory) causeOfSlow(at *target, key string, began time.Duration) Cause {
	first, ran := m.first[key]
	if !ran {
		return FirstRun
	}
	last, here := at.lastEnd(key)
	switch {
	case here && last <= began && at.pace > slowFrom:
		return TargetSlow
	case here && last <= began:
		return Evicted
	case here || first > began:
		return DuringFirstRun
	}
	return WarmElsewhere
}
