package exchange

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/yuccaroute/yuccaroute/edge/targetload"
)

func encoded(t *testing.T, s State) []byte {
	t.Helper()
	data, err := msgpack.Marshal(&s)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// Slow targets must arrive as they were sent and cost what docs/CAPACITY.md says; reports without any
// cost nothing.
func TestSlowTargetsInReports(t *testing.T) {
	list := SlowTargets{{Key: 1<<24 - 1, Pace: 2.5, Age: 130 * time.Millisecond}, {Key: 7, Pace: 1.5}}
	got, err := decode(encoded(t, State{SlowTargets: list, Digest: &Digest{SlowTargets: list}}))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(list, got.SlowTargets) + cmp.Diff(list, got.Digest.SlowTargets); diff != "" {
		t.Error(diff)
	}
	without := len(encoded(t, State{Digest: &Digest{}}))
	for n, want := range map[int]int{0: 0, 1: 10, 16: 85, targetload.MaxSlow: 165} {
		if got := len(encoded(t, State{Digest: &Digest{SlowTargets: make(SlowTargets, n)}})) - without; got != want {
			t.Errorf("%d slow targets take %d bytes, want %d", n, got, want)
		}
	}
}

// Ages must not fall in transit, or a VM would take its own statement for a newer one of another VM.
func TestAgesAreRoundedUp(t *testing.T) {
	got, err := decode(encoded(t, State{SlowTargets: SlowTargets{{Key: 1, Pace: 99, Age: time.Millisecond}, {Key: 2, Age: time.Hour}}}))
	if err != nil {
		t.Fatal(err)
	}
	if got.SlowTargets[0].Age != ageUnit || got.SlowTargets[1].Age != 255*ageUnit || got.SlowTargets[0].Pace < 12 {
		t.Errorf("%+v", got.SlowTargets)
	}
}

// A malformed list is an error and no panic.
func TestMalformedSlowTargets(t *testing.T) {
	data, err := msgpack.Marshal(map[string][]byte{"tl": {1, 2, 3}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := decode(data); err == nil {
		t.Error("three bytes were decoded")
	}
}
