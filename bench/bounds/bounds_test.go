package bounds

import (
	"strings"
	"testing"
	"testing/fstest"
)

const output = `goos: linux
pkg: github.com/yuccaroute/yuccaroute/lookup/blocks
BenchmarkRegion/blocks=10000-12     	 100	   50.0 ns/op	   0 B/op	 0 allocs/op
BenchmarkRegion/blocks=330000-12    	 100	  400.0 ns/op	  16 B/op	 1 allocs/op
BenchmarkBuild/blocks=10000-12      	 100	 9000 ns/op	  766064 B-kept	 1430918 B/op	 15123 allocs/op
pkg: github.com/yuccaroute/yuccaroute/proxy
BenchmarkRegion/blocks=330000-12    	 100	   60.0 ns/op
`

const file = `[BenchmarkRegion/blocks=330000]
allocs_per_op_max = 0
bytes_per_op_max = 16
ratio_to = BenchmarkRegion/blocks=10000
ratio_max = 4

[BenchmarkBuild/blocks=10000]
bytes_per_op_max = 1430918

[BenchmarkGone]
allocs_per_op_max = 0
`

func TestCheckAll(t *testing.T) {
	tree := fstest.MapFS{"lookup/bounds.ini": {Data: []byte(file)}}
	bounds, err := ReadTree(tree)
	if err != nil {
		t.Fatal(err)
	}
	outcome, err := CheckAll(strings.NewReader(output), bounds)
	if err != nil {
		t.Fatal(err)
	}
	if len(outcome.Violations) != 2 || outcome.Checked != 4 {
		t.Fatalf("outcome %+v, want 2 violations of 4 figures", outcome)
	}
	if v := outcome.Violations[0]; v.What != whatAllocs || v.Measured != 1 {
		t.Errorf("first violation %v", v)
	}
	if v := outcome.Violations[1]; v.What != whatRatio || v.Measured != 8 {
		t.Errorf("second violation %v", v)
	}
	if len(outcome.NotRun) != 1 || outcome.NotRun[0].Benchmark != "BenchmarkGone" {
		t.Errorf("not run %+v", outcome.NotRun)
	}
}

// Without -benchmem the output holds no allocations. Reading them as 0 would
// pass every bound.
func TestMissingColumnsAreNotPassed(t *testing.T) {
	bounds, err := Parse("proxy", []byte("[BenchmarkRegion/blocks=330000]\nallocs_per_op_max = 0\n"))
	if err != nil {
		t.Fatal(err)
	}
	outcome, err := CheckAll(strings.NewReader(output), bounds)
	if err != nil {
		t.Fatal(err)
	}
	if len(outcome.NotRun) != 1 || outcome.Checked != 0 {
		t.Errorf("outcome %+v, want the bound not run", outcome)
	}
}

func TestBadBoundsFile(t *testing.T) {
	for _, text := range []string{
		"[NotABenchmark]\nallocs_per_op_max = 0\n",
		"[BenchmarkA]\nallocs = 0\n",
		"[BenchmarkA]\nallocs_per_op_max = few\n",
		"[BenchmarkA]\nratio_max = 2\n",
	} {
		if _, err := Parse("m", []byte(text)); err == nil {
			t.Errorf("accepted %q", text)
		}
	}
}
