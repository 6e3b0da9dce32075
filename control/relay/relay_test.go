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

// world is one relay and the decider it sends to.
type world struct {
	grpc.ClientConnInterface
	relay *Relay
	// skipped is how much the relay's clock is ahead, lose how many answers are
	// lost, hold how long the decider holds those to nodes that are short.
	skipped, lose atomic.Int64
	hold          time.Duration

	mu      sync.Mutex
	batches []*peerpb.BatchRequest
}

func newWorld() *world {
	w := &world{}
	w.relay = New(Options{
		Decider: func(model.AccountName) (*peerpb.NodeRef, uint64, bool) {
			return &peerpb.NodeRef{Vm: "decider"}, 5, true
		},
		Dial:      func(string) (grpc.ClientConnInterface, error) { return w, nil },
		FleetSize: func() int { return 100 },
		Stopping:  func() bool { return false },
		Clock:     func() time.Time { return time.Now().Add(time.Duration(w.skipped.Load())) },
	})
	return w
}

// Invoke is the decider: the sequence of an answer is the interval of its report.
func (w *world) Invoke(ctx context.Context, _ string, args, reply any, _ ...grpc.CallOption) error {
	batch := args.(*peerpb.BatchRequest)
	w.mu.Lock()
	w.batches = append(w.batches, proto.CloneOf(batch))
	w.mu.Unlock()
	response := AnswerBatch(ctx, batch, func(_ context.Context, report *peerpb.RenewRequest) *peerpb.RenewResponse {
		if report.Short {
			time.Sleep(w.hold)
		}
		return &peerpb.RenewResponse{Epoch: 5, Sequence: uint64(report.IntervalMs), Unchanged: true}
	})
	response.Answers = response.Answers[w.lose.Load():]
	proto.Merge(reply.(proto.Message), response)
	return nil
}

func (w *world) sent() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.batches)
}

func report(i int) *peerpb.RenewRequest {
	return &peerpb.RenewRequest{
		Node:    &peerpb.NodeRef{Vm: fmt.Sprint("vm", i), Incarnation: uint64(i), Region: "seoul", Place: "seoul-a"},
		Account: "daehan", AppliedEpoch: 5, IntervalMs: uint32(i),
	}
}

// pass sends a report and returns whether it got its own answer, and after what time.
func (w *world) pass(ctx context.Context, request *peerpb.PassRequest) (answered bool, took time.Duration) {
	began := time.Now()
	answer, err := w.relay.Pass(ctx, request)
	return err == nil && answer.Code == 0 && answer.Sequence == uint64(request.Report.IntervalMs), time.Since(began)
}

// Every node of a domain reports in the same second. The decider would take a call
// from each; it takes one, and each node gets the answer to its own report.
func TestReportsTravelTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		var nodes sync.WaitGroup
		for i := range 30 {
			nodes.Go(func() {
				time.Sleep(time.Duration(i) * 30 * time.Millisecond)
				if ok, took := w.pass(t.Context(), &peerpb.PassRequest{Report: report(i + 1)}); !ok || took > shortHold {
					t.Errorf("node %d: answered %v after %v", i, ok, took)
				}
			})
		}
		nodes.Wait()
		if w.sent() != 1 {
			t.Errorf("%d batches", w.sent())
		}
	})
}

// All nodes of a domain are short at every moment, for a minute. Each asks for an
// answer at once, but the decider must not take a call for each. Reports of nodes
// that are not short come at the same time; they must not wait for the answers that
// the decider holds.
func TestUrgentReportsAreBounded(t *testing.T) {
	const seconds = 60
	synctest.Test(t, func(t *testing.T) {
		w := newWorld()
		w.hold = 1500 * time.Millisecond
		var nodes sync.WaitGroup
		for i := range 30 {
			nodes.Go(func() {
				for began := time.Now(); time.Since(began) < seconds*time.Second; time.Sleep(100 * time.Millisecond) {
					r := report(i + 1)
					r.Short = i%3 > 0
					ok, took := w.pass(t.Context(), &peerpb.PassRequest{Report: r, Urgent: i%3 < 2})
					most := shortHold
					if r.Short {
						most = urgentEvery + w.hold
					}
					if !ok || took > most {
						t.Errorf("node %d: answered %v after %v", i, ok, took)
					}
				}
			})
		}
		nodes.Wait()
		if w.sent() > 3*seconds+urgentBurst {
			t.Errorf("%d batches in %d s", w.sent(), seconds)
		}
	})
}

// What a relay must not send on, and what it must not hand back. Each of these would
// tell the decider of a node that may not run, or a node of grants that are not its
// own.
func TestRelayFailures(t *testing.T) {
	for _, c := range []struct {
		name string
		// story is what goes wrong while the report is held.
		story func(w *world, nodeEnds func())
		epoch uint64
		// batches is how many the decider takes, within bounds the time until the
		// node knows.
		batches int
		within  time.Duration
	}{
		{
			// The relay's VM is suspended for a minute with a report in memory. The
			// node ends meanwhile, and its connection breaks without a word.
			name:   "paused",
			story:  func(w *world, _ func()) { w.skipped.Store(int64(time.Minute)) },
			within: shortHold,
		},
		{
			// A node is stopped while the relay holds its report. The decider would
			// hear that it has stopped, and then that it runs.
			name:   "node gone",
			story:  func(_ *world, nodeEnds func()) { nodeEnds() },
			within: shortHold,
		},
		{
			// The relay has not heard of the new decider, its node has.
			name:  "behind",
			epoch: 6,
		},
		{
			// The decider's answer lacks one of the answers, so that each of the
			// others would go to the wrong node.
			name:    "answer lost",
			story:   func(w *world, _ func()) { w.lose.Store(1) },
			within:  shortHold,
			batches: 1,
		},
	} {
		synctest.Test(t, func(t *testing.T) {
			w := newWorld()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if c.story != nil {
				time.AfterFunc(shortHold/2, func() { c.story(w, cancel) })
			}
			ok, took := w.pass(ctx, &peerpb.PassRequest{Report: report(1), DeciderEpoch: c.epoch})
			time.Sleep(shortHold)
			if ok || took > c.within || w.sent() != c.batches {
				t.Errorf("%s: answered %v after %v, %d batches", c.name, ok, took, w.sent())
			}
		})
	}
	if code := AnswerBatch(t.Context(), &peerpb.BatchRequest{}, nil).Code; code != uint32(result.BadRequest) {
		t.Errorf("an empty batch is answered with %d", code)
	}
}

// A batch leaves out what its messages have in common. A message that differs, or
// that has nothing where the others have something, must come out as it went in.
func TestFold(t *testing.T) {
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
		folded := proto.Size(batch)
		if diff := cmp.Diff(reports, unfold(batch), protocmp.Transform()); diff != "" {
			t.Fatal(diff)
		}
		if whole := proto.Size(&peerpb.BatchRequest{Reports: reports}); len(reports) > 2 && folded >= whole {
			t.Fatalf("%d bytes of %d", folded, whole)
		}
		want := make([]*peerpb.RenewResponse, len(answers))
		for i, a := range answers {
			want[i] = proto.CloneOf(a)
		}
		if diff := cmp.Diff(want, DecodeAnswers(foldAnswers(answers)), protocmp.Transform()); diff != "" {
			t.Fatal(diff)
		}
	}
}
