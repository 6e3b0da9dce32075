package main

import (
	"runtime/debug"

	"github.com/yuccaroute/yuccaroute/config/settings"
)

// limitMemory keeps the process near the size of its heap. By default the
// runtime lets the heap grow to twice what is in use before it collects.
func limitMemory(limits settings.Limits) {
	debug.SetGCPercent(limits.CollectAtPercent)
	if limits.MemoryBytes > 0 {
		debug.SetMemoryLimit(limits.MemoryBytes)
	}
}
