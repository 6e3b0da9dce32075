package control

import (
	"context"
	"sync"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/control/relay"
	"github.com/yuccaroute/yuccaroute/membership"
)

// relayServer passes on reports of other nodes, and takes in batches as a decider.
type relayServer struct {
	peerpb.UnimplementedRelayServer
	system *System
}

// Pass implements the Relay service.
func (s *relayServer) Pass(ctx context.Context, request *peerpb.PassRequest) (*peerpb.RenewResponse, error) {
	if s.system.account(model.AccountName(request.GetReport().GetAccount())) == nil {
		return &peerpb.RenewResponse{Code: uint32(result.UnknownAccount)}, nil
	}
	return s.system.relay.Pass(ctx, request)
}

// Batch implements the Relay service.
func (s *relayServer) Batch(ctx context.Context, request *peerpb.BatchRequest) (*peerpb.BatchResponse, error) {
	a := s.system.account(model.AccountName(request.Account))
	if a == nil {
		return &peerpb.BatchResponse{Code: uint32(result.UnknownAccount)}, nil
	}
	return relay.AnswerBatch(ctx, request, s.system.renewOf(a)), nil
}

// renewOf answers a report of an account as its decider.
func (s *System) renewOf(a *account) relay.RenewFunc {
	return func(ctx context.Context, request *peerpb.RenewRequest) *peerpb.RenewResponse {
		response := a.decider.Renew(ctx, request)
		if response.Code == uint32(result.NotLeader) {
			response.Decider, _, _ = s.options.DeciderOf(a.name)
		}
		return response
	}
}

func (s *System) relayOptions() relay.Options {
	return relay.Options{
		Decider:   s.deciderOf,
		Dial:      s.options.Dial,
		FleetSize: func() int { return s.relays.members().FleetSize },
		Stopping:  s.options.Leaving,
		Clock:     s.options.Clock,
	}
}

// deciderOf returns the decider of an account that this node works for.
func (s *System) deciderOf(name model.AccountName) (ref *peerpb.NodeRef, epoch uint64, ok bool) {
	a := s.account(name)
	if a == nil {
		return nil, 0, false
	}
	return a.deciderRef()
}

// pass hands a report to a relay, which may be this node.
func (s *System) pass(ctx context.Context, to *peerpb.NodeRef, request *peerpb.PassRequest) (*peerpb.RenewResponse, error) {
	if to.Vm == s.options.Ref.Vm {
		return s.relay.Pass(ctx, request)
	}
	conn, err := s.options.Dial(to.PeerAddress)
	if err != nil {
		return nil, err
	}
	return peerpb.NewRelayClient(conn).Pass(ctx, request)
}

// relayList keeps what relays are chosen from, so that the VM list is gone through
// only when it has changed.
type relayList struct {
	options Options

	mu   sync.Mutex
	of   membership.List
	kept relay.Members
}

func newRelayList(options Options) *relayList { return &relayList{options: options} }

// members returns the live nodes; there are none while there is no list.
func (r *relayList) members() relay.Members {
	list, _, ok := r.options.Members()
	if !ok {
		return relay.Members{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.kept.FleetSize == 0 || list.Epoch != r.of.Epoch || list.Sequence != r.of.Sequence {
		r.of = list
		r.kept = r.choose(list)
	}
	return r.kept
}

func (r *relayList) choose(list membership.List) relay.Members {
	var members relay.Members
	own := r.options.Ref
	for i := range list.VMs {
		vm := &list.VMs[i]
		if vm.Role != membership.RoleEntry || vm.State != membership.StateLive {
			continue
		}
		members.FleetSize++
		if string(vm.Region) == own.Region && string(vm.Place) == own.Place {
			members.Domain = append(members.Domain, &peerpb.NodeRef{Vm: vm.ID, PeerAddress: vm.Peer.String()})
		}
	}
	return members
}
