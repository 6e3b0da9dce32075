// Package site holds what an entry VM believes about its deployment: routes and
// services as operators configured them, targets as they registered, and the
// other entry VMs. All values are immutable once published.
package site

import "time"

// Kind tells how often a request may be sent.
type Kind int

// Kinds of requests.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// AtMostOnce requests must not be sent again once they may have run.
	AtMostOnce
)

// Route says what happens to requests of one host whose path begins with Prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Upload tells that bodies are large, Download that answers are.
	Upload, Download bool
	// UnknownKind is the kind as operators wrote it, if this program does not know it.
	UnknownKind string
	// Timeout is the longest time a request is kept waiting.
	Timeout time.Duration
	// Objective is the latency within which an answer has its full worth.
	Objective time.Duration
	// Priority is the rank of the route, 0 the highest.
	Priority int
	// MaxAttempts bounds the targets that one request is sent to.
	MaxAttempts int
	// Sticky tells that targets answer faster for affinity keys that they handled lately.
	Sticky bool
	// Regions may run the requests; empty means all.
	Regions []string
	// Services divide the requests between services; there is at least one.
	Services []WeightedService
}

// Allows reports whether the route's requests may run in a region.
func (r *Route) Allows(region string) bool {
	if len(r.Regions) == 0 {
		return true
	}
	for _, allowed := range r.Regions {
		if allowed == region {
			return true
		}
	}
	return false
}

// WeightedService is one service's weight in a route.
type WeightedService struct {
	Service string
	Weight  float64
}

// Service is a group of equal targets.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections bounds the open connections to one target, of all VMs.
	MaxConnections int
	// ColdTime is how long a target is slow after its start, ColdRate the
	// requests a second that it bears until then, from all VMs; 0 is no bound.
	ColdTime time.Duration
	ColdRate float64
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Config is one version of the operators' configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits
}

// Target is one registered target.
type Target struct {
	ID      string
	Service string
	Address string
	Zone    string
	Slots   int
	// Draining tells that the target takes no new work.
	Draining bool
	// ColdRemaining is how long the target is still cold.
	ColdRemaining time.Duration
	// StartedMillis is when this incarnation of the target started, in Unix milliseconds by the
	// target's clock; 0 if the target does not say. It tells the starts of one ID apart.
	StartedMillis int64
}

// VM is one entry VM as it registered itself.
type VM struct {
	Name   string `json:"name" msgpack:"n"`
	Region string `json:"region" msgpack:"r"`
	Zone   string `json:"zone" msgpack:"z"`
	// EntryAddress is where callers connect, PeerAddress where other VMs do.
	EntryAddress string `json:"entry" msgpack:"e"`
	PeerAddress  string `json:"peer" msgpack:"p"`
	// Incarnation tells the starts of one VM apart.
	Incarnation uint64 `json:"incarnation" msgpack:"i"`
	// LinkMbps is its link in Mbit/s, 0 if it does not say.
	LinkMbps float64 `json:"link_mbps" msgpack:"b"`
}

// FieldNames are the header fields of the protocol between callers, entry VMs
// and targets.
type FieldNames struct {
	RequestID, Deadline, Affinity, ExpectTarget, Stamp, NotRun, TargetID, Load, ColdMillis string
	// Account names the client account of a request, where requests say it.
	Account string
}
