package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccaroute/yuccaroute/store"
)

const (
	// suspectThreshold is the number of target crashes from which on a request is not retried.
	suspectThreshold = 2
	// quarantineThreshold is the number of target crashes from which on a request is not sent.
	quarantineThreshold = 3
	// evidenceTTL is how long the crashes count against a request that does not cause another one.
	evidenceTTL = 10 * time.Minute
	// firstTrialDelay is the time from the quarantine of a request to its first trial. By then,
	// targets that crashed for other reasons have restarted, also those that it shared with a
	// request that did crash them. trialInterval is the time between
	// later trials.
	firstTrialDelay = 30 * time.Second
	trialInterval   = 10 * time.Minute
	// trialRetryDelay is how long this VM waits after an attempt to claim a trial.
	trialRetryDelay = 5 * time.Second
	// maxSuspects limits the tracked requests, including quarantined ones, and maxRecords those
	// with a record in the store.
	maxSuspects = 4096
	maxRecords  = 1024
)

// Status determines how a request may be sent.
type Status int

// States of requests.
const (
	// Clear requests are sent normally.
	Clear Status = iota
	// Suspected requests are sent to one target and not retried.
	Suspected
	// Quarantined requests are not sent.
	Quarantined
	// TrialDue requests are quarantined, but a VM that claims the trial may send them once.
	TrialDue
)

// Verdict is the decision on a request.
type Verdict struct {
	Status Status
	// Targets is the number of targets that crashed while processing the request, as far as this
	// VM knows.
	Targets int
	// Age is the time since this VM learned of the last crash.
	Age time.Duration
	// RetryAfter is the time until a quarantined request may be sent again.
	RetryAfter time.Duration
}

// suspect is the state of one tracked request.
type suspect struct {
	// targets identify the target incarnations that crashed, at most quarantineThreshold.
	targets []uint64
	// local is true if this VM observed one of the crashes, or observed an answer while a record
	// had to be removed.
	local bool
	// updatedAt is when this VM learned of the last crash or answer.
	updatedAt time.Time
	// quarantinedAt is when the request was quarantined or its last trial was recorded, zero if it
	// is not quarantined.
	quarantinedAt time.Time
	trials        int
	// nextClaim is the earliest time of this VM's next attempt to claim a trial.
	nextClaim time.Time
	// revision is the revision of the record in the store, 0 if none is known. recordedAt is when
	// this VM received it, recordedTargets the number of targets in it, and recordedTrials that of trials.
	revision                        store.Revision
	recordedAt                      time.Time
	recordedTargets, recordedTrials int
	// removing is true if the record is obsolete, as a target answered the request.
	removing bool
	// writing is true while a write to the store is in progress, and nextWrite is the earliest time
	// of the next one.
	writing   bool
	nextWrite time.Time
}

func (s *suspect) isQuarantined() bool { return !s.quarantinedAt.IsZero() }

// isRecorded reports whether the store has a record or a write is in progress.
func (s *suspect) isRecorded() bool { return s.revision != 0 || s.writing }

// Table tracks crashes and answers by request, as observed by all VMs, and decides which requests
// are suspected or quarantined. A request that a target answers is cleared: another request, or
// something else, caused the crashes. Table does no I/O and is safe for concurrent use.
type Table struct {
	// size is the number of suspects, so that lookups in an empty table need no lock.
	size atomic.Int32

	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{suspects: make(map[Fingerprint]*suspect)} }

// IsEmpty reports whether every request is clear, without taking a lock.
func (t *Table) IsEmpty() bool { return t.size.Load() == 0 }

// Verdict returns the decision on a request.
func (t *Table) Verdict(now time.Time, f Fingerprint) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[f]
	if s == nil {
		return Verdict{}
	}
	v := Verdict{Targets: len(s.targets), Age: now.Sub(s.updatedAt)}
	switch {
	case s.isQuarantined():
		v.Status, v.RetryAfter = s.trialStatus(now)
	case len(s.targets) >= suspectThreshold:
		v.Status = Suspected
	}
	return v
}

