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

// answering is a decider that answers every report and keeps the last.
type answering struct {
	grpc.ClientConnInterface
	last *peerpb.RenewRequest
}

func (a *answering) Invoke(_ context.Context, _ string, args, reply any, _ ...grpc.CallOption) error {
	a.last = args.(*peerpb.RenewRequest)
	response := reply.(*peerpb.RenewResponse)
	response.Epoch, response.Sequence = 1, a.last.AppliedSequence+1
	return nil
}

// newAnswered returns a runner whose reports all go to one decider, of an epoch that
// the test may raise.
func newAnswered(decider *answering, epoch *uint64) *Runner {
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

// The decider changes. It would refuse the first report of each node that names
// itself by a hash, and all nodes would report twice while it settles.
func TestNewDeciderIsToldTheWords(t *testing.T) {
	decider, epoch := &answering{}, uint64(1)
	r := newAnswered(decider, &epoch)
	for i, words := range []bool{true, false, true} {
		if i == 2 {
			epoch = 2
		}
		r.Report(t.Context(), observe.Report{}, false)
		if got := decider.last.Node != nil; got != words {
			t.Errorf("report %d names the node by words: %v", i, got)
		}
	}
}

// Requests begin to wait at the moment at which a regular report is being made. It
// tells the mean of a time in which none waited; sent as that of a node that is
// short it brings no raise, and the node may not tell it again for a second, while
// its callers wait.
func TestRegularReportDoesNotTellTheShortage(t *testing.T) {
	decider, epoch := &answering{}, uint64(1)
	r := newAnswered(decider, &epoch)
	for _, early := range []bool{false, true} {
		if early && !r.DueEarly() || !early && !r.Due(observe.Report{}, observe.Report{}) {
			t.Fatal("no report is due")
		}
		r.SignalShortage()
		r.Report(t.Context(), observe.Report{}, false)
		if decider.last.Short != early {
			t.Errorf("out of turn %v: short %v", early, decider.last.Short)
		}
	}
}
