package report

import (
	"bytes"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func result(values ...float64) *Result {
	r := &Result{Experiment: "e"}
	for i, v := range values {
		r.Rows = append(r.Rows, Row{
			Scenario: "s", SizeName: "nodes", Size: 10, Repetition: i,
			Metrics: []Metric{{Name: "p99", Unit: "us", Value: v}},
		})
	}
	return r
}

func TestCompareUsesMediansAndBounds(t *testing.T) {
	bounds := []RatioBound{{Metric: "p99", Max: 1.5}}
	// One disturbed repetition must not decide.
	kept := Compare(result(10, 11, 12), result(9, 12, 900), bounds)
	if !kept.Kept() {
		t.Errorf("comparison %+v, want kept", kept)
	}
	if broken := Compare(result(10, 11, 12), result(20, 21, 22), bounds); broken.Kept() {
		t.Errorf("comparison %+v, want not kept", broken)
	}
}

// A later run that left a figure out must not pass for one that kept it.
func TestMissingFigureIsNotKept(t *testing.T) {
	c := Compare(result(10), &Result{}, nil)
	if c.Kept() || len(c.Missing) != 1 {
		t.Errorf("comparison %+v, want one missing figure", c)
	}
}

func TestJSONRoundTrip(t *testing.T) {
	var buffer bytes.Buffer
	want := result(1, 2)
	if err := want.WriteJSON(&buffer); err != nil {
		t.Fatal(err)
	}
	got, err := ReadJSON(&buffer)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

// A file that is no result must not read as one without figures.
func TestNoResult(t *testing.T) {
	if r, err := ReadJSON(strings.NewReader("{}")); err == nil {
		t.Errorf("read %+v", r)
	}
}

// Too few sizes give no line and a run that was interrupted may have no figure;
// then there is no table either.
func TestNothingNoTable(t *testing.T) {
	var out strings.Builder
	result(1, 2).WriteFits(&out)
	result().WriteTable(&out)
	if out.Len() > 0 {
		t.Error(out.String())
	}
}
