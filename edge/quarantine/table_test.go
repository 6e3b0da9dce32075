package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

var (
	start = time.Unix(1000, 0)
	three = []uint64{1, 2, 3}
)

func requestNamed(name string) Fingerprint { return FingerprintOf(Content{Target: name}) }

// ended has targets end under a request, all seen by this VM.
func ended(table *Table, now time.Time, f Fingerprint, targets ...uint64) {
	for _, target := range targets {
		table.TargetCrashed(now, f, target, true)
	}
}

func status(table *Table, now time.Time, f Fingerprint) Status { return table.Verdict(now, f).Status }

// Guards against a request that goes on reaching targets after three have ended under it, and
// against one that is refused before.
func TestThreeEndedTargetsQuarantine(t *testing.T) {
	table, f := NewTable(), requestNamed("f")
	want := []Status{Clear, Suspected, Quarantined, Quarantined}
	for i := range want {
		ended(table, start, f, uint64(i+1), uint64(i+1))
		if got := status(table, start, f); got != want[i] {
			t.Errorf("status %d after %d ended targets, want %d", got, i+1, want[i])
		}
	}
	if status(table, start, requestNamed("other")) != Clear {
		t.Error("another request is not clear")
	}
}

// Guards against innocent requests that stay refused: they were at targets that others ended.
func TestAnsweredRequestIsCleared(t *testing.T) {
	for name, recorded := range map[string]bool{"without a record": false, "with a record": true} {
		t.Run(name, func(t *testing.T) {
			table, f := NewTable(), requestNamed("f")
			ended(table, start, f, 1, 2, 3)
			if recorded {
				table.SetRecord(start, f, Record{Targets: three}, 7)
			}
			if !table.Answered(start, f, true) || table.Answered(start, f, true) {
				t.Error("the first answer is news, the second is not")
			}
			if status(table, start, f) != Clear {
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
				t.Error("something of it is kept")
			}
		})
	}
}

// Guards against a record that arrives after the request was answered, and quarantines it again.
func TestLateRecordOfAnAnsweredRequestIsRemoved(t *testing.T) {
	table, f := NewTable(), requestNamed("f")
	ended(table, start, f, 1, 2, 3)
	if due := table.DueWrites(start.Add(ownWriteAfter), false); len(due) != 1 || due[0].Remove {
		t.Fatalf("%v is due, want the record", due)
	}
	table.Answered(start, f, true)
	now := start.Add(retryWriteAfter)
	table.WriteDone(start, f)
	if table.SetRecord(now, f, Record{Targets: three}, 7) || status(table, now, f) != Clear {
		t.Error("quarantined by its own late record")
	}
	if due := table.DueWrites(now, false); len(due) != 1 || !due[0].Remove {
		t.Errorf("%v is due, want the removal", due)
	}
}

// Guards against VMs that know nothing of a quarantine: the record tells one that has just
// started, and is written by another VM if those that saw targets end are gone.
func TestRecordTellsVMsThatSawNothing(t *testing.T) {
	f := requestNamed("f")
	saw, watching, other, joined := NewTable(), NewTable(), NewTable(), NewTable()
	ended(saw, start, f, 1, 2, 3)
	for _, table := range []*Table{watching, other} {
		for target := range uint64(3) {
			table.TargetCrashed(start, f, target+1, false)
		}
	}
	if due := saw.DueWrites(start.Add(ownWriteAfter), false); len(due) != 1 {
		t.Errorf("%v due where targets were seen to end", due)
	}
	now := start.Add(unseenWriteAfter)
	if due := other.DueWrites(now, false); len(due) != 0 {
		t.Errorf("%v due at a VM that saw nothing", due)
	}
	if due := watching.DueWrites(now, true); len(due) != 1 || len(due[0].Record.Targets) != 3 {
		t.Errorf("%v due at the VM that writes what no other one did", due)
	}
	if !joined.SetRecord(now, f, Record{Targets: three}, 7) || status(joined, now, f) != Quarantined {
		t.Error("not quarantined by the record")
	}
	if v := joined.Verdict(now, f); v.Targets != 3 || v.RetryAfter != firstTrialAfter {
		t.Errorf("%+v by the record", v)
	}
	if !joined.RemoveRecord(f) || status(joined, now, f) != Clear {
		t.Error("not cleared by the end of the record")
	}
}

