// Package model holds the typed form of what a client account asks of the
// system, after its template and its own parameters have been merged and
// checked. Every other module reads these types; only module config builds
// them. Values are immutable once built: share them, never change them.
package model

import (
	"net/netip"
	"time"

	"github.com/yuccaroute/yuccaroute/api/content"
)

// AccountName names a client account, for example "daehan".
type AccountName string

// ServiceName names a service of an account, for example "dealer-desk".
type ServiceName string

// PlaceName names a failure domain that serves an account, for example
// "kr-seoul-a".
type PlaceName string

// RegionName names a region, for example "kr-seoul".
type RegionName string

// Class tells how a request may be treated.
type Class uint8

// The classes of work. NonIdempotent is the zero value, so that work nobody
// declared is never repeated.
const (
	// NonIdempotent work runs at most once and is never retried after it may
	// have reached a target.
	NonIdempotent Class = iota
	// Idempotent work may be retried within the retry budget.
	Idempotent
	// Bulk work is non-idempotent and uses only capacity that the other
	// classes leave free.
	Bulk
)

// ClassCount is the number of classes, for arrays indexed by Class.
const ClassCount = 3

// Excess tells what becomes of traffic that a move cap or a grant holds back.
type Excess uint8

// The ways to treat traffic above a limit.
const (
	// ExcessRefuse answers at once that the request was not run.
	ExcessRefuse Excess = iota
	// ExcessWait queues the request while its deadline can still be met.
	ExcessWait
)

// OutageOrders tells what happens to keyed non-idempotent requests while the
// store cannot record their idempotency keys.
type OutageOrders uint8

// The choices under a store outage.
const (
	// OutageRefuse refuses keyed requests as not run.
	OutageRefuse OutageOrders = iota
	// OutageServe serves them; a repeat through another VM is then not detected.
	OutageServe
)

// Account is one client account in force at one revision.
type Account struct {
	Name     AccountName
	Template string
	// Revision is the revision of the configuration this account was read at.
	// It never decreases on any node.
	Revision uint64
	Regions  []Region
	Places   []Place
	Services []Service
	Moves    MoveLimits
	Policy   Policy
	Excess   Excess
	// OutageOrders applies to requests that carry an idempotency key.
	OutageOrders OutageOrders
	Drains       []Drain
	// Callers maps client address blocks to the region the callers are in.
	Callers []CallerBlock
	// CallerSets names the content that holds Callers, in order. It is set in an
	// account as nodes hold it when the blocks are many: Callers is then nil.
	CallerSets []content.Name `json:"-"`
	// CallerRegions lists the regions that Callers names, each once. It is set
	// together with CallerSets.
	CallerRegions []RegionName `json:"-"`
}

// Region is a group of places behind one link.
type Region struct {
	Name RegionName
	// CapacityRPS bounds all work of the account in the region, requests/s.
	CapacityRPS float64
	// LinkInRPS bounds work that enters the region from entry VMs in other
	// regions, requests/s.
	LinkInRPS float64
	// Delays holds the one-way network delay from this region to others.
	Delays []Delay
}

// Delay is a one-way network delay.
type Delay struct {
	To     RegionName
	OneWay time.Duration
}

// Place is one failure domain that serves the account.
type Place struct {
	Name   PlaceName
	Region RegionName
}

// Service is one kind of work with its own targets.
type Service struct {
	Name   ServiceName
	Routes []Route
	// Capacity is what the service may carry in each place.
	Capacity []PlaceCapacity
	// SlotsPerTarget is how many requests one target runs at once.
	SlotsPerTarget int
	// ConnectionsPerTarget bounds open connections to one target, in sum over
	// all nodes.
	ConnectionsPerTarget int
	// Deadline applies when the caller sends none.
	Deadline time.Duration
	// RetryBudget is the share of fresh requests that may be added as retries,
	// 0 to 1.
	RetryBudget float64
	// MaxRequestBytes and MaxAnswerBytes bound bodies.
	MaxRequestBytes int64
	MaxAnswerBytes  int64
}

// PlaceCapacity is the load one place may carry for a service, requests/s.
type PlaceCapacity struct {
	Place PlaceName
	RPS   float64
}

// Route gives a class to the requests it matches. The longest matching path
// prefix decides; an empty method matches every method.
type Route struct {
	Method     string
	PathPrefix string
	Class      Class
}

// MoveLimits caps how fast traffic may shift between places.
type MoveLimits struct {
	// Share is the largest part of the account's traffic that may move within
	// any Window, 0 to 1.
	Share  float64
	Window time.Duration
}

// Policy weighs the two measures. Both weights are 0 to 1 and add up to 1.
type Policy struct {
	LatencyWeight  float64
	HeadroomWeight float64
	// Headroom is the share of each capacity that steering leaves free while
	// it can, 0 to 1.
	Headroom float64
}

// Drain is a planned stop of a place.
type Drain struct {
	Place PlaceName
	// Start is when new work begins to leave; End is when the place must be
	// empty, and Until is when the place may be used again.
	Start, End, Until time.Time
}

// CallerBlock maps a block of client addresses to a region.
type CallerBlock struct {
	Prefix netip.Prefix
	Region RegionName
}
