package fairshare

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func keyOf(account string) Key {
	return Key{Service: "s", Region: "a", Account: AccountOf(account)}
}

// isAbout reports whether work is within a millisecond of the expected one.
func isAbout(got, want time.Duration) bool { return (got - want).Abs() <= time.Millisecond }

// Guards against work that does not decay, is not corrected by the time that a request took, or becomes
// negative by a correction.
func TestWorkDecaysAndIsCorrected(t *testing.T) {
	table, key := NewTable(), keyOf("x")
	table.Start(start, key, "x", time.Second)
	table.Correct(start, key, time.Second)
	if got := table.Work(start, key); !isAbout(got, 2*time.Second) {
		t.Errorf("%v, want 2s", got)
	}
	if got := table.Work(start.Add(TimeConstant), key); !isAbout(got, 736*time.Millisecond) {
		t.Errorf("%v after a time constant", got)
	}
	table.Correct(start.Add(TimeConstant), key, -time.Hour)
	if got := table.Work(start.Add(TimeConstant), key); got != 0 {
		t.Errorf("%v after a correction by more than the work", got)
	}
	table.Correct(start, keyOf("unknown"), time.Second)
	if got := table.Work(start, keyOf("unknown")); got != 0 {
		t.Errorf("%v of an unknown account", got)
	}
}

// Guards against bursts that pass as a block: each request must count against those of its account
// behind it, so that tags of two accounts with the same work alternate.
func TestTagsOfABurstAlternateWithOthers(t *testing.T) {
	table := NewTable()
	table.BeginPass()
	for i := range 3 {
		for _, account := range []string{"x", "y"} {
			if got, want := table.NextTag(start, keyOf(account), time.Second), time.Duration(i)*time.Second; !isAbout(got, want) {
				t.Errorf("request %d of %s: tag %v, want %v", i, account, got, want)
			}
		}
	}
	table.BeginPass()
	if got := table.NextTag(start, keyOf("x"), time.Second); got != 0 {
		t.Errorf("tag %v in the next pass", got)
	}
}

// Guards against an account that was idle and gets all capacity until it has caught up with the others,
// and against one that is raised although it waits all the time.
func TestIdleAccountHasNoCredit(t *testing.T) {
	table := NewTable()
	table.Wait(start, keyOf("x"), "x", time.Second)
	table.Wait(start, keyOf("y"), "y", time.Second)
	table.Start(start, keyOf("x"), "x", 10*time.Second)
	table.Start(start, keyOf("y"), "y", 20*time.Second)
	table.Wait(start, keyOf("idle"), "idle", 2*time.Second)
	if got := table.Work(start, keyOf("idle")); !isAbout(got, 8*time.Second) {
		t.Errorf("work %v of an idle account, want 8s", got)
	}
	table.Start(start, keyOf("x"), "x", 10*time.Second)
	table.Wait(start, keyOf("idle"), "idle", 2*time.Second)
	if got := table.Work(start, keyOf("idle")); !isAbout(got, 8*time.Second) {
		t.Errorf("work %v after another request, want 8s", got)
	}
	// Those that have not waited for 5 s do not count, and neither do other services.
	later := start.Add(recentTime + time.Second)
	table.Wait(later, keyOf("other"), "other", time.Second)
	elsewhere := Key{Service: "t", Region: "a", Account: AccountOf("x")}
	table.Wait(start, elsewhere, "x", time.Second)
	if table.Work(later, keyOf("other")) != 0 || table.Work(start, elsewhere) != 0 {
		t.Errorf("work %v, %v, want none", table.Work(later, keyOf("other")), table.Work(start, elsewhere))
	}
}

// Guards against state that grows with the number of accounts, and against the loss of what others report
// of an account that was evicted.
func TestLeastRecentlyUsedAccountsAreEvicted(t *testing.T) {
	table := NewTable()
	table.SetReport(start, "vm", []Part{{keyOf("0"), time.Second}, {keyOf("1"), time.Second}}, true)
	for i := range 5 * MaxAccounts {
		name := fmt.Sprint(i)
		table.Start(start, keyOf(name), name, time.Second)
		table.Start(start, keyOf("0"), "0", time.Millisecond)
	}
	if n := len(table.entries); n != MaxAccounts || table.recent.Len() != n {
		t.Errorf("%d accounts are kept", n)
	}
	if got := table.Work(start, keyOf("0")); got < 2*time.Second {
		t.Errorf("work %v of an account in use", got)
	}
	table.Wait(start, keyOf("1"), "1", time.Second)
	if got := table.Work(start, keyOf("1")); !isAbout(got, time.Second) {
		t.Errorf("work %v of an account that was evicted, want 1s by the report", got)
	}
}

// A report must replace the earlier one of its VM, however often it comes, and count for 2 s.
func TestReportsReplaceEarlierOnes(t *testing.T) {
	table, key := NewTable(), keyOf("x")
	table.Start(start, key, "x", time.Second)
	for _, work := range []time.Duration{3 * time.Second, 2 * time.Second, 2 * time.Second} {
		table.SetReport(start, "vm-1", []Part{{key, work}}, true)
	}
	table.SetReport(start, "vm-2", []Part{{key, 4 * time.Second}}, true)
	if got := table.Work(start, key); !isAbout(got, 7*time.Second) {
		t.Errorf("%v, want 7s", got)
	}
	table.SetReport(start, "vm-1", nil, true)
	if got := table.Work(start, key); !isAbout(got, 5*time.Second) {
		t.Errorf("%v after an empty report, want 5s", got)
	}
	now := start.Add(ReportTTL - time.Millisecond)
	table.Expire(now)
	if got := table.Work(now, key); !isAbout(got, duration(decayed(5, now.Sub(start)))) {
		t.Errorf("%v just before the report expires", got)
	}
	now = start.Add(ReportTTL)
	table.Expire(now)
	if got := table.Work(now, key); !isAbout(got, duration(decayed(1, ReportTTL))) || len(table.reports) != 0 {
		t.Errorf("%v after the report has expired", got)
	}
}

