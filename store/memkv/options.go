package memkv

import "time"

// Defaults of Options.
const (
	DefaultWatchWait     = 30 * time.Second
	DefaultHistoryEvents = 4096
	DefaultHistoryBytes  = 16 << 20
)

// Options bounds a store.
type Options struct {
	// WatchWait is how long a watch waits for a change before it returns an
	// empty batch.
	WatchWait time.Duration
	// HistoryEvents and HistoryBytes bound the changes kept for watches.
	HistoryEvents int
	HistoryBytes  int
}

func (o Options) withDefaults() Options {
	if o.WatchWait <= 0 {
		o.WatchWait = DefaultWatchWait
	}
	if o.HistoryEvents <= 0 {
		o.HistoryEvents = DefaultHistoryEvents
	}
	if o.HistoryBytes <= 0 {
		o.HistoryBytes = DefaultHistoryBytes
	}
	return o
}
