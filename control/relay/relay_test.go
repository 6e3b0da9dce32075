package relay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/testing/protocmp"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/api/result"
)

// testRelay is a relay with a fake decider.
type testRelay struct {
	grpc.ClientConnInterface
	relay *Relay
	// skipped is how far the relay's clock is ahead, lose how many answers are lost,
	// hold how long the decider holds answers to nodes short of capacity.
	skipped, lose atomic.Int64
	hold          time.Duration

	mu      sync.Mutex
	batches []*peerpb.BatchRequest
}

func newTestRelay() *testRelay {
	tr := &testRelay{}
	tr.relay = New(Options{
		Decider: func(model.AccountName) (*peerpb.NodeRef, uint64, bool) {
			return &peerpb.NodeRef{Vm: "decider"}, 5, true
		},
		Dial:      func(string) (grpc.ClientConnInterface, error) { return tr, nil },
		FleetSize: func() int { return 100 },
		Stopping:  func() bool { return false },
		Clock:     func() time.Time { return time.Now().Add(time.Duration(tr.skipped.Load())) },
	})
	return tr
}

// Invoke is the fake decider: the sequence of an answer is the interval of its
// report.
func (tr *testRelay) Invoke(ctx context.Context, _ string, args, reply any, _ ...grpc.CallOption) error {
	batch := args.(*peerpb.BatchRequest)
	tr.mu.Lock()
	tr.batches = append(tr.batches, proto.CloneOf(batch))
	tr.mu.Unlock()
	response := AnswerBatch(ctx, batch, func(_ context.Context, report *peerpb.RenewRequest) *peerpb.RenewResponse {
		if report.Short {
			time.Sleep(tr.hold)
		}
		return &peerpb.RenewResponse{Epoch: 5, Sequence: uint64(report.IntervalMs), Unchanged: true}
	})
	response.Answers = response.Answers[tr.lose.Load():]
	proto.Merge(reply.(proto.Message), response)
	return nil
}

func (tr *testRelay) batchCount() int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return len(tr.batches)
}

func report(i int) *peerpb.RenewRequest {
	return &peerpb.RenewRequest{
		Node:    &peerpb.NodeRef{Vm: fmt.Sprint("vm", i), Incarnation: uint64(i), Region: "seoul", Place: "seoul-a"},
		Account: "daehan", AppliedEpoch: 5, IntervalMs: uint32(i),
	}
}

// pass sends a report and returns whether it got its own answer, and how long that
// took.
func (tr *testRelay) pass(ctx context.Context, request *peerpb.PassRequest) (answered bool, took time.Duration) {
	began := time.Now()
	answer, err := tr.relay.Pass(ctx, request)
	return err == nil && answer.Code == 0 && answer.Sequence == uint64(request.Report.IntervalMs), time.Since(began)
}

// Reports of a domain must reach the decider in one call, and each node must get the
// answer to its own report.
func TestReportsAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := newTestRelay()
		var nodes sync.WaitGroup
		for i := range 30 {
			nodes.Go(func() {
				time.Sleep(time.Duration(i) * 30 * time.Millisecond)
				if ok, took := tr.pass(t.Context(), &peerpb.PassRequest{Report: report(i + 1)}); !ok || took > smallFleetHold {
					t.Errorf("node %d: answered %v after %v", i, ok, took)
				}
			})
		}
		nodes.Wait()
		if tr.batchCount() != 1 {
			t.Errorf("%d batches", tr.batchCount())
		}
	})
}

// Urgent reports must be rate limited when many nodes are short of capacity, and
// regular reports must not wait for the answers that the decider holds.
func TestUrgentReportsAreBounded(t *testing.T) {
	const seconds = 60
	synctest.Test(t, func(t *testing.T) {
		tr := newTestRelay()
		tr.hold = 1500 * time.Millisecond
		var nodes sync.WaitGroup
		for i := range 30 {
			nodes.Go(func() {
				for began := time.Now(); time.Since(began) < seconds*time.Second; time.Sleep(100 * time.Millisecond) {
					r := report(i + 1)
					r.Short = i%3 > 0
					ok, took := tr.pass(t.Context(), &peerpb.PassRequest{Report: r, Urgent: i%3 < 2})
					most := smallFleetHold
					if r.Short {
						most = urgentInterval + tr.hold
					}
					if !ok || took > most {
						t.Errorf("node %d: answered %v after %v", i, ok, took)
					}
				}
			})
		}
		nodes.Wait()
		if tr.batchCount() > 3*seconds+urgentBurst {
			t.Errorf("%d batches in %d s", tr.batchCount(), seconds)
		}
	})
}

