package exchange

import (
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/vmihailenco/msgpack/v5"
)

// randomCounts returns counts of n targets.
func randomCounts(n int) Counts {
	r := rand.New(rand.NewPCG(1, 2))
	c := make(Counts)
	for len(c) < n {
		c[r.Uint32()>>8] = 1 + r.IntN(20)
	}
	return c
}

// Counts survive encoding and decoding, including empty ones and the largest key.
func TestCountsRoundTrip(t *testing.T) {
	for _, c := range []Counts{{}, {0: 1}, {1<<32 - 1: 3, 0: 200}, randomCounts(500)} {
		data, err := msgpack.Marshal(&State{InFlight: c})
		if err != nil {
			t.Fatal(err)
		}
		var got State
		if err := msgpack.Unmarshal(data, &got); err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(c, got.InFlight); diff != "" {
			t.Error(diff)
		}
	}
}

// Guards against digests of large regions that exceed the maximum datagram size.
func TestCountsOfLargeRegionFitDatagram(t *testing.T) {
	data, err := msgpack.Marshal(&State{Digest: &Digest{InFlight: randomCounts(3000)}})
	if err != nil {
		t.Fatal(err)
	}
	if len(data) > maxDatagram*2/3 {
		t.Errorf("%d bytes", len(data))
	}
}

func FuzzCounts(f *testing.F) {
	f.Add([]byte{1, 2, 0xff})
	f.Add(randomCounts(3).encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := decodeCounts(data)
		if err != nil {
			return
		}
		again, err := decodeCounts(c.encode())
		if err != nil || !cmp.Equal(c, again) {
			t.Errorf("%v became %v, %v", c, again, err)
		}
	})
}

func BenchmarkCounts(b *testing.B) {
	c := randomCounts(1000)
	for b.Loop() {
		b.ReportMetric(float64(len(c.encode())), "bytes")
	}
}
