// Package entry runs one entry VM: it connects the replica of the store, the exchange
// with other VMs, the placement of requests and the listeners.
package entry

import (
	"net/url"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/edge/catalog"
	"github.com/yuccaroute/yuccaroute/edge/gateway"
	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/edge/quarantine"
	"github.com/yuccaroute/yuccaroute/edge/quota"
	"github.com/yuccaroute/yuccaroute/edge/serve"
	"github.com/yuccaroute/yuccaroute/edge/site"
	"github.com/yuccaroute/yuccaroute/store"
)

// Names are the paths, header fields and store keys defined by the platform.
type Names struct {
	Fields      site.FieldNames
	ResolvePath string
	ReadyPath   string
	// VMKey is the store key of this VM's registration.
	VMKey string
	// WatchPrefix covers all store keys that entry VMs read.
	WatchPrefix string
	// ParseCaller reads the caller's failure domain and region from a directory query;
	// EncodeAddresses encodes the directory's response.
	ParseCaller     func(query url.Values) (zone, region string)
	EncodeAddresses func(addresses []string, ttl time.Duration) *serve.Response
	// ReadStatement reads what a target states in an answer; nil ignores it.
	ReadStatement gateway.ReadStatement
}

// Options configure a VM.
type Options struct {
	VM site.VM
	// EntryAddress, ReadyAddress and DirectoryAddress serve callers and the platform;
	// PeerAddress serves other VMs by TCP and UDP.
	EntryAddress, ReadyAddress, DirectoryAddress, PeerAddress string
	// MetricsAddress is an additional address for the metrics that PeerAddress serves;
	// "" disables it.
	MetricsAddress string
	// RegionOf maps each failure domain to its region.
	RegionOf map[string]string
	Names    Names
	Codec    catalog.Codec
	// QuarantineKeys maps quarantined requests to store keys.
	QuarantineKeys quarantine.Keys
	KV             store.KV
	Logger         *logrus.Logger
	// MemoryBytes is the memory limit of the process.
	MemoryBytes int64
	// MaxConnections limits the open connections of each listener.
	MaxConnections int
	// Grace is the time limit of a graceful shutdown.
	Grace time.Duration
	// MaxTTL is the upper bound for the TTL of directory responses.
	MaxTTL time.Duration
	// Quotas bound the requests of client accounts beyond their quotas.
	Quotas quota.Bounds
	// FleetSizeKey is the store key of the number of entry VMs.
	FleetSizeKey string
	// RevokeTime is how long requests with keys are served after this VM can no longer learn of
	// removed keys; 0 means without end.
	RevokeTime time.Duration
	// Policy selects the optional decisions under load.
	Policy placing.Policy
	// RetryRatio and RetryExtra limit the retries of all VMs together.
	RetryRatio, RetryExtra float64
}