// A relay must not forward outdated reports or return the answers of other nodes.
func TestRelayFailures(t *testing.T) {
	for _, c := range []struct {
		name string
		// fault is injected while the report is held.
		fault func(tr *testRelay, nodeEnds func())
		epoch uint64
		// batches is how many batches the decider must receive, within the time
		// limit for the node's answer.
		batches int
		within  time.Duration
	}{
		{
			// The relay's VM is suspended for a minute with a report in memory.
			name:   "paused",
			fault:  func(tr *testRelay, _ func()) { tr.skipped.Store(int64(time.Minute)) },
			within: smallFleetHold,
		},
		{
			// A node stops while the relay holds its report.
			name:   "node gone",
			fault:  func(_ *testRelay, nodeEnds func()) { nodeEnds() },
			within: smallFleetHold,
		},
		{
			// The node knows a newer decider than the relay.
			name:  "behind",
			epoch: 6,
		},
		{
			// One answer is missing, so that the others would go to the wrong nodes.
			name:    "answer lost",
			fault:   func(tr *testRelay, _ func()) { tr.lose.Store(1) },
			within:  smallFleetHold,
			batches: 1,
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			tr := newTestRelay()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if c.fault != nil {
				time.AfterFunc(smallFleetHold/2, func() { c.fault(tr, cancel) })
			}
			ok, took := tr.pass(ctx, &peerpb.PassRequest{Report: report(1), DeciderEpoch: c.epoch})
			time.Sleep(smallFleetHold)
			if ok || took > c.within || tr.batchCount() != c.batches {
				t.Errorf("%s: answered %v after %v, %d batches", c.name, ok, took, tr.batchCount())
			}
		})
	}
	if code := AnswerBatch(t.Context(), &peerpb.BatchRequest{}, nil).Code; code != uint32(result.BadRequest) {
		t.Errorf("an empty batch is answered with %d", code)
	}
}

// Decoding a batch must restore messages that differ from the common values or leave
// them empty.
func TestBatchEncoding(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	names := []string{"", "seoul-a", "busan-b"}
	for range 500 {
		var reports []*peerpb.RenewRequest
		var answers []*peerpb.RenewResponse
		for i := range 1 + random.IntN(4) {
			r := report(i)
			r.Node.Place, r.Node.Region = names[random.IntN(3)], names[random.IntN(2)]
			r.AppliedEpoch, r.PlanEpoch, r.PlanSequence = random.Uint64N(3), random.Uint64N(2), random.Uint64N(3)
			reports = append(reports, r)
			answers = append(answers, &peerpb.RenewResponse{
				Epoch: random.Uint64N(3), NextMs: random.Uint32N(2), SurplusTtlMs: random.Uint32N(3), Code: random.Uint32N(2),
			})
		}
		batch := EncodeBatch("daehan", reports)
		encoded := proto.Size(batch)
		if diff := cmp.Diff(reports, decodeBatch(batch), protocmp.Transform()); diff != "" {
			t.Fatal(diff)
		}
		if plain := proto.Size(&peerpb.BatchRequest{Reports: reports}); len(reports) > 2 && encoded >= plain {
			t.Fatalf("%d bytes, %d unencoded", encoded, plain)
		}
		want := make([]*peerpb.RenewResponse, len(answers))
		for i, a := range answers {
			want[i] = proto.CloneOf(a)
		}
		if diff := cmp.Diff(want, DecodeAnswers(encodeAnswers(answers)), protocmp.Transform()); diff != "" {
			t.Fatal(diff)
		}
	}
}
