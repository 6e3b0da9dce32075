package modelcheck

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccaroute/yuccaroute/control/internal/fault"
)

// TestMain fixes the seed, so that each run has the same verdict. A long run
// with another seed:
//
//	go test ./control/modelcheck -run TestNoCapacityIsPassed -rapid.seed=N -rapid.checks=100000 -timeout 0
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

// Nodes, deciders and the store go through any order of faults. A user would
// see a region pushed past its capacity, or more traffic moved than the cap.
func TestNoCapacityIsPassed(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) { machine(rt, actions) })
}

// The same while an operator changes capacities, with nodes that learn of it
// at different times.
func TestNoRaiseWhileCapacitiesChange(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		machine(rt, append([]action{{"capacity", lowerCapacity}}, actions...))
	})
}

func machine(rt *rapid.T, actions []action) {
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
