package quarantine

import (
	"slices"
	"time"

	"github.com/yuccaroute/yuccaroute/store"
)

const (
	// ownWriteAfter is how long after the last end a record is written by a VM that saw one of
	// the targets end: other VMs may still tell that the request was answered.
	ownWriteAfter = 500 * time.Millisecond
	// unseenWriteAfter is how long after it a record is written by a VM that saw none of the
	// targets end: those that did write it before, but may be gone.
	unseenWriteAfter = 3 * time.Second
	// retryWriteAfter is the pause between two calls to the store about one request.
	retryWriteAfter = time.Second
	// recordFor is how long a record stays that nobody changes. Requests that come again change
	// theirs with each trial.
	recordFor = time.Hour
)

// Record is what the store keeps of a request that is suspected or quarantined, so that VMs know
// of it that start later, were cut off, or do not hear each other. Records outlast outages of the
// store: no lease ends them.
type Record struct {
	// Targets are the starts of targets that ended, Trials is how often the request was sent
	// since there are enough of them.
	Targets []uint64 `json:"targets"`
	Trials  int      `json:"trials"`
	// VM wrote the record.
	VM string `json:"vm"`
}

// SetRecord takes in a record at a revision of the store. It reports whether the request is
// quarantined by it.
func (t *Table) SetRecord(now time.Time, f Fingerprint, r Record, at store.Revision) (quarantined bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[f]
	if s == nil {
		if s = t.add(f); s == nil {
			return false
		}
		s.heard = now
	}
	if at <= s.revision {
		return false
	}
	s.revision, s.recorded, s.inRecord = at, now, min(len(r.Targets), quarantineAfter)
	if s.removing {
		return false
	}
	before := s.isQuarantined()
	for _, target := range r.Targets {
		s.add(now, target)
	}
	if r.Trials > s.trials {
		s.since, s.trials = now, r.Trials
	}
	return !before && s.isQuarantined()
}

// RemoveRecord takes in that a record is gone: the request was answered, or it did not come
// again. It reports whether that is news.
func (t *Table) RemoveRecord(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[f]
	if s == nil || s.revision == 0 {
		return false
	}
	if s.removing && len(s.targets) > 0 {
		// Targets have ended since it was answered.
		s.revision, s.inRecord, s.removing = 0, 0, false
		return false
	}
	t.remove(f)
	return !s.removing
}

// StoreWrite is a call to the store that is due.
type StoreWrite struct {
	Request Fingerprint
	Record  Record
	// Remove tells that the record is to be removed, at the Revision given.
	Remove   bool
	Revision store.Revision
}

// DueWrites returns the calls to the store that this VM has to make now. Each is under way until
// Written is called. first tells that this VM makes those that no other one did.
func (t *Table) DueWrites(now time.Time, first bool) []StoreWrite {
	if t.IsEmpty() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []StoreWrite
	room := maxRecords - t.records()
	for f, s := range t.suspects {
		if s.writing || now.Before(s.writeAfter) {
			continue
		}
		w := StoreWrite{Request: f, Record: Record{Targets: slices.Clone(s.targets), Trials: s.trials}, Revision: s.revision}
		switch {
		case s.removesAt(now, first):
			w.Remove = true
		case s.writesAt(now, first) && (s.revision != 0 || room > 0):
			s.removing = false
			room--
		default:
			continue
		}
		s.writing = true
		due = append(due, w)
	}
	return due
}

// writesAt reports whether this VM has to write the record of a request: the store lacks targets
// that this VM knows of.
func (s *suspect) writesAt(now time.Time, first bool) bool {
	if len(s.targets) < suspectAfter || len(s.targets) <= s.inRecord || s.revision != 0 && s.removing {
		return false
	}
	known := now.Sub(s.heard)
	return s.own && known >= ownWriteAfter || first && known >= unseenWriteAfter
}

// removesAt reports whether this VM has to remove the record of a request.
func (s *suspect) removesAt(now time.Time, first bool) bool {
	age := now.Sub(s.recorded)
	switch {
	case s.revision == 0:
		return false
	case s.removing:
		return s.own || first && now.Sub(s.heard) >= unseenWriteAfter
	case s.isQuarantined():
		return first && age > recordFor
	}
	return first && age > evidenceFor
}

// records counts the records in the store. It is called with the lock held.
func (t *Table) records() int {
	n := 0
	for _, s := range t.suspects {
		if s.isRecorded() {
			n++
		}
	}
	return n
}

// WriteDone ends a call that Due returned. What it wrote is taken in as all VMs do, by SetRecord
// and RemoveRecord; a call that failed is due again later.
func (t *Table) WriteDone(now time.Time, f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.suspects[f]; s != nil {
		s.writing, s.writeAfter = false, now.Add(retryWriteAfter)
	}
}

// ClaimTrial returns the record that claims a trial, and the revision that it replaces. It returns
// false if no trial is due or another claim of this VM is under way.
func (t *Table) ClaimTrial(now time.Time, f Fingerprint) (Record, store.Revision, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[f]
	if s == nil || !s.isQuarantined() {
		return Record{}, 0, false
	}
	if status, _ := s.quarantine(now); status != TrialDue {
		return Record{}, 0, false
	}
	s.claimAfter = now.Add(retryTrialAfter)
	return Record{Targets: slices.Clone(s.targets), Trials: s.trials + 1}, s.revision, true
}
