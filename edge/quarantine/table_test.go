package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/yuccaroute/yuccaroute/store"
)

var (
	start        = time.Unix(1000, 0)
	threeTargets = []uint64{1, 2, 3}
)

func requestNamed(name string) Fingerprint { return FingerprintOf(Content{Target: name}) }

// crashTargets records crashes of targets under a request, all observed by this VM.
func crashTargets(table *Table, now time.Time, f Fingerprint, targets ...uint64) {
	for _, target := range targets {
		table.TargetCrashed(now, f, target, true)
	}
}

func statusOf(table *Table, now time.Time, f Fingerprint) Status { return table.Verdict(now, f).Status }

// Guards against a request that is still sent after three crashes, or refused before.
func TestThreeCrashesQuarantineRequest(t *testing.T) {
	table, f := NewTable(), requestNamed("f")
	want := []Status{Clear, Suspected, Quarantined, Quarantined}
	for i := range want {
		crashTargets(table, start, f, uint64(i+1), uint64(i+1))
		if got := statusOf(table, start, f); got != want[i] {
			t.Errorf("status %d after %d crashes, want %d", got, i+1, want[i])
		}
	}
	if statusOf(table, start, requestNamed("other")) != Clear {
		t.Error("another request is not clear")
	}
}

// Guards against innocent requests that stay refused because they shared targets with a poison one.
func TestAnsweredRequestIsCleared(t *testing.T) {
	for name, recorded := range map[string]bool{"without a record": false, "with a record": true} {
		t.Run(name, func(t *testing.T) {
			table, f := NewTable(), requestNamed("f")
			crashTargets(table, start, f, 1, 2, 3)
			if recorded {
				table.SetRecord(start, f, Record{Targets: threeTargets}, 7)
			}
			if !table.Answered(start, f, true) || table.Answered(start, f, true) {
				t.Error("want the first answer to be new and the second not")
			}
			if statusOf(table, start, f) != Clear {
				t.Error("not cleared")
			}
			due := table.DueWrites(start.Add(time.Hour), false)
			if recorded {
				want := []StoreWrite{{Request: f, Remove: true, Revision: 7}}
				if diff := cmp.Diff(want, due); diff != "" {
					t.Error(diff)
				}
				table.RemoveRecord(f)
			} else if len(due) > 0 {
				t.Errorf("calls to the store: %v", due)
			}
			if !table.IsEmpty() {
				t.Error("the request is still tracked")
			}
		})
	}
}

// Guards against a record that arrives after the request was answered and quarantines it again.
func TestLateRecordOfAnsweredRequestIsRemoved(t *testing.T) {
	table, f := NewTable(), requestNamed("f")
	crashTargets(table, start, f, 1, 2, 3)
	if due := table.DueWrites(start.Add(localWriteDelay), false); len(due) != 1 || due[0].Remove {
		t.Fatalf("%v is due, want the record", due)
	}
	table.Answered(start, f, true)
	now := start.Add(writeRetryDelay)
	table.WriteDone(start, f)
	if table.SetRecord(now, f, Record{Targets: threeTargets}, 7) || statusOf(table, now, f) != Clear {
		t.Error("quarantined by its late record")
	}
	if due := table.DueWrites(now, false); len(due) != 1 || !due[0].Remove {
		t.Errorf("%v is due, want the removal", due)
	}
}

