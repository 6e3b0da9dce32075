package settings

import (
	"net/netip"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// Settings is one node's settings. It is immutable once loaded.
type Settings struct {
	Node     Node
	Listen   Listen
	Platform Platform
	Limits   Limits
	Log      Log
	TLS      TLS
	Admin    Admin
}

// Node tells who the process is.
type Node struct {
	// VM is the identifier of the machine in the platform's list.
	VM     string
	Region model.RegionName
	// FailureDomain is the place the VM stands in.
	FailureDomain model.PlaceName
}

// Listen holds the addresses the process listens on.
type Listen struct {
	// Callers serves look-ups and requests, Admin the administration API and
	// metrics, Peers the other nodes.
	Callers, Admin, Peers netip.AddrPort
}

// Platform tells how to reach the key-value service and the VM list.
type Platform struct {
	Store  netip.AddrPort
	VMList netip.AddrPort
	// VMListPath answers the list of VMs.
	VMListPath string
	// CallTimeout bounds one call; WatchTimeout bounds one waiting watch, whose
	// wait at the service ends a CallTimeout before: a watch that ends before its
	// answer counts as an outage, after which a watcher reads and encodes every
	// account again.
	CallTimeout, WatchTimeout time.Duration
	// ReadsPerSecond and WritesPerSecond bound this node's calls.
	ReadsPerSecond, WritesPerSecond float64
	// VMListInterval is the time between two readings of the list.
	VMListInterval time.Duration
	// MergedAccounts makes the node, when it watches the store, spread each account
	// merged with its template beside the documents, for nodes of a release that
	// does not merge them.
	MergedAccounts bool
}

// Limits bounds what one process holds.
type Limits struct {
	// BufferedBytes bounds the bodies held in memory, in sum.
	BufferedBytes int64
	// KeptAnswerBytes bounds the answers to orders with a key that are kept for
	// repeats, in sum; 0 keeps none.
	KeptAnswerBytes int64
	// StreamOverBytes is the length over which a request body is sent on before
	// it is whole.
	StreamOverBytes int64
	// StreamAhead bounds how long before the last byte of such a body is expected
	// its first ones are sent on; 0 for not before it is whole.
	StreamAhead time.Duration
	// QueuedRequests bounds requests that wait, in sum.
	QueuedRequests int
	// CallerConnections bounds open connections of callers.
	CallerConnections int
	// LeaveTime bounds a planned stop of the process.
	LeaveTime time.Duration
	// RelayFromNodes is from how many live entry VMs on the reports of a failure
	// domain go to the deciders by way of one of its nodes; 0 for never.
	RelayFromNodes int
	// CollectAtPercent is how far the heap grows over what is in use before
	// memory is collected, in percent of it.
	CollectAtPercent int
	// MemoryBytes is the memory of the process from which on it is collected more
	// often; 0 for no such limit. It guards a VM against running out of memory: if
	// what is in use is near it, collecting takes up to half the processor time.
	MemoryBytes int64
}

// Log tells what is logged and how.
type Log struct {
	// Level is one of debug, info, warn, error.
	Level string
	// Format is text or json.
	Format string
}

// TLS holds the files of keys and certificates. They are read again when they
// change.
type TLS struct {
	CertificateFile, KeyFile string
	// AuthorityFile holds the certificates that peers must be signed by.
	AuthorityFile string
	// PlainAllowed permits the administration API and the peers without TLS on
	// addresses that are not loopback.
	PlainAllowed bool
}

// Enabled reports whether keys are given.
func (t TLS) Enabled() bool { return t.CertificateFile != "" }

// Admin tells where the identities of operators are.
type Admin struct {
	// IdentitiesFile holds hashed tokens; "" reads them from the store.
	IdentitiesFile string
	// Open permits calls without a token. It is accepted on loopback only.
	Open bool
}
