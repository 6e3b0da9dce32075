package platform

import (
	"time"

	"github.com/yuccaroute/yuccaroute/store/memkv"
)

// Options describes one platform.
type Options struct {
	// Address is ip:port to listen on; port 0 takes a free one.
	Address string
	// Store bounds the key-value service.
	Store memkv.Options
	// ReadsPerSecond and WritesPerSecond are what the service takes; a call
	// above is refused and counted. 0 means no limit. A watch is a read.
	ReadsPerSecond  float64
	WritesPerSecond float64
	// ListLag is how long a change of a VM stays hidden from the VM list.
	ListLag time.Duration
}
