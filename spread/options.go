package spread

import (
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	"github.com/yuccaroute/yuccaroute/api/content"
	"github.com/yuccaroute/yuccaroute/api/option"
	"github.com/yuccaroute/yuccaroute/api/peerpb"
	"github.com/yuccaroute/yuccaroute/membership"
)

const (
	// DefaultHeartbeat is the interval between empty Updates on an idle stream.
	DefaultHeartbeat = 2 * time.Second
	// DefaultCompareInterval including jitter stays below the 6 s within which
	// every node must learn that a target leaves. Only a comparison reveals an
	// outdated relay.
	DefaultCompareInterval = 4500 * time.Millisecond
)

// Options configures a Service. Ref, Members and Dial are required.
type Options struct {
	// Ref identifies this incarnation of the node.
	Ref *peerpb.NodeRef
	// Members returns the latest VM list. It is called once per heartbeat and
	// must not block.
	Members func() membership.List
	// Dial returns the connection to a peer. The dialer shares and owns
	// connections; see package transport for a pool.
	Dial func(address string) (grpc.ClientConnInterface, error)
	// ContentNames returns the content that an item's body references; nil if
	// no item references content. An item is applied and forwarded only once
	// all its content is available.
	ContentNames func(key string, body []byte) []content.Name
	// Source watches the store; nil on a node that cannot reach it.
	Source Source
	// ActiveVersion returns the version of a key that the node currently uses,
	// which may be older than the latest received one. known is false for keys
	// that it does not track. If nil, the latest received version is reported.
	ActiveVersion func(key string) (version ActiveVersion, known bool)
	// Seed makes the jitter reproducible; nodes need different seeds.
	Seed uint64
	// Logger defaults to logrus' standard logger.
	Logger logrus.FieldLogger
	// Heartbeat is the interval between empty Updates on an idle stream,
	// jittered by a fifth. A stream without messages for 2.5 heartbeats is
	// closed.
	Heartbeat time.Duration
	// CompareInterval is the mean time between comparisons with the alternate
	// upstream, jittered by a fifth. Random peers are compared five times less
	// often.
	CompareInterval time.Duration
}

// ActiveVersion is the version of a key that a node uses. Has is false when it
// uses none.
type ActiveVersion struct {
	Has      bool
	Epoch    uint64
	Sequence uint64
}

// withDefaults validates the options and sets defaults.
func (o Options) withDefaults() (Options, error) {
	if o.Ref == nil || o.Ref.Vm == "" {
		return o, errors.New("spread: Options.Ref is missing or has no VM name")
	}
	if o.Members == nil || o.Dial == nil {
		return o, errors.New("spread: Options.Members and Options.Dial are required")
	}
	if o.ContentNames == nil {
		o.ContentNames = func(string, []byte) []content.Name { return nil }
	}
	if o.Logger == nil {
		o.Logger = logrus.StandardLogger()
	}
	option.Default(&o.Heartbeat, DefaultHeartbeat)
	option.Default(&o.CompareInterval, DefaultCompareInterval)
	return o, nil
}