// Guards against VMs without knowledge of a quarantine: the record informs VMs that just started,
// and the leader writes it if the VMs that observed the crashes do not.
func TestRecordInformsOtherVMs(t *testing.T) {
	f := requestNamed("f")
	observer, leader, other, newcomer := NewTable(), NewTable(), NewTable(), NewTable()
	crashTargets(observer, start, f, 1, 2, 3)
	for _, table := range []*Table{leader, other} {
		for target := range uint64(3) {
			table.TargetCrashed(start, f, target+1, false)
		}
	}
	if due := observer.DueWrites(start.Add(localWriteDelay), false); len(due) != 1 {
		t.Errorf("%v due where crashes were observed", due)
	}
	now := start.Add(fallbackWriteDelay)
	if due := other.DueWrites(now, false); len(due) != 0 {
		t.Errorf("%v due at a VM that observed nothing", due)
	}
	if due := leader.DueWrites(now, true); len(due) != 1 || len(due[0].Record.Targets) != 3 {
		t.Errorf("%v due at the leader", due)
	}
	if !newcomer.SetRecord(now, f, Record{Targets: threeTargets}, 7) || statusOf(newcomer, now, f) != Quarantined {
		t.Error("not quarantined by the record")
	}
	if v := newcomer.Verdict(now, f); v.Targets != 3 || v.RetryAfter != firstTrialDelay {
		t.Errorf("%+v by the record", v)
	}
	if !newcomer.RemoveRecord(f) || statusOf(newcomer, now, f) != Clear {
		t.Error("not cleared by the removal of the record")
	}
}

// Guards against VMs that do not receive each other's reports and each observe too few crashes: the
// record merges their observations.
func TestRecordMergesObservations(t *testing.T) {
	f := requestNamed("f")
	a, b := NewTable(), NewTable()
	crashTargets(a, start, f, 1, 2)
	crashTargets(b, start, f, 3)
	now := start.Add(localWriteDelay)
	due := a.DueWrites(now, false)
	if len(due) != 1 || len(due[0].Record.Targets) != 2 || len(b.DueWrites(now, true)) != 0 {
		t.Fatalf("%v is due where two crashes were observed", due)
	}
	if !b.SetRecord(now, f, due[0].Record, 7) || statusOf(b, now, f) != Quarantined {
		t.Error("not quarantined by the record and the observations of the VM")
	}
	due = b.DueWrites(now.Add(localWriteDelay), false)
	if len(due) != 1 || len(due[0].Record.Targets) != 3 || due[0].Revision != 7 {
		t.Fatalf("%v is due where the record lacks a target", due)
	}
	a.WriteDone(now, f)
	a.SetRecord(now, f, Record{Targets: []uint64{1, 2}}, 7)
	if !a.SetRecord(now, f, due[0].Record, 8) || statusOf(a, now, f) != Quarantined {
		t.Error("not quarantined by the observations of the other VM")
	}
	if due := a.DueWrites(now.Add(time.Minute), true); len(due) != 0 {
		t.Errorf("%v is due though the record is complete", due)
	}
}

// Guards against a request that is refused for ever, and against a trial at each VM.
func TestTrialsAreRareAndClaimed(t *testing.T) {
	table, f := NewTable(), requestNamed("f")
	crashTargets(table, start, f, 1, 2, 3)
	now := start.Add(firstTrialDelay)
	if statusOf(table, now, f) != Quarantined {
		t.Error("a trial is due without a record")
	}
	table.SetRecord(start, f, Record{Targets: threeTargets}, 7)
	if statusOf(table, now.Add(-1), f) != Quarantined || statusOf(table, now, f) != TrialDue {
		t.Error("the first trial is not due at its time")
	}
	record, at, ok := table.ClaimTrial(now, f)
	if !ok || at != 7 || record.Trials != 1 {
		t.Fatalf("claim %+v at %d, %v", record, at, ok)
	}
	if _, _, again := table.ClaimTrial(now, f); again || statusOf(table, now, f) != Quarantined {
		t.Error("a second claim while the first is in progress")
	}
	table.SetRecord(now, f, record, 8)
	if v := table.Verdict(now.Add(trialInterval-1), f); v.Status != Quarantined || v.RetryAfter != trialRetryDelay {
		t.Errorf("%+v before the second trial", v)
	}
	if statusOf(table, now.Add(trialInterval), f) != TrialDue {
		t.Error("the second trial is not due at its time")
	}
}

