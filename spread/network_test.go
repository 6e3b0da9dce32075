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
	// blockPoll is how often a message looks whether its link is still cut.
	blockPoll = 250 * time.Millisecond
	// onTheWay is how many Updates of one stream may be on their way.
	onTheWay = 100
)

// network carries calls between nodes in memory, with a delay, and counts
// their messages.
type network struct {
	mu    sync.Mutex
	nodes map[string]peerpb.SpreadServer
	// lives holds for each address a context that ends with the process.
	lives map[string]context.Context
	// blocked tells that a message gets no further for now: its receiver
	// hangs, or the link is cut. Nothing shows an error.
	blocked func(from, to string) bool
	// delay returns the extra delay of messages; those behind are not held up.
	delay    func(from, to string) time.Duration
	messages map[string]int
	bytes    int
	// sent counts the bytes that each address sent.
	sent map[string]int
	// lose tells that an item is lost from a stream; nil loses none.
	lose func(from, to, key string) bool
	// byNode counts the bytes that each address sent and received.
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

// setLose sets which items streams lose.
func (n *network) setLose(f func(from, to, key string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lose = f
}

// keep leaves out what a stream loses.
func (n *network) keep(from, to string, u *peerpb.Update) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lose == nil {
		return
	}
	u.Items = slices.DeleteFunc(u.Items, func(p *peerpb.Item) bool { return n.lose(from, to, p.GetVersion().GetKey()) })
}

// sentSince returns the bytes sent by each address since the last call.
func (n *network) sentSince() map[string]int {
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

// carry takes one message over the link.
func (n *network) carry(ctx context.Context, kind, from, to string, m proto.Message) error {
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

// countedBytes returns the bytes by address since the last call.
func (n *network) countedBytes() map[string]int {
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

// travel returns how long a message is on its way.
func (n *network) travel(from, to string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return linkDelay + n.delay(from, to)
}

// carryNow takes a message over the link and waits until it is there.
func (n *network) carryNow(ctx context.Context, kind, from, to string, m proto.Message) error {
	if err := n.carry(ctx, kind, from, to, m); err != nil {
		return err
	}
	if !wait.For(ctx, n.travel(from, to)) {
		return status.FromContextError(ctx.Err()).Err()
	}
	return nil
}

// counted returns the messages since the last call; those that subscribe are
// counted by the address they go to.
func (n *network) counted() map[string]int {
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
	ctx, cancel := either(ctx, life)
	defer cancel()
	if err := l.net.carryNow(ctx, "request", l.from, l.to, args.(proto.Message)); err != nil {
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
	if err := l.net.carryNow(ctx, kind, l.to, l.from, res); err != nil {
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
	ctx, cancel := either(ctx, life)
	return &clientStream{link: l, ctx: ctx, cancel: cancel, server: server, updates: make(chan arrival, onTheWay)}, nil
}

// either returns a context that ends with the first of two.
func either(a, b context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(a)
	stop := context.AfterFunc(b, cancel)
	return ctx, func() { stop(); cancel() }
}

// clientStream is the subscriber's end, serverStream the relay's.
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
		if s.ended = s.link.net.carryNow(s.ctx, "subscribe "+s.link.to, s.link.from, s.link.to, req); s.ended != nil {
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
	l.net.keep(l.to, l.from, u)
	kind := "heartbeat"
	if len(u.Items) > 0 {
		kind = "update"
	}
	if err := l.net.carry(s.ctx, kind, l.to, l.from, u); err != nil {
		return err
	}
	select {
	case s.updates <- arrival{u, time.Now().Add(l.net.travel(l.to, l.from))}:
		return nil
	case <-s.ctx.Done():
		return s.ctx.Err()
	}
}

// arrival is an Update on its way.
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
