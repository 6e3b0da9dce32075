// Package wire has the typed messages of the platform's key-value protocol:
// JSON bodies of POST requests, one path a call. Values are base64 in JSON.
package wire

import "github.com/yuccaroute/yuccaroute/store"

// DefaultPathPrefix comes before every path.
const DefaultPathPrefix = "/kv/v1"

// The paths, after the prefix.
const (
	PathGet       = "/get"
	PathList      = "/list"
	PathSwap      = "/swap"
	PathDelete    = "/delete"
	PathWatch     = "/watch"
	PathGrant     = "/lease/grant"
	PathKeepAlive = "/lease/keepalive"
	PathRevoke    = "/lease/revoke"
)

// Entry is store.Entry.
type Entry struct {
	Key      string         `json:"key"`
	Value    []byte         `json:"value,omitempty"`
	Revision store.Revision `json:"revision"`
	Lease    store.LeaseID  `json:"lease,omitempty"`
}

// Event is store.Event.
type Event struct {
	Entry   Entry `json:"entry"`
	Deleted bool  `json:"deleted,omitempty"`
}

// GetRequest asks for one key. The answer is an Entry.
type GetRequest struct {
	Key string `json:"key"`
}

// ListRequest asks for all keys under a prefix.
type ListRequest struct {
	Prefix string `json:"prefix"`
}

// ListAnswer is store.Listing.
type ListAnswer struct {
	// Entries is present, as an empty list, also when there are none.
	Entries []Entry        `json:"entries"`
	At      store.Revision `json:"at"`
}

// SwapRequest writes a key at an expected revision.
type SwapRequest struct {
	Key      string         `json:"key"`
	Value    []byte         `json:"value"`
	Expected store.Revision `json:"expected"`
	Lease    store.LeaseID  `json:"lease,omitempty"`
}

// SwapAnswer has the revision of the write.
type SwapAnswer struct {
	Revision store.Revision `json:"revision"`
}

// DeleteRequest removes a key at an expected revision. The answer is Done.
type DeleteRequest struct {
	Key      string         `json:"key"`
	Expected store.Revision `json:"expected"`
}

// WatchRequest waits for changes under a prefix after a revision.
type WatchRequest struct {
	Prefix string         `json:"prefix"`
	After  store.Revision `json:"after"`
}

// WatchAnswer is store.Batch.
type WatchAnswer struct {
	Events []Event        `json:"events,omitempty"`
	At     store.Revision `json:"at"`
	Reset  bool           `json:"reset,omitempty"`
}

// GrantRequest makes a lease.
type GrantRequest struct {
	TTLMillis int64 `json:"ttl_ms"`
}

// GrantAnswer names the lease made.
type GrantAnswer struct {
	Lease store.LeaseID `json:"lease"`
}

// LeaseRequest extends or ends a lease. The answer is Done.
type LeaseRequest struct {
	Lease store.LeaseID `json:"lease"`
}

// Done is the answer of calls that return nothing.
type Done struct {
	Done bool `json:"done"`
}
