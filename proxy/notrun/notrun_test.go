package notrun

import "testing"

// Guards against evidence that is inferred from what is missing, unknown or malformed.
func TestOnlyPositiveEvidenceCounts(t *testing.T) {
	for _, c := range []struct {
		name string
		got  Evidence
		want Evidence
	}{
		{"zero value", *new(Evidence), None},
		{"nothing written", Unanswered(0), NothingWritten},
		{"one byte written", Unanswered(1), None},
		{"stated, own", Answered(Answer{Named: true, Status: 503, States: true}), Stated},
		{"stated with another status, own", Answered(Answer{Named: true, Status: 400, States: true}), Stated},
		{"stated, not named", Answered(Answer{Status: 503, States: true}), None},
		{"stated with a success", Answered(Answer{Named: true, Status: 200, States: true}), None},
		{"503 that states nothing", Answered(Answer{Named: true, Status: 503}), None},
		{"429 that states nothing", Answered(Answer{Named: true, Status: 429}), None},
		{"408 that states nothing", Answered(Answer{Named: true, Status: 408}), None},
		{"421, own", Answered(Answer{Named: true, Status: 421}), Misdirected},
		{"421, not named", Answered(Answer{Status: 421}), None},
		{"server error", Answered(Answer{Named: true, Status: 500}), None},
	} {
		if c.got != c.want {
			t.Errorf("%s: %v, want %v", c.name, c.got, c.want)
		}
	}
}

// Guards against an attempt that may have run being forgotten when a later one did not.
func TestOneAttemptThatMayHaveRunDecides(t *testing.T) {
	var r Request
	if r.MayHaveRun() {
		t.Error("a request that was not sent may have run")
	}
	for _, e := range []Evidence{NotSent, NothingWritten, Stated, Misdirected} {
		r.Add(e)
	}
	if r.MayHaveRun() {
		t.Error("certain attempts count as runs")
	}
	r.Add(None)
	r.Add(Stated)
	if !r.MayHaveRun() {
		t.Error("an attempt that may have run is forgotten")
	}
}
