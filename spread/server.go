package spread

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/spread/item"
	"github.com/yuccaroute/yuccaroute/spread/topology"
)

// server answers other nodes.
type server struct {
	peerpb.UnimplementedSpreadServer
	service *Service

	mu          sync.Mutex
	subscribers map[string]*subscriber
}

// subscriber is one stream to another node.
type subscriber struct {
	ref    *peerpb.NodeRef
	waiter *waiter
	// replaced is closed when the same VM subscribes again.
	replaced chan struct{}
}

func newServer(s *Service) *server {
	return &server{service: s, subscribers: map[string]*subscriber{}}
}

// Subscribe implements peerpb.SpreadServer.
func (v *server) Subscribe(req *peerpb.SubscribeRequest, stream grpc.ServerStreamingServer[peerpb.Update]) error {
	if req.GetNode().GetVm() == "" {
		return status.Error(codes.InvalidArgument, "spread: subscriber has no name")
	}
	sub, err := v.join(req.GetNode())
	if err != nil {
		return err
	}
	defer v.leave(sub)
	return v.stream(sub, stream)
}

// stream sends what changes, and a heartbeat after each idle period.
func (v *server) stream(sub *subscriber, stream grpc.ServerStreamingServer[peerpb.Update]) error {
	s := v.service
	heartbeat := time.NewTimer(s.jitter(s.options.Heartbeat, jitterShare))
	defer heartbeat.Stop()
	for {
		if err := v.send(sub, stream); err != nil {
			return err
		}
		heartbeat.Reset(s.jitter(s.options.Heartbeat, jitterShare))
		select {
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-sub.replaced:
			return status.Error(codes.Aborted, "spread: subscribed again")
		case <-sub.waiter.ready:
		case <-heartbeat.C:
		}
	}
}

// send sends what the subscriber lacks, or a heartbeat when that is nothing.
// Only the last message carries the digest all items lead to.
func (v *server) send(sub *subscriber, stream grpc.ServerStreamingServer[peerpb.Update]) error {
	items, snap := v.service.hub.take(sub.waiter)
	parts := chunks(items)
	if len(parts) == 0 {
		parts = append(parts, nil)
	}
	for i, part := range parts {
		u := &peerpb.Update{Items: part, Fed: v.service.fed()}
		if i == len(parts)-1 {
			u.Digest = snap.Digest()
			v.service.fillReads(u)
		}
		if err := stream.Send(u); err != nil {
			return err
		}
	}
	return nil
}

// join admits a subscriber within the bound. A VM that was restarted takes
// over its own place: its old stream may stay half-open for a while, and a few
// restarts would otherwise use up the bound.
func (v *server) join(ref *peerpb.NodeRef) (*subscriber, error) {
	sub := &subscriber{ref: ref, waiter: v.service.hub.wait(), replaced: make(chan struct{})}
	v.mu.Lock()
	defer v.mu.Unlock()
	old, again := v.subscribers[ref.Vm]
	if again {
		close(old.replaced)
		v.service.hub.leave(old.waiter)
	} else if len(v.subscribers) >= topology.MaxSubscribers {
		v.service.hub.leave(sub.waiter)
		return nil, status.Errorf(codes.ResourceExhausted, "spread: serves %d subscribers already", len(v.subscribers))
	}
	v.subscribers[ref.Vm] = sub
	return sub, nil
}

func (v *server) leave(sub *subscriber) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.service.hub.leave(sub.waiter)
	if v.subscribers[sub.ref.Vm] == sub {
		delete(v.subscribers, sub.ref.Vm)
	}
}

// waiterOf returns the waiter of a subscriber, or nil.
func (v *server) waiterOf(vm string) *waiter {
	v.mu.Lock()
	defer v.mu.Unlock()
	if sub, ok := v.subscribers[vm]; ok {
		return sub.waiter
	}
	return nil
}

// list returns the subscribers as they are now.
func (v *server) list() []*peerpb.NodeRef {
	v.mu.Lock()
	defer v.mu.Unlock()
	out := make([]*peerpb.NodeRef, 0, len(v.subscribers))
	for _, sub := range v.subscribers {
		out = append(out, sub.ref)
	}
	return out
}

// Compare implements peerpb.SpreadServer.
func (v *server) Compare(_ context.Context, req *peerpb.CompareRequest) (*peerpb.CompareResponse, error) {
	s := v.service
	ref := req.GetNode()
	if err := s.applyAll(req.GetItems(), v.waiterOf(ref.GetVm())); err != nil {
		return nil, status.Error(codes.InvalidArgument, err.Error())
	}
	snap := s.Snapshot()
	res := &peerpb.CompareResponse{
		Equal:  snap.Digest() == req.GetDigest(),
		Digest: snap.Digest(),
		Ready:  s.ready.ever(),
	}
	s.heard.set(ref.GetVm(), ref.GetIncarnation(), res.Equal)
	switch {
	case res.Equal || len(req.GetItems()) > 0:
	case len(req.GetBuckets()) == 0:
		res.BucketDigests = bucketDigests(snap)
	default:
		difference(snap, req, res)
	}
	return res, nil
}

func bucketDigests(snap *item.Snapshot) []uint64 {
	out := make([]uint64, item.Buckets)
	for i := range out {
		out[i] = snap.BucketDigest(i)
	}
	return out
}

// difference fills in what one side has later than the other within the
// buckets asked for, items up to one chunk.
func difference(snap *item.Snapshot, req *peerpb.CompareRequest, res *peerpb.CompareResponse) {
	theirs := make(map[string]*peerpb.Version, len(req.GetHave()))
	for _, v := range req.GetHave() {
		theirs[v.GetKey()] = v
	}
	var later []item.Item
	for _, b := range req.GetBuckets() {
		if b >= item.Buckets {
			continue
		}
		snap.Bucket(int(b), func(it item.Item) {
			v, ok := theirs[it.Key]
			if !ok || item.VersionNewer(it.Epoch, it.Sequence, it.Sum, v.Epoch, v.Sequence, v.Sum) {
				later = append(later, it)
			}
		})
	}
	for _, v := range req.GetHave() {
		it, ok := snap.Get(v.GetKey())
		if !ok || item.VersionNewer(v.Epoch, v.Sequence, v.Sum, it.Epoch, it.Sequence, it.Sum) {
			res.Missing = append(res.Missing, v.GetKey())
		}
	}
	parts := chunks(contentLast(later))
	if len(parts) > 0 {
		res.Items = parts[0]
	}
	res.More = len(parts) > 1
}
