// Package entry is one entry VM: it wires the store's copy, the other VMs, the
// decisions and the listeners together.
package entry

import (
	"net/url"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/edge/catalog"
	"github.com/yuccaroute/yuccaroute/edge/quarantine"
	"github.com/yuccaroute/yuccaroute/edge/serve"
	"github.com/yuccaroute/yuccaroute/edge/site"
	"github.com/yuccaroute/yuccaroute/store"
)

// Names are the calls and keys that are named by the platform.
type Names struct {
	Fields      site.FieldNames
	ResolvePath string
	ReadyPath   string
	// VMKey is the key under which this VM is listed.
	VMKey string
	// WatchPrefix is that of all keys that matter.
	WatchPrefix string
	// ParseCaller reads who asks for entry VMs; Resolved renders the answer.
	ParseCaller     func(query url.Values) (zone, region string)
	EncodeAddresses func(addresses []string, ttl time.Duration) *serve.Response
}

// Options configure a VM.
type Options struct {
	VM site.VM
	// EntryAddress, ReadyAddress and DirectoryAddress are where callers and the
	// platform connect; PeerAddress is for other VMs, by TCP and UDP.
	EntryAddress, ReadyAddress, DirectoryAddress, PeerAddress string
	// MetricsAddress shows the metrics, as PeerAddress does too; "" for nowhere else.
	MetricsAddress string
	// RegionOf maps each failure domain to its region.
	RegionOf map[string]string
	Names    Names
	Codec    catalog.Codec
	// QuarantineKeys tells the keys of the records of quarantined requests.
	QuarantineKeys quarantine.Keys
	KV             store.KV
	Logger         *logrus.Logger
	// MemoryBytes is what the process may take.
	MemoryBytes int64
	// MaxConnections bounds callers' connections.
	MaxConnections int
	// Grace is how long a planned stop may take.
	Grace time.Duration
	// MaxTTL is the longest time that callers keep an answer of the directory.
	MaxTTL time.Duration
	// RetryRatio and RetryExtra bound repeated sendings, of all VMs together.
	RetryRatio, RetryExtra float64
}
