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

// relayServer implements the Relay service: it forwards reports of other nodes and, on
// a decider, answers batches.
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
	return relay.AnswerBatch(ctx, request, s.system.renewFunc(a)), nil
}

// renewFunc returns the function that answers the account's reports as its decider.
func (s *System) renewFunc(a *account) relay.RenewFunc {
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

// deciderOf returns the decider of an account that is configured on this node.
func (s *System) deciderOf(name model.AccountName) (ref *peerpb.NodeRef, epoch uint64, ok bool) {
	a := s.account(name)
	if a == nil {
		return nil, 0, false
	}
	return a.deciderRef()
}

// sendViaRelay sends a report to a relay, which may be this node.
func (s *System) sendViaRelay(ctx context.Context, to *peerpb.NodeRef, request *peerpb.PassRequest) (*peerpb.RenewResponse, error) {
	if to.Vm == s.options.Ref.Vm {
		return s.relay.Pass(ctx, request)
	}
	conn, err := s.options.Dial(to.PeerAddress)
	if err != nil {
		return nil, err
	}
	return peerpb.NewRelayClient(conn).Pass(ctx, request)
}

// memberCache caches the relay candidates, so that the VM list is scanned only after
// a change.
type memberCache struct {
	options Options

	mu     sync.Mutex
	list   membership.List
	cached relay.Members
}

func newMemberCache(options Options) *memberCache { return &memberCache{options: options} }

// members returns the live nodes, none while there is no VM list.
func (r *memberCache) members() relay.Members {
	list, _, ok := r.options.Members()
	if !ok {
		return relay.Members{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cached.FleetSize == 0 || list.Epoch != r.list.Epoch || list.Sequence != r.list.Sequence {
		r.list = list
		r.cached = r.relayMembers(list)
	}
	return r.cached
}

func (r *memberCache) relayMembers(list membership.List) relay.Members {
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
