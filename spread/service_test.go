package spread

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/yuccaroute/yuccaroute/api/peerpb"
)

// idleMessages counts the messages of an idle fleet, by node and minute.
func idleMessages(t *testing.T, perPlace int) float64 {
	perNode := 0.0
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 3, 2, perPlace)
		defer f.stop()
		f.store.put(account(1))
		f.after(time.Minute)
		f.net.counted()
		const minutes = 5
		f.after(minutes * time.Minute)
		total := 0
		for _, n := range f.net.counted() {
			total += n
		}
		perNode = float64(total) / float64(len(f.nodes)) / minutes
	})
	return perNode
}

// Four times the nodes must not cost a node more messages: with 550 nodes it
// has no more to spend.
func TestIdleMessagesDoNotGrowWithTheFleet(t *testing.T) {
	small, large := idleMessages(t, 5), idleMessages(t, 20)
	if large > 1.1*small {
		t.Errorf("%.1f messages a node and minute in the small fleet, %.1f in the large one", small, large)
	}
}

func benchService(b *testing.B) *Service {
	s, err := New(Options{Ref: ref("a"), Members: noMembers, Dial: noDial})
	if err != nil {
		b.Fatal(err)
	}
	return s
}

// BenchmarkChange is one change taken in and marked for all subscribers.
func BenchmarkChange(b *testing.B) {
	for _, subscribers := range []int{1, 32} {
		b.Run(fmt.Sprintf("subscribers=%d", subscribers), func(b *testing.B) {
			s := benchService(b)
			for i := range subscribers {
				if _, err := s.server.join(ref(fmt.Sprintf("vm%d", i))); err != nil {
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
					s.hub.take(sub.waiter)
				}
			}
		})
	}
}

// BenchmarkCompareEqual is the answer to a periodic comparison that finds no
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
