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

// Options configures a Recorder. Zero values take the defaults.
type Options struct {
	Store store.KV
	Node  grant.NodeID
	// Retention is the minimum time for which a record is kept.
	Retention time.Duration
	// WritesPerSecond limits the node's writes to the store. Keys above the limit
	// are handled as in a store outage.
	WritesPerSecond float64
	// Timeout bounds one call to the store.
	Timeout time.Duration
	// CacheSize is the number of keys cached at the node.
	CacheSize int
}

func (o *Options) setDefaults() {
	option.Default(&o.Retention, DefaultRetention)
	option.Default(&o.WritesPerSecond, DefaultWritesPerSecond)
	option.Default(&o.Timeout, DefaultTimeout)
	option.Default(&o.CacheSize, DefaultCacheSize)
}
