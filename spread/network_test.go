package spread

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/api/wait"
)

const (
	linkDelay = time.Millisecond
	// blockPoll is the interval at which a blocked message checks its link.
	blockPoll = 250 * time.Millisecond
	// maxInFlight bounds the Updates in flight on one stream.
	maxInFlight = 100
)

// network simulates RPCs between nodes in memory, with delays and message
// counts.
type network struct {
	mu    sync.Mutex
	nodes map[string]peerpb.SpreadServer
	// lives holds for each address a context that ends with the process.
	lives map[string]context.Context
	// blocked reports whether a message is stalled without an error, as with a
	// hung receiver or a partition.
	blocked func(from, to string) bool
	// delay returns the extra delay of a message; it does not block later
	// messages.
	delay    func(from, to string) time.Duration
	messages map[string]int
	bytes    int
	// sent counts the bytes sent by each address.
	sent map[string]int
	// drop reports whether an item is dropped from a stream; nil drops none.
	drop func(from, to, key string) bool
	// byNode counts the bytes sent and received by each address.
	byNode map[string]int
}

func newNetwork() *network {
	return &network{
		nodes:    map[string]peerpb.SpreadServer{},
		lives:    map[string]context.Context{},
		blocked:  func(string, string) bool { return false },
		delay:    func(string, string) time.Duration { return 0 },
		messages: map[string]int{},
		sent:     map[string]int{},
		byNode:   map[string]int{},
	}
}

// endpoint registers a node's server.
type endpoint struct {
	net     *network
	address string
}

func (e endpoint) RegisterService(_ *grpc.ServiceDesc, impl any) {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	e.net.nodes[e.address] = impl.(peerpb.SpreadServer)
}

func (n *network) setBlocked(f func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked = f
}

func (n *network) setDelay(f func(from, to string) time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delay = f
}

// setDrop sets which items streams drop.
func (n *network) setDrop(f func(from, to, key string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.drop = f
}

// dropLost removes the items that the link drops.
func (n *network) dropLost(from, to string, u *peerpb.Update) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.drop == nil {
		return
	}
	u.Items = slices.DeleteFunc(u.Items, func(p *peerpb.Item) bool { return n.drop(from, to, p.GetVersion().GetKey()) })
}

// takeSentBytes returns the bytes sent by each address since the last call.
func (n *network) takeSentBytes() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := n.sent
	n.sent = map[string]int{}
	return out
}

func (n *network) server(address string) (peerpb.SpreadServer, context.Context, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	life, ok := n.lives[address]
	if !ok || life.Err() != nil {
		return nil, nil, status.Error(codes.Unavailable, "connection refused")
	}
	return n.nodes[address], life, nil
}

// transmit waits until the link is not blocked and counts the message.
func (n *network) transmit(ctx context.Context, kind, from, to string, m proto.Message) error {
	for {
		n.mu.Lock()
		blocked := n.blocked(from, to)
		n.mu.Unlock()
		if !blocked {
			break
		}
		if !wait.For(ctx, blockPoll) {
			return status.FromContextError(ctx.Err()).Err()
		}
	}
	n.mu.Lock()
	n.messages[kind]++
	size := proto.Size(m)
	n.bytes += size
	n.sent[from] += size
	n.byNode[from] += size
	n.byNode[to] += size
	n.mu.Unlock()
	return nil
}

// takeBytes returns the bytes by address since the last call.
func (n *network) takeBytes() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := n.byNode
	n.byNode = map[string]int{}
	return out
}

func (n *network) count(kind string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.messages[kind]++
}

// latency returns the delay of a message.
func (n *network) latency(from, to string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return linkDelay + n.delay(from, to)
}

// transmitAndWait transmits a message and waits until it has arrived.
func (n *network) transmitAndWait(ctx context.Context, kind, from, to string, m proto.Message) error {
	if err := n.transmit(ctx, kind, from, to, m); err != nil {
		return err
	}
	if !wait.For(ctx, n.latency(from, to)) {
		return status.FromContextError(ctx.Err()).Err()
	}
	return nil
}

// takeCounts returns the messages by kind since the last call. Subscribe
// messages are counted by receiver.
func (n *network) takeCounts() map[string]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := n.messages
	n.messages = map[string]int{}
	return out
}

