package holder

import (
	"context"
	"testing"
	"time"

	"google.golang.org/grpc"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/observe"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/control/ledger"
)

// fakeDecider answers every report and keeps the last one.
type fakeDecider struct {
	grpc.ClientConnInterface
	last *peerpb.RenewRequest
}

func (a *fakeDecider) Invoke(_ context.Context, _ string, args, reply any, _ ...grpc.CallOption) error {
	a.last = args.(*peerpb.RenewRequest)
	response := reply.(*peerpb.RenewResponse)
	response.Epoch, response.Sequence = 1, a.last.AppliedSequence+1
	return nil
}

// newTestRunner returns a runner whose reports all go to one decider; the test may
// raise its epoch.
func newTestRunner(decider *fakeDecider, epoch *uint64) *Runner {
	ref := &peerpb.NodeRef{Vm: "vm1", PeerAddress: "10.0.0.1:7100"}
	return NewRunner(RunnerOptions{
		Options: Options{Account: "daehan", Params: ledger.DefaultParams(), RequestTimeout: DefaultRequestTimeout},
		Ref:     ref,
		Dial:    func(string) (grpc.ClientConnInterface, error) { return decider, nil },
		Decider: func() (*peerpb.NodeRef, uint64, bool) { return ref, *epoch, true },
		Lenders: func() []*peerpb.NodeRef { return nil },
		Apply:   func(*grant.Set) {},
		Clock:   time.Now,
	})
}

// A new decider does not know node hashes, so the first report to it must name the
// node.
func TestNewDeciderGetsNodeByName(t *testing.T) {
	decider, epoch := &fakeDecider{}, uint64(1)
	r := newTestRunner(decider, &epoch)
	for i, named := range []bool{true, false, true} {
		if i == 2 {
			epoch = 2
		}
		r.Report(t.Context(), observe.Report{}, false)
		if got := decider.last.Node != nil; got != named {
			t.Errorf("report %d names the node: %v", i, got)
		}
	}
}

// A regular report prepared before a shortage must not signal it: its averages
// predate the shortage, and it would delay the early report.
func TestRegularReportDoesNotSignalShortage(t *testing.T) {
	decider, epoch := &fakeDecider{}, uint64(1)
	r := newTestRunner(decider, &epoch)
	for _, early := range []bool{false, true} {
		if early && !r.DueEarly() || !early && !r.Due(observe.Report{}, observe.Report{}) {
			t.Fatal("no report is due")
		}
		r.SignalShortage()
		r.Report(t.Context(), observe.Report{}, false)
		if decider.last.Short != early {
			t.Errorf("early report %v: short %v", early, decider.last.Short)
		}
	}
}
