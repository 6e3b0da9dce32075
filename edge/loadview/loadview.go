// Package loadview holds the JSON types of GET /load: what one VM knows of the load of services,
// regions and client accounts.
package loadview

import "github.com/yuccaroute/yuccaroute/edge/refusals"

// Path is where VMs serve a View.
const Path = "/load"

// View is what one VM knows.
type View struct {
	VM     string `json:"vm"`
	Region string `json:"region"`
	// Regions are the names of all regions, sorted.
	Regions []string `json:"regions"`
	// ReportAgeMS is the age of the oldest valid report of another VM.
	ReportAgeMS int64     `json:"oldest_report_age_ms"`
	Services    []Service `json:"services"`
	// Accounts are those with requests that this VM refused in the last minute.
	Accounts []refusals.Account `json:"accounts"`
	// Refused are the services, regions and accounts with such requests, and who was served meanwhile.
	Refused []refusals.Place `json:"refused"`
}

// Service is the load of one service.
type Service struct {
	Service string    `json:"service"`
	Demand  []Demand  `json:"demand"`
	Regions []Region  `json:"regions"`
	Weights []Weights `json:"weights"`
}

// Demand is that of one region's callers which may run in a set of regions.
type Demand struct {
	CallersRegion  string   `json:"callers_region"`
	AllowedRegions []string `json:"may_run_in"`
	DemandSlots    float64  `json:"demand_slots"`
}

// Region is the state of a service in one region.
type Region struct {
	Region        string  `json:"region"`
	CapacitySlots float64 `json:"capacity_slots"`
	// InFlight counts the requests of all VMs, InFlightOfVM those of this VM.
	InFlight     int `json:"in_flight"`
	InFlightOfVM int `json:"in_flight_of_vm"`
	// WorkingSet is nil if it has never applied here.
	WorkingSet *WorkingSet `json:"working_set,omitempty"`
	// Returns is nil if this VM has refused nobody who may use this region only.
	Returns *Returns `json:"returns,omitempty"`
}

// WorkingSet is the part of the affinity keys that the region serves.
type WorkingSet struct {
	// FractionByRank begins with the most urgent rank.
	FractionByRank []float64 `json:"fraction_by_rank"`
	DecidingVM     string    `json:"deciding_vm"`
	// Refused counts the requests that this VM refused as their keys were not served.
	Refused int `json:"refused"`
}

// Returns counts the promises of this VM to refused callers: those that are open, and since its start
// all that were made, kept and have lapsed.
type Returns struct {
	Pending  int   `json:"pending"`
	Promised int64 `json:"promised"`
	Kept     int64 `json:"kept"`
	Lapsed   int64 `json:"lapsed"`
}

// Weights are the fractions of the requests of this VM's callers, which may run in a set of regions, by
// the region that runs them.
type Weights struct {
	AllowedRegions []string           `json:"may_run_in"`
	Weights        map[string]float64 `json:"weights"`
	// Planned is what the weights move to, absent if no demand is restricted.
	Planned map[string]float64 `json:"planned_weights,omitempty"`
}