// Totals contain the last report of this VM, which must not count twice.
func TestTotalsWithoutOwnWork(t *testing.T) {
	table, key := NewTable(), keyOf("x")
	table.Wait(start, key, "x", time.Second)
	table.Start(start, key, "x", 2*time.Second)
	table.Report(start)
	table.SetTotals(start, "totals", []Part{{key, 5 * time.Second}})
	if got := table.Work(start, key); !isAbout(got, 5*time.Second) {
		t.Errorf("%v, want 5s", got)
	}
	table.SetTotals(start, "totals", []Part{{key, time.Second}})
	if got := table.Work(start, key); !isAbout(got, 2*time.Second) {
		t.Errorf("%v with totals below the own work, want 2s", got)
	}
}

// Two VMs that send totals to each other must not add each other's: the sums would grow without end.
func TestTotalsAreNotPassedOn(t *testing.T) {
	first, second := NewTable(), NewTable()
	for _, table := range []*Table{first, second} {
		table.SetReport(start, "vm", []Part{{keyOf("x"), time.Second}}, true)
	}
	for range 5 {
		first.SetTotals(start, "totals", second.Sums(start, true))
		second.SetTotals(start, "totals", first.Sums(start, true))
	}
	if parts := first.Sums(start, true); len(parts) != 1 || !isAbout(parts[0].Work, time.Second) {
		t.Errorf("%v, want 1s", parts)
	}
}

// The last report of a VM whose queue has been empty must not count twice while totals still contain it.
func TestOwnWorkAfterTheLastReport(t *testing.T) {
	table, key := NewTable(), keyOf("x")
	table.Wait(start, key, "x", time.Second)
	table.Start(start, key, "x", 10*time.Second)
	last := start.Add(sentAfterQueue)
	parts := table.Report(last)
	later := last.Add(time.Second)
	if len(parts) != 1 || table.Report(later) != nil {
		t.Fatalf("reported %v, then not nil", parts)
	}
	own := table.Work(later, key)
	table.SetTotals(later, "totals", parts)
	if got := table.Work(later, key); got > own+parts[0].Work/8 {
		t.Errorf("work %v, of it own %v", got, own)
	}
}

// Reports must hold the accounts with the most work only, none without a queue in the last 10 s, and no
// raised work; sums for other regions must leave out what those regions have sent.
func TestReportedWork(t *testing.T) {
	table := NewTable()
	for i := range 2 * MaxSent {
		name := fmt.Sprint(i)
		table.Start(start, keyOf(name), name, time.Duration(i+1)*time.Second)
	}
	if parts := table.Report(start); parts != nil {
		t.Errorf("%d accounts are sent without a queue", len(parts))
	}
	table.Wait(start, keyOf("idle"), "idle", time.Millisecond)
	parts := table.Report(start)
	if len(parts) != MaxSent || !isAbout(parts[0].Work, 2*MaxSent*time.Second) {
		t.Errorf("%d accounts, the first with %v", len(parts), parts[0].Work)
	}
	wide := NewTable()
	wide.Wait(start, keyOf("0"), "0", time.Second)
	for i := range 4 * MaxSent {
		name := fmt.Sprint(i)
		wide.Start(start, Key{Service: fmt.Sprint(i % 4), Region: "a", Account: AccountOf(name)}, name, time.Second)
	}
	if n := len(wide.Report(start)); n != MaxReported {
		t.Errorf("%d accounts of four services are reported", n)
	}
	if n := len(table.Largest(start)); n != MaxSent {
		t.Errorf("%d accounts for metrics", n)
	}
	if parts := table.Report(start.Add(sentAfterQueue + time.Second)); parts != nil {
		t.Errorf("%d accounts are sent after the queue", len(parts))
	}
	other := NewTable()
	other.SetReport(start, "vm", []Part{{keyOf("x"), time.Second}}, true)
	other.SetReport(start, "region b", []Part{{keyOf("x"), 2 * time.Second}}, false)
	for all, want := range map[bool]time.Duration{false: time.Second, true: 3 * time.Second} {
		if parts := other.Sums(start, all); len(parts) != 1 || !isAbout(parts[0].Work, want) {
			t.Errorf("all %v: %v, want %v", all, parts, want)
		}
	}
}

// Parts must survive the message, and damaged ones must give an error or bounded values.
func TestCodec(t *testing.T) {
	parts := []Part{{keyOf("x"), 1234 * time.Millisecond}, {keyOf("y"), 0}, {Key{"s", "b", 7}, time.Hour}, {Key{"t", "a", 7}, time.Second}}
	got, err := Decode(Encode(parts))
	if diff := cmp.Diff(parts, got); err != nil || diff != "" {
		t.Errorf("%v, %s", err, diff)
	}
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "data")
		if rapid.Bool().Draw(t, "truncated") {
			data = Encode(parts)
			data = data[:rapid.IntRange(0, len(data)).Draw(t, "length")]
		}
		parts, err := Decode(data)
		if err != nil && parts != nil {
			t.Errorf("%v with an error", parts)
		}
		for _, p := range parts {
			if p.Work < 0 || p.Work > maxWork {
				t.Errorf("work %v", p.Work)
			}
		}
	})
}
