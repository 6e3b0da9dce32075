package experiment

import (
	"io"
	"strings"
	"testing"
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

func TestAllFaultsAtOnce(t *testing.T) {
	text := strings.NewReplacer("duration = 20ms", "duration = 20", "p99 = 1.5", "p99 = much", "workers = 2", "wrokers = 2").Replace(file)
	_, err := Parse([]byte(text))
	if err == nil {
		t.Fatal("accepted")
	}
	for _, want := range []string{"key duration", "key p99", "key wrokers"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("error %q does not name %q", err, want)
		}
	}
}
