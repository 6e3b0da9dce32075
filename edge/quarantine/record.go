package quarantine

import (
	"slices"
	"time"

	"github.com/yuccaroute/yuccaroute/store"
)

const (
	// localWriteDelay is the time from the last crash until a VM that observed one of the crashes
	// writes the record: other VMs may still report that the request was answered.
	localWriteDelay = 500 * time.Millisecond
	// fallbackWriteDelay is the same for the leader, which writes if the VMs that observed the
	// crashes did not: they may have failed.
	fallbackWriteDelay = 3 * time.Second
	// writeRetryDelay is the pause between two writes for one request.
	writeRetryDelay = time.Second
	// recordTTL is how long a quarantine record that does not change is kept. Each trial of a
	// request that is still sent changes its record.
	recordTTL = time.Hour
)

// Record is the stored state of a suspected or quarantined request. It informs VMs that start
// later, were isolated or do not receive each other's reports. Records have no lease, so that they
// survive an outage of the store.
type Record struct {
	// Targets identify the target incarnations that crashed. Trials is the number of trials since
	// the request was quarantined.
	Targets []uint64 `json:"targets"`
	Trials  int      `json:"trials"`
	// VM is the VM that wrote the record.
	VM string `json:"vm"`
}

// SetRecord applies a record read from the store. It reports whether the record quarantines the
// request.
func (t *Table) SetRecord(now time.Time, f Fingerprint, r Record, at store.Revision) (quarantined bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[f]
	if s == nil {
		if s = t.addSuspect(f); s == nil {
			return false
		}
		s.updatedAt = now
	}
	if at <= s.revision {
		return false
	}
	s.revision, s.recordedAt = at, now
	s.recordedTargets, s.recordedTrials = min(len(r.Targets), quarantineThreshold), r.Trials
	if s.removing {
		return false
	}
	before := s.isQuarantined()
	for _, target := range r.Targets {
		s.addCrash(now, target)
	}
	if r.Trials > s.trials {
		s.quarantinedAt, s.trials = now, r.Trials
	}
	return !before && s.isQuarantined()
}

// RemoveRecord applies the removal of a record: the request was answered, or its record expired. It
// reports whether that clears the request.
func (t *Table) RemoveRecord(f Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[f]
	if s == nil || s.revision == 0 {
		return false
	}
	if s.removing && len(s.targets) > 0 {
		// Targets crashed after the request was answered.
		s.loseRecord()
		return false
	}
	t.remove(f)
	return !s.removing
}

// LoseRecord applies the loss of a record by the store, which clears nothing: the record is written again.
func (t *Table) LoseRecord(f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[f]
	switch {
	case s == nil || s.revision == 0:
	case s.removing && len(s.targets) == 0:
		t.remove(f)
	default:
		s.loseRecord()
	}
}

func (s *suspect) loseRecord() {
	s.revision, s.recordedTargets, s.recordedTrials, s.removing = 0, 0, 0, false
}

// StoreWrite is a write to the store that is due.
type StoreWrite struct {
	Request Fingerprint
	Record  Record
	// Remove is true if the record at Revision is to be removed.
	Remove   bool
	Revision store.Revision
}

// DueWrites returns the writes to the store that this VM has to make now. Each is in progress until
// WriteDone is called. leader is true if this VM makes writes that no other VM made.
func (t *Table) DueWrites(now time.Time, leader bool) []StoreWrite {
	if t.IsEmpty() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []StoreWrite
	capacity := maxRecords - t.recordCount()
	for f, s := range t.suspects {
		if s.writing || now.Before(s.nextWrite) {
			continue
		}
		w := StoreWrite{Request: f, Record: Record{Targets: slices.Clone(s.targets), Trials: s.trials}, Revision: s.revision}
		switch {
		case s.needsRemoval(now, leader):
			w.Remove = true
		case s.needsWrite(now, leader) && (s.revision != 0 || capacity > 0):
			s.removing = false
			capacity--
		default:
			continue
		}
		s.writing = true
		due = append(due, w)
	}
	return due
}

// needsWrite reports whether this VM has to write the record: it lacks targets or trials known to this VM.
func (s *suspect) needsWrite(now time.Time, leader bool) bool {
	if len(s.targets) < suspectThreshold || s.revision != 0 && s.removing {
		return false
	}
	if len(s.targets) <= s.recordedTargets && s.trials <= s.recordedTrials {
		return false
	}
	age := now.Sub(s.updatedAt)
	return s.local && age >= localWriteDelay || leader && age >= fallbackWriteDelay
}

// needsRemoval reports whether this VM has to remove the record.
func (s *suspect) needsRemoval(now time.Time, leader bool) bool {
	age := now.Sub(s.recordedAt)
	switch {
	case s.revision == 0:
		return false
	case s.removing:
		return s.local || leader && now.Sub(s.updatedAt) >= fallbackWriteDelay
	case s.isQuarantined():
		return leader && age > recordTTL
	}
	return leader && age > evidenceTTL
}

// recordCount returns the number of records in the store. It must be called with the lock held.
func (t *Table) recordCount() int {
	n := 0
	for _, s := range t.suspects {
		if s.isRecorded() {
			n++
		}
	}
	return n
}

// WriteDone completes a write returned by DueWrites. Its effect is applied by SetRecord and
// RemoveRecord, as at all VMs; a failed write becomes due again after writeRetryDelay.
func (t *Table) WriteDone(now time.Time, f Fingerprint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.suspects[f]; s != nil {
		s.writing, s.nextWrite = false, now.Add(writeRetryDelay)
	}
}

// ClaimTrial returns the record that claims a trial, and the revision that it replaces. It returns
// false if no trial is due or this VM attempted a claim within trialRetryDelay.
func (t *Table) ClaimTrial(now time.Time, f Fingerprint) (Record, store.Revision, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.suspects[f]
	if s == nil || !s.isQuarantined() {
		return Record{}, 0, false
	}
	if status, _ := s.trialStatus(now); status != TrialDue {
		return Record{}, 0, false
	}
	s.nextClaim = now.Add(trialRetryDelay)
	return Record{Targets: slices.Clone(s.targets), Trials: s.trials + 1}, s.revision, true
}
