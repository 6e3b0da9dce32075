package modelcheck

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccaroute/yuccaroute/control/internal/fault"
)

// TestMain fixes the seed so that runs are reproducible. A long run with another seed:
//
//	go test ./control/modelcheck -run TestCapacityNeverExceeded -rapid.seed=N -rapid.checks=100000 -timeout 0
func TestMain(m *testing.M) {
	setDefault("rapid.seed", "20260101")
	setDefault("rapid.checks", "150")
	setDefault("rapid.steps", "60")
	setDefault("rapid.nofailfile", "true")
	flag.Parse()
	os.Exit(m.Run())
}

func setDefault(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}

// No random order of faults may let the fleet exceed a capacity or the move cap.
func TestCapacityNeverExceeded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { runMachine(rt, actions) })
}

// The invariants hold while an operator changes capacities and nodes learn of it at
// different times.
func TestNoRaiseAboveChangedCapacity(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		runMachine(rt, append([]action{{"capacity", changeCapacity}}, actions...))
	})
}

func runMachine(rt *rapid.T, actions []action) {
	w := newWorld(fault.Set{}, rapid.Uint64().Draw(rt, "world"))
	c := rapidChooser{rt}
	w.run(20 * time.Second)
	repeat := make(map[string]func(*rapid.T))
	for _, a := range actions {
		repeat[a.name] = func(rt *rapid.T) { a.run(w, c) }
	}
	repeat[""] = func(rt *rapid.T) {
		if w.violation != "" {
			rt.Fatal(w.violation)
		}
	}
	rt.Repeat(repeat)
}
