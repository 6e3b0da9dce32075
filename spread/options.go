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
	// DefaultHeartbeat is the time between empty Updates on an idle stream.
	DefaultHeartbeat = 2 * time.Second
	// DefaultCompareInterval with its jitter, 5.4 s, stays below the 6 s within
	// which every node must know that a target leaves: a relay that lags is
	// shown by nothing else.
	DefaultCompareInterval = 4500 * time.Millisecond
)

// Options configures a Service. Ref, Members and Dial are required.
type Options struct {
	// Ref names this life of the node.
	Ref *peerpb.NodeRef
	// Members returns the VM list as last read. It is called once a heartbeat
	// and must not block.
	Members func() membership.List
	// Dial returns the connection to a peer's address. Connections are shared
	// and owned by the dialer; see package transport for a pool.
	Dial func(address string) (grpc.ClientConnInterface, error)
	// ContentNames returns the content that an item's body names, see package content;
	// nil if no item names any. The item is taken and passed on only together
	// with all of it.
	ContentNames func(key string, body []byte) []content.Name
	// Source watches the store; nil on a node that can't reach it.
	Source Source
	// ActiveVersion tells which version of a key the node uses, for surveys: what has
	// arrived is not used until a listener took it. known is false for keys that
	// it does not know of, and for all when it is nil; the latest version that
	// arrived counts then.
	ActiveVersion func(key string) (version ActiveVersion, known bool)
	// Seed makes the jitter repeatable; nodes must differ.
	Seed uint64
	// Logger defaults to logrus' standard logger.
	Logger logrus.FieldLogger
	// Heartbeat is the time between empty Updates on an idle stream, jittered
	// by a fifth. A stream silent for 2.5 heartbeats is given up.
	Heartbeat time.Duration
	// CompareInterval is the mean time between comparisons with the witness, jittered
	// by a fifth. Those with a random peer are five times as far apart.
	CompareInterval time.Duration
}

// ActiveVersion is the version of a key that a node uses. Has is false when it
// uses none.
type ActiveVersion struct {
	Has      bool
	Epoch    uint64
	Sequence uint64
}

// withDefaults checks the options and fills in what was left out.
func (o Options) withDefaults() (Options, error) {
	if o.Ref == nil || o.Ref.Vm == "" {
		return o, errors.New("spread: options lack the node's own name")
	}
	if o.Members == nil || o.Dial == nil {
		return o, errors.New("spread: options lack Members or Dial")
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