// link is a connection from one node to another.
type link struct {
	net      *network
	from, to string
}

func (l link) Invoke(ctx context.Context, method string, args, reply any, _ ...grpc.CallOption) error {
	server, life, err := l.net.server(l.to)
	if err != nil {
		return err
	}
	ctx, cancel := mergeContexts(ctx, life)
	defer cancel()
	if err := l.net.transmitAndWait(ctx, "request", l.from, l.to, args.(proto.Message)); err != nil {
		return err
	}
	var res proto.Message
	kind := "answer"
	switch method {
	case peerpb.Spread_Compare_FullMethodName:
		res, err = server.Compare(ctx, proto.Clone(args.(proto.Message)).(*peerpb.CompareRequest))
	case peerpb.Spread_Survey_FullMethodName:
		kind = "survey"
		res, err = server.Survey(ctx, args.(*peerpb.SurveyRequest))
	}
	if err != nil {
		return err
	}
	if err := l.net.transmitAndWait(ctx, kind, l.to, l.from, res); err != nil {
		return err
	}
	proto.Merge(reply.(proto.Message), res)
	return nil
}

func (l link) NewStream(ctx context.Context, _ *grpc.StreamDesc, _ string, _ ...grpc.CallOption) (grpc.ClientStream, error) {
	server, life, err := l.net.server(l.to)
	if err != nil {
		return nil, err
	}
	l.net.count("attempt")
	ctx, cancel := mergeContexts(ctx, life)
	return &clientStream{link: l, ctx: ctx, cancel: cancel, server: server, updates: make(chan arrival, maxInFlight)}, nil
}

// mergeContexts returns a context that ends when either context ends.
func mergeContexts(a, b context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(a)
	stop := context.AfterFunc(b, cancel)
	return ctx, func() { stop(); cancel() }
}

// clientStream is the subscriber's side, serverStream the relay's.
type clientStream struct {
	link    link
	ctx     context.Context
	cancel  context.CancelFunc
	server  peerpb.SpreadServer
	updates chan arrival
	ended   error
}

type serverStream struct{ *clientStream }

func (s *clientStream) SendMsg(m any) error {
	req := m.(*peerpb.SubscribeRequest)
	go func() {
		defer close(s.updates)
		if s.ended = s.link.net.transmitAndWait(s.ctx, "subscribe "+s.link.to, s.link.from, s.link.to, req); s.ended != nil {
			return
		}
		stream := &grpc.GenericServerStream[peerpb.SubscribeRequest, peerpb.Update]{ServerStream: serverStream{s}}
		s.ended = s.server.Subscribe(req, stream)
	}()
	return nil
}

func (s serverStream) SendMsg(m any) error {
	u := proto.Clone(m.(proto.Message)).(*peerpb.Update)
	l := s.link
	l.net.dropLost(l.to, l.from, u)
	kind := "heartbeat"
	if len(u.Items) > 0 {
		kind = "update"
	}
	if err := l.net.transmit(s.ctx, kind, l.to, l.from, u); err != nil {
		return err
	}
	select {
	case s.updates <- arrival{u, time.Now().Add(l.net.latency(l.to, l.from))}:
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

// arrival is an Update in flight.
type arrival struct {
	update *peerpb.Update
	at     time.Time
}

func (s *clientStream) RecvMsg(m any) error {
	select {
	case a, ok := <-s.updates:
		if !ok {
			s.cancel()
			if s.ended == nil {
				return io.EOF
			}
			return s.ended
		}
		if !wait.For(s.ctx, time.Until(a.at)) {
			return s.ctx.Err()
		}
		proto.Merge(m.(proto.Message), a.update)
		return nil
	case <-s.ctx.Done():
		return status.FromContextError(s.ctx.Err()).Err()
	}
}

func (s *clientStream) Header() (metadata.MD, error) { return nil, nil }
func (s *clientStream) Trailer() metadata.MD         { return nil }
func (s *clientStream) CloseSend() error             { return nil }
func (s *clientStream) Context() context.Context     { return s.ctx }
func (s serverStream) SetHeader(metadata.MD) error   { return nil }
func (s serverStream) SendHeader(metadata.MD) error  { return nil }
func (s serverStream) SetTrailer(metadata.MD)        {}
func (s serverStream) RecvMsg(any) error             { return io.EOF }
