package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccaroute/yuccaroute/store"
)

const (
	// suspectAfter is how many targets have ended under a request from which on it is sent to
	// one target only for each time that a caller asks.
	suspectAfter = 2
	// quarantineAfter is how many from which on it is sent to none.
	quarantineAfter = 3
	// evidenceFor is how long an end counts against a request that does not come again.
	evidenceFor = 10 * time.Minute
	// firstTrialAfter is how long after its quarantine a request is sent once more: by then
	// targets that ended for other reasons are back, and so are those that it shared with a
	// request that did end them. trialEvery is the time between later trials.
	firstTrialAfter = 30 * time.Second
	trialEvery      = 10 * time.Minute
	// retryTrialAfter is how long this VM waits after a trial that it could not claim.
	retryTrialAfter = 5 * time.Second
	// maxSuspects bounds the requests of which ends are known, quarantined ones included, and
	// maxRecords those of them that the store keeps.
	maxSuspects = 4096
	maxRecords  = 1024
)

// Status is what a request may do.
type Status int

// States of requests.
const (
	// Clear requests are sent as usual.
	Clear Status = iota
	// Suspected requests are sent to one target and not repeated.
	Suspected
	// Quarantined requests are not sent.
	Quarantined
	// TrialDue requests are quarantined, and may be sent once by the VM that claims the trial.
	TrialDue
)

// Verdict is the decision on a request.
type Verdict struct {
	Status Status
	// Targets is how many targets ended under the request, as far as this VM knows.
	Targets int
	// Age is how long ago the last of them was learnt of.
	Age time.Duration
	// RetryAfter is when a quarantined request may be sent again.
	RetryAfter time.Duration
}

// suspect is what is known of one request.
type suspect struct {
	// targets are the starts of targets that ended under it, quarantineAfter at most.
	targets []uint64
	// own tells that this VM saw one of them end, or saw a target answer while the record is to
	// be removed.
	own bool
	// heard is when the last end, or the answer, was learnt of.
	heard time.Time
	// since is when it was quarantined, or when a trial was last noticed; zero while it is not
	// quarantined.
	since  time.Time
	trials int
	// claimAfter is when this VM may next try to claim a trial.
	claimAfter time.Time
	// revision is that of its record in the store, 0 while none is known; recorded is when it was
	// learnt, and inRecord how many of the targets it has.
	revision store.Revision
	recorded time.Time
	inRecord int
	// removing tells that the record is of no use any more: a target has answered.
	removing bool
	// writing is true while a call to the store about it is under way, and writeAfter when the
	// next one may be made.
	writing    bool
	writeAfter time.Time
}

func (s *suspect) isQuarantined() bool { return !s.since.IsZero() }

// isRecorded reports whether the store has a record of it, or may have one soon.
func (s *suspect) isRecorded() bool { return s.revision != 0 || s.writing }

// Table decides which requests are kept from targets. It makes no calls, and is safe for use by
// several goroutines.
//
// Load pattern: a request ends each target that begins to run it, and comes again at any VM.
// With each VM's own view it ends as many targets for each VM as for one. Ends are therefore
// counted by what all VMs saw. A request that a target answers is cleared: it shared its
// targets with the one that ended them, or they ended for other reasons.
type Table struct {
	// size is the number of suspects: requests are looked up only while there is one.
	size atomic.Int32

	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{suspects: make(map[Fingerprint]*suspect)} }

// IsEmpty reports whether every request is clear, without waiting for a lock.
func (t *Table) IsEmpty() bool { return t.size.Load() == 0 }

// Verdict decides on a request.
func (t *Table) Verdict(now time.Time, f Fingerprint) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[f]
	if s == nil {
		return Verdict{}
	}
	v := Verdict{Targets: len(s.targets), Age: now.Sub(s.heard)}
	switch {
	case s.isQuarantined():
		v.Status, v.RetryAfter = s.quarantine(now)
	case len(s.targets) >= suspectAfter:
		v.Status = Suspected
	}
	return v
}

// quarantine tells whether a trial is due, and when it will be.
func (s *suspect) quarantine(now time.Time) (Status, time.Duration) {
	due := s.trialAt()
	if s.revision != 0 && !now.Before(due) {
		return TrialDue, retryTrialAfter
	}
	return Quarantined, max(due.Sub(now), retryTrialAfter)
}

func (s *suspect) trialAt() time.Time {
	at := s.since.Add(firstTrialAfter)
	if s.trials > 0 {
		at = s.since.Add(trialEvery)
	}
	if at.Before(s.claimAfter) {
		return s.claimAfter
	}
	return at
}

// TargetCrashed takes in that a target ended while a request ran there; own tells that this VM saw it.
// It reports whether that is news.
func (t *Table) TargetCrashed(now time.Time, f Fingerprint, target uint64, own bool) (news bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[f]
	if s == nil {
		if s = t.add(f); s == nil {
			return false
		}
	}
	s.own = s.own || own
	return s.add(now, target)
}

// add counts the end of a target and reports whether it was not counted before.
func (s *suspect) add(now time.Time, target uint64) bool {
	if slices.Contains(s.targets, target) || len(s.targets) >= quarantineAfter {
		return false
	}
	s.targets, s.heard = append(s.targets, target), now
	if len(s.targets) >= quarantineAfter && !s.isQuarantined() {
		s.since = now
	}
	return true
}

// Answered takes in that a target answered a request; own tells that this VM saw it. It reports
// whether that is news, as the request was suspected.
func (t *Table) Answered(now time.Time, f Fingerprint, own bool) (news bool) {
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
	s.targets, s.since, s.trials = nil, time.Time{}, 0
	s.own, s.heard, s.removing = s.own || own, now, true
	return true
}

// add returns a new suspect, nil if there are too many that count for more.
func (t *Table) add(f Fingerprint) *suspect {
	if len(t.suspects) >= maxSuspects {
		oldest, found := t.oldest()
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

// oldest returns the request that was suspected first of those that are not quarantined.
func (t *Table) oldest() (oldest Fingerprint, found bool) {
	var at time.Time
	for f, s := range t.suspects {
		if s.isQuarantined() || s.isRecorded() {
			continue
		}
		if !found || s.heard.Before(at) {
			oldest, at, found = f, s.heard, true
		}
	}
	return oldest, found
}

func (t *Table) remove(f Fingerprint) {
	delete(t.suspects, f)
	t.size.Store(int32(len(t.suspects)))
}

// Expire forgets requests under which no target ended for evidenceFor, also quarantined ones if
// the store did not take their record: no trial would ever be due.
func (t *Table) Expire(now time.Time) {
	if t.IsEmpty() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for f, s := range t.suspects {
		if !s.isRecorded() && now.Sub(s.heard) > evidenceFor {
			t.remove(f)
		}
	}
}

// Counts returns how many requests are suspected and how many of them are quarantined.
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
