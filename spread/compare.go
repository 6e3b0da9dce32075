package spread

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/spread/item"
	"github.com/yuccaroute/yuccaroute/spread/topology"
)

// maxRepairRounds bounds one repair. Each round transfers at least one chunk;
// the next comparison handles the remainder.
const maxRepairRounds = 256

// comparison is the result of one comparison with a peer.
type comparison struct {
	// equal reports whether both nodes held the same states at the start.
	equal bool
	// ready reports whether the peer has synchronized with other nodes itself.
	ready bool
	// pulled and pushed count the transferred items.
	pulled int
	pushed int
}

// compareWith synchronizes this node with a peer. Each RPC times out after two
// heartbeats.
func (s *Service) compareWith(ctx context.Context, m topology.Member) (comparison, error) {
	var c comparison
	client, err := s.client(m)
	if err != nil {
		return c, err
	}
	for round := range maxRepairRounds {
		first, err := s.exchange(ctx, client, &peerpb.CompareRequest{})
		if err != nil {
			return c, errors.Wrapf(err, "spread: compare with %s", m.VM)
		}
		c.ready = first.GetReady()
		s.peers.record(m.VM, 0, first.GetEqual())
		if first.GetEqual() {
			c.equal = round == 0
			return c, nil
		}
		more, err := s.repair(ctx, client, m, first, &c)
		if err != nil {
			return c, errors.Wrapf(err, "spread: repair with %s", m.VM)
		}
		if !more {
			return c, nil
		}
	}
	return c, nil
}

// repair transfers the differing items, receiving at most one chunk. more
// reports whether the peer has further chunks.
func (s *Service) repair(ctx context.Context, client peerpb.SpreadClient, m topology.Member, first *peerpb.CompareResponse, c *comparison) (more bool, err error) {
	req := s.bucketRequest(first.GetBucketDigests())
	if len(req.Buckets) == 0 {
		return false, nil
	}
	res, err := s.exchange(ctx, client, req)
	if err != nil {
		return false, err
	}
	if err := s.applyAll(res.GetItems(), s.server.queueOf(m.VM)); err != nil {
		return false, err
	}
	c.pulled += len(res.GetItems())
	for _, part := range chunks(s.itemsOf(res.GetMissing())) {
		if _, err := s.exchange(ctx, client, &peerpb.CompareRequest{Items: part}); err != nil {
			return false, err
		}
		c.pushed += len(part)
	}
	return res.GetMore(), nil
}

// bucketRequest requests the buckets whose digests differ. The versions the
// node already has include received content whose item is still pending, so
// that a repair of several messages makes progress.
func (s *Service) bucketRequest(digests []uint64) *peerpb.CompareRequest {
	snap := s.Snapshot()
	req := &peerpb.CompareRequest{}
	for i, digest := range digests {
		if i >= item.Buckets || snap.BucketDigest(i) == digest {
			continue
		}
		req.Buckets = append(req.Buckets, uint32(i))
		snap.Bucket(i, func(it item.Item) {
			req.Have = append(req.Have, versionOf(it))
		})
		for _, it := range s.hub.receivedIn(i) {
			req.Have = append(req.Have, versionOf(it))
		}
	}
	return req
}

func (s *Service) itemsOf(keys []string) []item.Item {
	snap := s.Snapshot()
	out := make([]item.Item, 0, len(keys))
	for _, key := range keys {
		if it, ok := snap.Get(key); ok {
			out = append(out, it)
		}
	}
	return contentLast(out)
}

// exchange sends a Compare RPC with this node's reference and digest.
func (s *Service) exchange(ctx context.Context, client peerpb.SpreadClient, req *peerpb.CompareRequest) (*peerpb.CompareResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.callTimeout())
	defer cancel()
	req.Node = &peerpb.NodeRef{Vm: s.options.Ref.Vm, Incarnation: s.options.Ref.Incarnation}
	req.Digest = s.Snapshot().Digest()
	return client.Compare(ctx, req)
}

// callTimeout bounds one RPC to a peer.
func (s *Service) callTimeout() time.Duration { return 2 * s.options.Heartbeat }

func (s *Service) client(m topology.Member) (peerpb.SpreadClient, error) {
	conn, err := s.options.Dial(m.Address)
	if err != nil {
		return nil, err
	}
	return peerpb.NewSpreadClient(conn), nil
}
