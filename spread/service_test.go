package spread

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/spread/item"
	"github.com/yuccaroute/yuccaroute/spread/transport"
)

// idleMessages returns the messages per node and minute in an idle fleet.
func idleMessages(t *testing.T, perDomain int) float64 {
	perNode := 0.0
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3, 2, perDomain)
		defer f.stop()
		f.store.put(account(1))
		f.advance(time.Minute)
		f.net.takeCounts()
		const minutes = 5
		f.advance(minutes * time.Minute)
		total := 0
		for _, n := range f.net.takeCounts() {
			total += n
		}
		perNode = float64(total) / float64(len(f.nodes)) / minutes
	})
	return perNode
}

// The idle messages of a node must not grow with the size of the fleet.
func TestIdleMessagesDoNotGrowWithTheFleet(t *testing.T) {
	small, large := idleMessages(t, 5), idleMessages(t, 20)
	if large > 1.1*small {
		t.Errorf("%.1f messages per node and minute in the small fleet, %.1f in the large one", small, large)
	}
}

// The largest item must fit into a message even behind a chunk that is almost
// full.
func TestLargestItemFitsAMessage(t *testing.T) {
	almost := item.New("account/a", 1, 1, make([]byte, chunkBytes-itemOverheadBytes-len("account/a")-1))
	largest := item.New(strings.Repeat("k", MaxKeyBytes), 1<<60, 1<<60, make([]byte, MaxBodyBytes))
	parts := chunks([]item.Item{almost, largest, almost})
	if len(parts) != 2 || len(parts[0]) != 2 {
		t.Fatalf("%d messages, %d items in the first", len(parts), len(parts[0]))
	}
	u := &peerpb.Update{Items: parts[0], Digest: 1, StoreRead: &peerpb.StoreRead{Watcher: 1, Count: 1 << 60, AgeMs: 1 << 30}}
	if n := proto.Size(u); n > transport.MaxMessageBytes {
		t.Errorf("message of %d bytes, at most %d are accepted", n, transport.MaxMessageBytes)
	}
	if _, err := fromProto(parts[0][1]); err != nil {
		t.Error(err)
	}
}

func benchService(b *testing.B) *Service {
	s, err := New(Options{Ref: ref("a"), Members: noMembers, Dial: noDial})
	if err != nil {
		b.Fatal(err)
	}
	return s
}

// BenchmarkChange measures one change queued for all subscribers.
func BenchmarkChange(b *testing.B) {
	for _, subscribers := range []int{1, 32} {
		b.Run(fmt.Sprintf("subscribers=%d", subscribers), func(b *testing.B) {
			s := benchService(b)
			for i := range subscribers {
				if _, err := s.server.admit(ref(fmt.Sprintf("vm%d", i))); err != nil {
					b.Fatal(err)
				}
			}
			body := make([]byte, 2000)
			b.ReportAllocs()
			for i := uint64(0); b.Loop(); i++ {
				if err := s.Publish("account/daehan", 1, i, body); err != nil {
					b.Fatal(err)
				}
				for _, sub := range s.server.subscribers {
					s.hub.take(sub.queue)
				}
			}
		})
	}
}

// BenchmarkCompareEqual measures the response to a comparison that finds no
// difference.
func BenchmarkCompareEqual(b *testing.B) {
	s := benchService(b)
	for i := range 5000 {
		if err := s.Publish(fmt.Sprintf("account/%d", i), 1, 1, []byte("body")); err != nil {
			b.Fatal(err)
		}
	}
	req := &peerpb.CompareRequest{Node: ref("b"), Digest: s.Snapshot().Digest()}
	b.ReportAllocs()
	for b.Loop() {
		if res, err := s.server.Compare(b.Context(), req); err != nil || !res.Equal {
			b.Fatal(res, err)
		}
	}
}