// Guards against memory and records that grow with the number of lost requests.
func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	poison := requestNamed("bad")
	crashTargets(table, start, poison, 1, 2, 3)
	for i := range maxSuspects + 200 {
		crashTargets(table, start.Add(time.Duration(i)), requestNamed(fmt.Sprint(i)), uint64(i))
	}
	if suspected, quarantined := table.Counts(); suspected != maxSuspects || quarantined != 1 {
		t.Errorf("%d suspected, %d quarantined", suspected, quarantined)
	}
	if statusOf(table, start, poison) != Quarantined {
		t.Error("a quarantined request was evicted")
	}
	table.Expire(start.Add(2 * evidenceTTL))
	if !table.IsEmpty() {
		t.Error("requests are tracked after all crashes expired")
	}
	for i := range maxRecords + 200 {
		crashTargets(table, start, requestNamed(fmt.Sprint(i)), 1, 2, 3)
	}
	if due := table.DueWrites(start.Add(time.Second), true); len(due) != maxRecords {
		t.Errorf("%d records are written, want %d", len(due), maxRecords)
	}
	for i := range maxRecords + 200 {
		table.WriteDone(start, requestNamed(fmt.Sprint(i)))
	}
	table.WriteDone(start, poison)
	table.Expire(start.Add(2 * evidenceTTL))
	if !table.IsEmpty() {
		t.Error("requests stay quarantined whose records were never stored")
	}
}

// Guards against records that stay in the store for ever.
func TestUnchangedRecordExpires(t *testing.T) {
	table, f := NewTable(), requestNamed("f")
	table.SetRecord(start, f, Record{Targets: threeTargets}, 7)
	if due := table.DueWrites(start.Add(recordTTL), true); len(due) != 0 {
		t.Errorf("%v due too early", due)
	}
	later := start.Add(recordTTL + 1)
	if due := table.DueWrites(later, false); len(due) != 0 {
		t.Errorf("%v due at a VM that is not the leader", due)
	}
	if due := table.DueWrites(later, true); len(due) != 1 || !due[0].Remove {
		t.Errorf("%v due, want the removal", due)
	}
}

// Guards against requests that crash targets and are sent again, as a restored store lacks the record of
// their quarantine: the record is written again, once by those that saw the crashes or else by the leader.
func TestRecordLostByTheStoreIsWrittenAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	f := requestNamed("lost")
	for _, leader := range []bool{false, true} {
		table := NewTable()
		table.SetRecord(now, f, Record{Targets: []uint64{1, 2, 3}, Trials: 2}, store.NewRevision(1, 50))
		table.LoseRecord(f)
		if got := statusOf(table, now, f); got != Quarantined {
			t.Fatalf("status %v after the loss, want quarantined", got)
		}
		due := table.DueWrites(now.Add(fallbackWriteDelay), leader)
		if !leader && len(due) > 0 {
			t.Errorf("a VM that saw no crash writes %+v", due)
		}
		if leader && (len(due) != 1 || due[0].Revision != 0 || due[0].Record.Trials != 2 || len(due[0].Record.Targets) != 3) {
			t.Errorf("writes of the leader: %+v", due)
		}
	}
}

// Guards against a trial too many: a restored store has a record with fewer trials than were made.
func TestRecordWithFewerTrialsIsWrittenAgain(t *testing.T) {
	now := time.Unix(1000, 0)
	f := requestNamed("older")
	table := NewTable()
	table.SetRecord(now, f, Record{Targets: []uint64{1, 2, 3}, Trials: 2}, store.NewRevision(1, 50))
	older := store.NewRevision(2, 40)
	table.SetRecord(now, f, Record{Targets: []uint64{1, 2, 3}, Trials: 1}, older)
	due := table.DueWrites(now.Add(fallbackWriteDelay), true)
	if len(due) != 1 || due[0].Revision != older || due[0].Record.Trials != 2 {
		t.Errorf("writes %+v, want the record with two trials in place of revision %d", due, older)
	}
}
