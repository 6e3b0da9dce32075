// Package site defines an entry VM's model of its deployment: the configured routes and
// services, the registered targets, and the other entry VMs. Values are immutable once
// published.
package site

import (
	"slices"
	"time"
)

// Kind says whether a request may run more than once.
type Kind int

// Kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// AtMostOnce requests must not be sent again once they may have run.
	AtMostOnce
)

// Route configures the requests to one host whose path begins with Prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Upload marks routes with large request bodies, Download those with large answers.
	Upload, Download bool
	// UnknownKind is the configured kind if it is not supported.
	UnknownKind string
	// Timeout bounds the time of a request in addition to its deadline; 0 means no bound.
	Timeout time.Duration
	// Objective is the latency within which answers should arrive.
	Objective time.Duration
	// Priority 0 is the highest.
	Priority int
	// MaxAttempts bounds the number of targets that one request is sent to.
	MaxAttempts int
	// Sticky enables key affinity: targets answer faster for keys that they handled recently.
	Sticky bool
	// Public routes serve requests without an account.
	Public bool
	// Regions lists the regions that may run the requests; empty means all.
	Regions []string
	// Services is the traffic split; it has at least one entry.
	Services []WeightedService
	// Fault is why the route cannot be used, "" if it can. Requests that match the route are then refused, as
	// another route could take them to a wrong service. Fields that could not be read are zero.
	Fault string
}

// Allows reports whether the route's requests may run in a region.
func (r *Route) Allows(region string) bool { return allows(r.Regions, region) }

// allows reports whether a region is in a list; an empty list allows all.
func allows(regions []string, region string) bool {
	return len(regions) == 0 || slices.Contains(regions, region)
}

// WeightedService is the weight of one service in a traffic split.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a group of interchangeable targets.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the open connections of all VMs to one target.
	MaxConnections int
	// ColdTime is the warm-up time of a target after its start. ColdRate bounds the requests
	// per second that all VMs send to it during that time; 0 means no bound.
	ColdTime time.Duration
	ColdRate float64
}

// FallbackColdRate is the rate of cold targets, in requests per second, of a service whose rate cannot be read: no
// limit could make its targets crash.
const FallbackColdRate = 1

// Limits bounds the size and the time of callers' requests. 0 stands for a limit that is not configured.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
	// Accounts are the client accounts. HasAccounts is set if requests must name one by its
	// key, also if there are none.
	Accounts    []Account
	HasAccounts bool
	// RefusedKeys are keys whose account cannot be used, or that several accounts have. None is a key of Accounts.
	RefusedKeys Secrets `json:"-"`
	// Unusable lists the parts that are not in force as configured.
	Unusable []Unusable
}

// Target is one registered target.
type Target struct {
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	// Draining is set if the target accepts no new requests.
	Draining bool
	// ColdRemaining is the remaining warm-up time.
	ColdRemaining time.Duration
	// StartedMillis is the start time of the target in Unix milliseconds by its own clock; 0 if
	// unknown. It distinguishes the incarnations of an ID.
	StartedMillis int64
	// Sequence counts the registrations that the target has written since its start.
	Sequence uint64
}

// VM is the registration of an entry VM.
type VM struct {
	Name   string `json:"name" msgpack:"n"`
	Region string `json:"region" msgpack:"r"`
	Zone   string `json:"zone" msgpack:"z"`
	// EntryAddress is the address for callers, PeerAddress the one for other VMs.
	EntryAddress string `json:"entry" msgpack:"e"`
	PeerAddress  string `json:"peer" msgpack:"p"`
	// Incarnation distinguishes the starts of one VM.
	Incarnation uint64 `json:"incarnation" msgpack:"i"`
	// LinkMbps is the bandwidth of its network link in Mbit/s; 0 if unknown.
	LinkMbps float64 `json:"link_mbps" msgpack:"b"`
}

// FieldNames holds the names of the header fields used between callers, entry VMs and
// targets.
type FieldNames struct {
	RequestID, Deadline, Affinity, ExpectTarget, Stamp, NotRun, TargetID, Load, ColdMillis string
	// Account is the field with the client account of a request to a target, APIKey the field
	// with the key that a caller sends.
	Account, APIKey string
}
