package proxy

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/option"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/proxy/kept"
	"github.com/yuccaroute/yuccaroute/proxy/keys"
)

// Defaults of Options.
const (
	DefaultBufferedBytes   = 256 << 20
	DefaultMaxInFlight     = 4096
	DefaultConnectTimeout  = time.Second
	DefaultStreamOverBytes = 256 << 10
	DefaultStreamAhead     = 500 * time.Millisecond
)

// ErrNoNode tells that Options.Node is empty.
var ErrNoNode = errors.New("proxy: the node has no name")

// KeyRecorder records idempotency keys. Errors of Record: keys.ErrDuplicate,
// keys.ErrUnavailable, keys.ErrUnknown.
type KeyRecorder interface {
	// Record returns the right to run the work of a key.
	Record(ctx context.Context, key keys.Key) (keys.Claim, error)
	// ClaimLocally returns the right to run the work of a key without a
	// record, to one of the requests through this node.
	ClaimLocally(key keys.Key) bool
	// Release frees the key of a request that certainly did not run.
	Release(ctx context.Context, claim keys.Claim)
	// Holder returns the VM that recorded a key, and false if that cannot be
	// found out.
	Holder(ctx context.Context, key keys.Key) (vm string, known bool)
}

// FetchAnswerFunc calls Proxy.KeptAnswer on another node. It returns
// result.DuplicateKey if the call fails.
type FetchAnswerFunc func(ctx context.Context, vm string, key keys.Key, print kept.Print) (*kept.Answer, result.Code)

// Options configure a Proxy.
type Options struct {
	Node   grant.NodeID
	Region model.RegionName
	Place  model.PlaceName
	// Logger and Scope may be nil.
	Logger *logrus.Logger
	Scope  tally.Scope
	// CallerRegion tells the region of a caller's address. Callers it does not
	// know, or all if it is nil, count as of the node's own region.
	CallerRegion func(model.AccountName, netip.Addr) (model.RegionName, bool)
	// Keys may be nil; requests with an idempotency key are then treated as
	// during a store outage.
	Keys KeyRecorder
	// KeptAnswerBytes bounds the answers to requests with an idempotency key that
	// are kept for repeats through this node, in sum; 0 keeps none.
	KeptAnswerBytes int64
	// FetchAnswer may be nil; a repeat that arrives through another node than the
	// original request is then refused as a duplicate.
	FetchAnswer FetchAnswerFunc
	// MaxBufferedBytes bounds the bodies held in memory in sum, 0 takes
	// DefaultBufferedBytes.
	MaxBufferedBytes int64
	// StreamOverBytes is the length over which a body is sent on before it is
	// whole, 0 takes DefaultStreamOverBytes.
	StreamOverBytes int64
	// StreamAhead bounds how long before the last byte of such a body is
	// expected its first ones are sent on, 0 takes DefaultStreamAhead; below 0
	// bodies are sent on when they are whole.
	StreamAhead time.Duration
	// MaxInFlight bounds the requests in hand, 0 takes DefaultMaxInFlight.
	MaxInFlight int64
	// ConnectTimeout bounds opening a connection to a target.
	ConnectTimeout time.Duration
	// OnGrantShortage is called when requests of an account queue because the
	// node's grant is used up. Calls are rate limited per service and place. It
	// must not block and may be nil.
	OnGrantShortage func(model.AccountName)
	// Nodes returns how many entry nodes are live; nil reads as one.
	Nodes func() int
	// Clock is what grants are compared with, and must be the clock that their
	// expiry was read from; nil takes time.Now. A clock that goes on while the
	// machine is suspended keeps expired grants from being used after it.
	Clock func() time.Time
	// Dial opens connections to targets; nil takes TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

func (o *Options) setDefaults() {
	option.Default(&o.MaxBufferedBytes, DefaultBufferedBytes)
	option.Default(&o.StreamOverBytes, DefaultStreamOverBytes)
	if o.StreamAhead == 0 {
		o.StreamAhead = DefaultStreamAhead
	}
	option.Default(&o.MaxInFlight, DefaultMaxInFlight)
	option.Default(&o.ConnectTimeout, DefaultConnectTimeout)
	if o.Nodes == nil {
		o.Nodes = func() int { return 1 }
	}
	if o.Clock == nil {
		o.Clock = time.Now
	}
	if o.OnGrantShortage == nil {
		o.OnGrantShortage = func(model.AccountName) {}
	}
	if o.Logger == nil {
		o.Logger = logrus.New()
	}
	if o.Scope == nil {
		o.Scope = tally.NoopScope
	}
	if o.Dial == nil {
		o.Dial = dialTCP
	}
}

// dial opens a connection within the connect timeout.
func (o *Options) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, o.ConnectTimeout)
	defer cancel()
	return o.Dial(ctx, address)
}

// keepAlive finds an idle connection whose target's VM has vanished without a
// word, in about eight seconds; an order sent on it would end as unknown.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: keepAlive}
	return d.DialContext(ctx, "tcp", address)
}
