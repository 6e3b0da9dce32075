package spread

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/spread/item"
	"github.com/yuccaroute/yuccaroute/spread/topology"
)

// maxRounds bounds one repair. Each round moves at least one chunk, so this is
// 64 MiB; what is left waits for the next comparison.
const maxRounds = 256

// comparison is what one exchange with a peer found.
type comparison struct {
	// equal tells that both had the same states at first.
	equal bool
	// ready tells that the peer itself has learned from others.
	ready bool
	// pulled and pushed count the items that moved.
	pulled int
	pushed int
}

// compareWith makes this node and a peer hold the same states. Each call of it
// is bounded by two heartbeats.
func (s *Service) compareWith(ctx context.Context, m topology.Member) (comparison, error) {
	var c comparison
	client, err := s.client(m)
	if err != nil {
		return c, err
	}
	for round := range maxRounds {
		first, err := s.exchange(ctx, client, &peerpb.CompareRequest{})
		if err != nil {
			return c, errors.Wrapf(err, "spread: compare with %s", m.VM)
		}
		c.ready = first.GetReady()
		s.heard.set(m.VM, 0, first.GetEqual())
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

// repair moves what differs, at most a chunk from the peer; more tells that
// there is a further one.
func (s *Service) repair(ctx context.Context, client peerpb.SpreadClient, m topology.Member, first *peerpb.CompareResponse, c *comparison) (more bool, err error) {
	req := s.differing(first.GetBucketDigests())
	if len(req.Buckets) == 0 {
		return false, nil
	}
	res, err := s.exchange(ctx, client, req)
	if err != nil {
		return false, err
	}
	if err := s.applyAll(res.GetItems(), s.server.waiterOf(m.VM)); err != nil {
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

// differing asks for the buckets whose digests are not those of the node. What
// arrived and waits is had too: a repair of many messages would else begin anew
// with each.
func (s *Service) differing(digests []uint64) *peerpb.CompareRequest {
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
		for _, it := range s.hub.arrivedIn(i) {
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

// exchange makes one call with the node's name and digest filled in.
func (s *Service) exchange(ctx context.Context, client peerpb.SpreadClient, req *peerpb.CompareRequest) (*peerpb.CompareResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, s.callTimeout())
	defer cancel()
	req.Node = &peerpb.NodeRef{Vm: s.options.Ref.Vm, Incarnation: s.options.Ref.Incarnation}
	req.Digest = s.Snapshot().Digest()
	return client.Compare(ctx, req)
}

// callTimeout bounds one call to a peer.
func (s *Service) callTimeout() time.Duration { return 2 * s.options.Heartbeat }

func (s *Service) client(m topology.Member) (peerpb.SpreadClient, error) {
	conn, err := s.options.Dial(m.Address)
	if err != nil {
		return nil, err
	}
	return peerpb.NewSpreadClient(conn), nil
}
