package exchange

import (
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"
)

// targetsOf returns counts at n targets.
func targetsOf(n int) Counts {
	r := rand.New(rand.NewPCG(1, 2))
	c := make(Counts)
	for len(c) < n {
		c[r.Uint32()>>8] = 1 + r.IntN(20)
	}
	return c
}

// What one VM sends of its targets, none and the greatest key among them, is what the
// other one reads.
func TestCountsAreReadAsSent(t *testing.T) {
	for _, c := range []Counts{{}, {0: 1}, {1<<32 - 1: 3, 0: 200}, targetsOf(500)} {
		text, err := msgpack.Marshal(&State{InFlight: c})
		if err != nil {
			t.Fatal(err)
		}
		var got State
		if err := msgpack.Unmarshal(text, &got); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(c, got.InFlight); diff != "" {
			t.Error(diff)
		}
	}
}

// At 300 VMs a listener knew 3,000 targets. With 10 bytes each the datagram was larger than
// any that is sent, and the VMs of the region heard nothing more of each other.
func TestAThousandBusyTargetsFitADatagram(t *testing.T) {
	text, err := msgpack.Marshal(&State{Digest: &Digest{InFlight: targetsOf(3000)}})
	if err != nil {
		t.Fatal(err)
	}
	if len(text) > maxDatagram*2/3 {
		t.Errorf("%d bytes", len(text))
	}
}

func FuzzCounts(f *testing.F) {
	f.Add([]byte{1, 2, 0xff})
	f.Add(targetsOf(3).pack())
	f.Fuzz(func(t *testing.T, text []byte) {
		c, err := unpack(text)
		if err != nil {
			return
		}
		again, err := unpack(c.pack())
		if err != nil || !cmp.Equal(c, again) {
			t.Errorf("%v became %v, %v", c, again, err)
		}
	})
}

func BenchmarkCounts(b *testing.B) {
	c := targetsOf(1000)
	for b.Loop() {
		b.ReportMetric(float64(len(c.pack())), "bytes")
	}
}