// trialStatus returns whether a trial is due, and the time until the request may be sent again.
func (s *suspect) trialStatus(now time.Time) (Status, time.Duration) {
	due := s.nextTrial()
	if s.revision != 0 && !now.Before(due) {
		return TrialDue, trialRetryDelay
	}
	return Quarantined, max(due.Sub(now), trialRetryDelay)
}

func (s *suspect) nextTrial() time.Time {
	at := s.quarantinedAt.Add(firstTrialDelay)
	if s.trials > 0 {
		at = s.quarantinedAt.Add(trialInterval)
	}
	if at.Before(s.nextClaim) {
		return s.nextClaim
	}
	return at
}

// TargetCrashed records that a target crashed while processing a request; local is true if this VM
// observed it. It reports whether the crash was not known yet.
func (t *Table) TargetCrashed(now time.Time, f Fingerprint, target uint64, local bool) (isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[f]
	if s == nil {
		if s = t.addSuspect(f); s == nil {
			return false
		}
	}
	s.local = s.local || local
	return s.addCrash(now, target)
}

// addCrash adds the crash of a target and reports whether it was not known yet.
func (s *suspect) addCrash(now time.Time, target uint64) bool {
	if slices.Contains(s.targets, target) || len(s.targets) >= quarantineThreshold {
		return false
	}
	s.targets, s.updatedAt = append(s.targets, target), now
	if len(s.targets) >= quarantineThreshold && !s.isQuarantined() {
		s.quarantinedAt = now
	}
	return true
}

// Answered records that a target answered a request; local is true if this VM observed it. It
// reports whether the request had been suspected.
func (t *Table) Answered(now time.Time, f Fingerprint, local bool) (isNew bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[f]
	if s == nil || len(s.targets) == 0 && !s.isQuarantined() {
		return false
	}
	if !s.isRecorded() {
		t.remove(f)
		return true
	}
	s.targets, s.quarantinedAt, s.trials = nil, time.Time{}, 0
	s.local, s.updatedAt, s.removing = s.local || local, now, true
	return true
}

// addSuspect starts to track a request. It returns nil if the table is full of requests that are
// quarantined or recorded.
func (t *Table) addSuspect(f Fingerprint) *suspect {
	if len(t.suspects) >= maxSuspects {
		oldest, found := t.oldestUnrecorded()
		if !found {
			return nil
		}
		t.remove(oldest)
	}
	s := &suspect{}
	t.suspects[f] = s
	t.size.Store(int32(len(t.suspects)))
	return s
}

// oldestUnrecorded returns the request whose last update is oldest, of those that are neither
// quarantined nor recorded.
func (t *Table) oldestUnrecorded() (oldest Fingerprint, found bool) {
	var at time.Time
	for f, s := range t.suspects {
		if s.isQuarantined() || s.isRecorded() {
			continue
		}
		if !found || s.updatedAt.Before(at) {
			oldest, at, found = f, s.updatedAt, true
		}
	}
	return oldest, found
}

func (t *Table) remove(f Fingerprint) {
	delete(t.suspects, f)
	t.size.Store(int32(len(t.suspects)))
}

// Expire drops requests without a crash for evidenceTTL. That includes quarantined requests without
// a record, as no trial would ever be due for them.
func (t *Table) Expire(now time.Time) {
	if t.IsEmpty() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for f, s := range t.suspects {
		if !s.isRecorded() && now.Sub(s.updatedAt) > evidenceTTL {
			t.remove(f)
		}
	}
}

// Counts returns the number of tracked requests and how many of them are quarantined.
func (t *Table) Counts() (suspected, quarantined int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.suspects {
		if s.isQuarantined() {
			quarantined++
		}
	}
	return len(t.suspects), quarantined
}
