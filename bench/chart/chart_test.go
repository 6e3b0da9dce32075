package chart

import (
	"os"
	"testing"

	"github.com/yuccaroute/yuccaroute/bench/report"
)

func TestWriteAll(t *testing.T) {
	r := &report.Result{}
	for _, size := range []float64{1, 2, 3, 4} {
		r.Rows = append(r.Rows, report.Row{
			Scenario: "s", SizeName: "nodes", Size: size,
			Metrics: []report.Metric{{Name: "time", Unit: "ms", Value: 2 + size}},
		})
	}
	names, err := WriteAll(r, t.TempDir())
	if err != nil || len(names) != 1 {
		t.Fatalf("files %v, error %v", names, err)
	}
	content, err := os.ReadFile(names[0])
	if err != nil || len(content) < 8 || string(content[1:4]) != "PNG" {
		t.Errorf("no PNG file: %v", err)
	}
}
