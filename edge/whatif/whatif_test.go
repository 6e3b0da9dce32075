package whatif

import (
	"math"
	"strings"
	"testing"

	"github.com/yuccaroute/yuccaroute/edge/regionplan"
)

// example has a small region a with restricted demand, and two larger regions.
func example(t *testing.T) *State {
	t.Helper()
	s, err := New([]string{"c", "a", "b"})
	if err != nil {
		t.Fatal(err)
	}
	s.Services = []Service{{Name: "s", Capacity: []float64{10, 40, 50}, Demand: map[regionplan.Source]float64{
		{Region: 0, Allowed: 0b001}: 14,
		{Region: 1, Allowed: 0b111}: 12,
		{Region: 2, Allowed: 0b111}: 20,
	}}}
	return s
}

func compare(t *testing.T, change func(*State) error) *Result {
	t.Helper()
	before := example(t)
	after := before.Clone()
	if err := change(after); err != nil {
		t.Fatal(err)
	}
	return Compare(before, after)
}

func near(a, b float64) bool { return math.Abs(a-b) < 0.05 }

// Guards against a change that alters the state it is compared with, and against demand that is planned
// in regions which it may not use.
func TestChanges(t *testing.T) {
	for _, c := range []struct {
		name          string
		change        func(*State) error
		load          [3]float64
		before, after float64
		worse         bool
	}{
		{"none", func(*State) error { return nil }, [3]float64{14, 12, 20}, 4, 4, false},
		{"drain of the restricted region", func(s *State) error { return s.Drain("a") }, [3]float64{14, 12, 20}, 4, 14, true},
		{"drain of another region", func(s *State) error { return s.Drain("c") }, [3]float64{14, 32, 0}, 4, 4, false},
		{"more regions", func(s *State) error { return s.SetRegions("s", []string{"a"}, []string{"a", "b"}) }, [3]float64{5, 20, 21}, 4, 0, false},
		{"more targets", func(s *State) error { return s.AddTargets("s", "a", 20) }, [3]float64{14, 12, 20}, 4, 0, false},
	} {
		r := compare(t, c.change)
		for i, want := range c.load {
			if got := r.Regions[i]; !near(got.After.LoadSlots, want) || !near(got.Before.LoadSlots, [3]float64{14, 12, 20}[i]) {
				t.Errorf("%s: %+v, want a load of %v", c.name, got, want)
			}
		}
		if !near(r.BeforeSlots, c.before) || !near(r.AfterSlots, c.after) || r.IsWorse() != c.worse {
			t.Errorf("%s: without room %v, then %v, worse %v; want %v, %v, %v", c.name, r.BeforeSlots, r.AfterSlots, r.IsWorse(), c.before, c.after, c.worse)
		}
	}
}

// Guards against naming demand that could go elsewhere as the one without room.
func TestRestrictedDemandGetsRoomFirst(t *testing.T) {
	s := example(t)
	s.Services[0] = Service{Name: "s", Capacity: []float64{10, 10, 0}, Demand: map[regionplan.Source]float64{
		{Region: 0, Allowed: 0b001}: 8,
		{Region: 1, Allowed: 0b111}: 20,
	}}
	r := Compare(s, s)
	if len(r.WithoutRoom) != 1 || r.WithoutRoom[0].CallersRegion != "b" || !near(r.WithoutRoom[0].AfterSlots, 8) {
		t.Errorf("%+v", r.WithoutRoom)
	}
	if r.Regions[2].After.Utilization != nil {
		t.Error("a region without capacity has a utilization")
	}
}

// Guards against changes that name nothing and would silently have no effect.
func TestInvalidChanges(t *testing.T) {
	for want, change := range map[string]func(*State) error{
		`unknown region "x"; there are: a, b, c`: func(s *State) error { return s.Drain("x") },
		`unknown service "x"; there are: s`:      func(s *State) error { return s.AddTargets("x", "a", 1) },
		`it must be a number above 0`:            func(s *State) error { return s.AddTargets("s", "a", math.NaN()) },
		`1e+07 slots; it must be at most 1e+06`:  func(s *State) error { return s.AddTargets("s", "a", 1e7) },
		`TO: no region given`:                    func(s *State) error { return s.SetRegions("s", []string{"a"}, nil) },
		`FROM: unknown region "x"`:               func(s *State) error { return s.SetRegions("s", []string{"x"}, []string{"a"}) },
		`no demand for s may run in exactly a,b`: func(s *State) error { return s.SetRegions("s", []string{"a", "b"}, []string{"a"}) },
		`33 regions; at most 32 can be planned`:  func(*State) error { _, err := New(make([]string, 33)); return err },
		`unknown region "y"; there are: a, b, c`: func(s *State) error { return s.AddTargets("s", "y", 1) },
	} {
		if err := change(example(t)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v, want %q", err, want)
		}
	}
}
