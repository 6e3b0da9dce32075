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

// ErrNoNode is returned by New if Options.Node.VM is empty.
var ErrNoNode = errors.New("proxy: Options.Node.VM is empty")

// KeyRecorder records idempotency keys. Record returns keys.ErrDuplicate,
// keys.ErrUnavailable or keys.ErrUnknown.
type KeyRecorder interface {
	// Record claims the right to run the request of a key.
	Record(ctx context.Context, key keys.Key) (keys.Claim, error)
	// ClaimLocally claims a key without the store. It succeeds for one of the
	// requests through this node.
	ClaimLocally(key keys.Key) bool
	// Release releases the key of a request that certainly did not run.
	Release(ctx context.Context, claim keys.Claim)
	// Owner returns the VM that recorded a key; known is false if that cannot
	// be determined.
	Owner(ctx context.Context, key keys.Key) (vm string, known bool)
}

// FetchAnswerFunc calls Proxy.KeptAnswer on another node. It returns
// result.DuplicateKey if the call fails.
type FetchAnswerFunc func(ctx context.Context, vm string, key keys.Key, fingerprint kept.Fingerprint) (*kept.Response, result.Code)

// Options configure a Proxy.
type Options struct {
	Node   grant.NodeID
	Region model.RegionName
	Place  model.PlaceName
	// Logger and Scope may be nil.
	Logger *logrus.Logger
	Scope  tally.Scope
	// CallerRegion returns the region of a caller's address. Unknown callers,
	// or all callers if it is nil, belong to the node's own region.
	CallerRegion func(model.AccountName, netip.Addr) (model.RegionName, bool)
	// Keys may be nil; requests with an idempotency key are then handled as
	// during a store outage.
	Keys KeyRecorder
	// KeptAnswerBytes bounds the total size of the answers kept for repeats of
	// requests with an idempotency key; 0 keeps none.
	KeptAnswerBytes int64
	// FetchAnswer may be nil; a repeat that arrives through another node than
	// the original request is then refused as a duplicate.
	FetchAnswer FetchAnswerFunc
	// MaxBufferedBytes bounds the total size of the bodies in memory; 0 means
	// DefaultBufferedBytes.
	MaxBufferedBytes int64
	// StreamOverBytes is the length above which a body is forwarded before it
	// has arrived in full; 0 means DefaultStreamOverBytes.
	StreamOverBytes int64
	// StreamAhead bounds how long before the expected arrival of its last byte
	// such a body is forwarded; 0 means DefaultStreamAhead. If it is negative,
	// bodies are forwarded only in full.
	StreamAhead time.Duration
	// MaxInFlight bounds the requests in flight; 0 means DefaultMaxInFlight.
	MaxInFlight int64
	// ConnectTimeout bounds opening a connection to a target.
	ConnectTimeout time.Duration
	// OnGrantShortage is called when requests of an account queue because the
	// node's grant is used up. Calls are rate limited per service and place. It
	// must not block and may be nil.
	OnGrantShortage func(model.AccountName)
	// Nodes returns the number of live entry nodes; nil means one.
	Nodes func() int
	// Clock is compared with the expiry of grants and must be the clock that
	// the expiry was read from; nil means time.Now. With a clock that advances
	// while the machine is suspended, grants that expire meanwhile are not used
	// after the resume.
	Clock func() time.Time
	// Dial opens connections to targets; nil means TCP.
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

// keepAlive detects within about eight seconds that the VM behind an idle
// connection is gone; a request sent on it would end with an unknown outcome.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: time.Second, Count: 3}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: keepAlive}
	return d.DialContext(ctx, "tcp", address)
}
