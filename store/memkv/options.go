package memkv

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/option"
)

// Defaults of Options.
const (
	DefaultWatchWait     = 30 * time.Second
	DefaultHistoryEvents = 4096
	DefaultHistoryBytes  = 16 << 20
)

// Options configures a Store.
type Options struct {
	// WatchWait is how long a watch waits for a change before it returns an empty
	// batch.
	WatchWait time.Duration
	// HistoryEvents and HistoryBytes limit the changes kept for watches.
	HistoryEvents int
	HistoryBytes  int
}

func (o Options) withDefaults() Options {
	option.Default(&o.WatchWait, DefaultWatchWait)
	option.Default(&o.HistoryEvents, DefaultHistoryEvents)
	option.Default(&o.HistoryBytes, DefaultHistoryBytes)
	return o
}