// Guards against VMs that do not hear each other, each of which has seen fewer targets end than
// it takes: the record holds what all of them saw.
func TestRecordJoinsWhatVMsSaw(t *testing.T) {
	f := requestNamed("f")
	a, b := NewTable(), NewTable()
	ended(a, start, f, 1, 2)
	ended(b, start, f, 3)
	now := start.Add(ownWriteAfter)
	due := a.DueWrites(now, false)
	if len(due) != 1 || len(due[0].Record.Targets) != 2 || len(b.DueWrites(now, true)) != 0 {
		t.Fatalf("%v is due where two targets were seen to end", due)
	}
	if !b.SetRecord(now, f, due[0].Record, 7) || status(b, now, f) != Quarantined {
		t.Error("not quarantined by the record and what the VM saw itself")
	}
	due = b.DueWrites(now.Add(ownWriteAfter), false)
	if len(due) != 1 || len(due[0].Record.Targets) != 3 || due[0].Revision != 7 {
		t.Fatalf("%v is due where the record lacks a target", due)
	}
	a.WriteDone(now, f)
	a.SetRecord(now, f, Record{Targets: []uint64{1, 2}}, 7)
	if !a.SetRecord(now, f, due[0].Record, 8) || status(a, now, f) != Quarantined {
		t.Error("not quarantined by what the other VM added")
	}
	if due := a.DueWrites(now.Add(time.Minute), true); len(due) != 0 {
		t.Errorf("%v is due though the record has all", due)
	}
}

// Guards against a request that is refused for ever, and against one that ends a target at
// each VM when its trial comes: the store gives one trial to all of them.
func TestTrialsAreRareAndClaimed(t *testing.T) {
	table, f := NewTable(), requestNamed("f")
	ended(table, start, f, 1, 2, 3)
	now := start.Add(firstTrialAfter)
	if status(table, now, f) != Quarantined {
		t.Error("a trial without a record that the VMs share")
	}
	table.SetRecord(start, f, Record{Targets: three}, 7)
	if status(table, now.Add(-1), f) != Quarantined || status(table, now, f) != TrialDue {
		t.Error("the first trial is not due at its time")
	}
	record, at, ok := table.ClaimTrial(now, f)
	if !ok || at != 7 || record.Trials != 1 {
		t.Fatalf("claim %+v at %d, %v", record, at, ok)
	}
	if _, _, again := table.ClaimTrial(now, f); again || status(table, now, f) != Quarantined {
		t.Error("a second claim while the first is under way")
	}
	table.SetRecord(now, f, record, 8)
	if v := table.Verdict(now.Add(trialEvery-1), f); v.Status != Quarantined || v.RetryAfter != retryTrialAfter {
		t.Errorf("%+v before the second trial", v)
	}
	if status(table, now.Add(trialEvery), f) != TrialDue {
		t.Error("the second trial is not due at its time")
	}
}

// Guards against memory and store that grow with the requests that were lost.
func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	bad := requestNamed("bad")
	ended(table, start, bad, 1, 2, 3)
	for i := range maxSuspects + 200 {
		ended(table, start.Add(time.Duration(i)), requestNamed(fmt.Sprint(i)), uint64(i))
	}
	if suspected, quarantined := table.Counts(); suspected != maxSuspects || quarantined != 1 {
		t.Errorf("%d suspected, %d quarantined", suspected, quarantined)
	}
	if status(table, start, bad) != Quarantined {
		t.Error("the quarantined request was forgotten for others")
	}
	table.Expire(start.Add(2 * evidenceFor))
	if !table.IsEmpty() {
		t.Error("something is kept after all ends are old")
	}
	for i := range maxRecords + 200 {
		ended(table, start, requestNamed(fmt.Sprint(i)), 1, 2, 3)
	}
	if due := table.DueWrites(start.Add(time.Second), true); len(due) != maxRecords {
		t.Errorf("%d records are written, want %d", len(due), maxRecords)
	}
	for i := range maxRecords + 200 {
		table.WriteDone(start, requestNamed(fmt.Sprint(i)))
	}
	table.WriteDone(start, bad)
	table.Expire(start.Add(2 * evidenceFor))
	if !table.IsEmpty() {
		t.Error("requests stay quarantined whose records the store never took")
	}
}

// Guards against records that stay in the store for ever.
func TestRecordThatNobodyChangesIsRemoved(t *testing.T) {
	table, f := NewTable(), requestNamed("f")
	table.SetRecord(start, f, Record{Targets: three}, 7)
	if due := table.DueWrites(start.Add(recordFor), true); len(due) != 0 {
		t.Errorf("%v due too early", due)
	}
	later := start.Add(recordFor + 1)
	if due := table.DueWrites(later, false); len(due) != 0 {
		t.Errorf("%v due at a VM that is not the first", due)
	}
	if due := table.DueWrites(later, true); len(due) != 1 || !due[0].Remove {
		t.Errorf("%v due, want the removal", due)
	}
}
