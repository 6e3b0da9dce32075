package keys

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/option"
	"github.com/yuccaroute/yuccaroute/store"
)

// Defaults of Options.
const (
	DefaultRetention       = 24 * time.Hour
	DefaultWritesPerSecond = 20
	DefaultTimeout         = 500 * time.Millisecond
	DefaultCacheSize       = 1 << 14
)

// Options configure a Recorder. Zero values take the defaults.
type Options struct {
	Store store.KV
	Node  grant.NodeID
	// Retention is how long a key is recorded at least.
	Retention time.Duration
	// WritesPerSecond bounds the node's writes; above it keys are treated as
	// during an outage. The platform serves several hundred for all nodes.
	WritesPerSecond float64
	// Timeout bounds one call of the store.
	Timeout time.Duration
	// CacheSize is how many keys the node itself remembers.
	CacheSize int
}

func (o *Options) setDefaults() {
	option.Default(&o.Retention, DefaultRetention)
	option.Default(&o.WritesPerSecond, DefaultWritesPerSecond)
	option.Default(&o.Timeout, DefaultTimeout)
	option.Default(&o.CacheSize, DefaultCacheSize)
}
