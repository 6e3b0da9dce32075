package experiment

import (
	"io"
	"strings"
	"testing"
	"time"
)

const file = `[experiment]
name = small
repetitions = 2
seeds = 1, 2

[scenario lookup-library]
sizes = 200, 100
rate = 500
workers = 2
duration = 20ms

[compare]
p99 = 1.5
`

func TestParseAndRun(t *testing.T) {
	e, err := Parse([]byte(file))
	if err != nil {
		t.Fatal(err)
	}
	if len(e.Compare) != 1 || e.Compare[0].Max != 1.5 {
		t.Errorf("compare %+v", e.Compare)
	}
	result, err := Run(t.Context(), e, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	if len(result.Rows) != 8 || result.Rows[0].Size != 100 {
		t.Errorf("%d rows, first size %v; want 8 from size 100", len(result.Rows), result.Rows[0].Size)
	}
}

// The time that is told before a run counts only scenarios that run for a time.
func TestEstimate(t *testing.T) {
	e, err := Parse([]byte(file + "[scenario membership]\nsizes = 100\n"))
	if err != nil {
		t.Fatal(err)
	}
	if got, want := e.Estimate(), 8*20*time.Millisecond; got != want {
		t.Errorf("estimated %s, want %s", got, want)
	}
}

func TestAllFaultsAtOnce(t *testing.T) {
	text := strings.NewReplacer("duration = 20ms", "duration = 20", "p99 = 1.5", "p99 = much", "workers = 2", "wrokers = 2").Replace(file)
	text += "[scenario nope]\n[scenario membership]\nsizes = 100\nduration = 1s\n"
	_, err := Parse([]byte(text))
	if err == nil {
		t.Fatal("accepted")
	}
	for _, want := range []string{"key duration", "key p99", "key wrokers", `"nope"; there are blocks, `, "[scenario membership], key duration: not used"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("error %q does not name %q", err, want)
		}
	}
}
