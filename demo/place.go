package demo

import (
	"math"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// serviceTime is how long a target runs one request, as the example accounts'
// capacities assume.
const serviceTime = 8 * time.Millisecond

// Costs of one target, after the sizes of the first users.
const (
	// connectionCost and probeCost are the time that a target spends on a new
	// connection and on a probe.
	connectionCost = time.Millisecond
	probeCost      = 6 * time.Millisecond
	// loadLag is how old the load is that a target reports.
	loadLag = time.Second
	// coldRequests is how many requests warm a target, coldFactor how many
	// times its service time the first one takes.
	coldRequests = 300
	coldFactor   = 3
	// timeSpread is the part by which service times differ.
	timeSpread = 0.3
)

// targetsIn returns how many targets of a service a place has: as many as its
// capacity needs.
func targetsIn(service *model.Service, place model.PlaceName) int {
	one := float64(service.SlotsPerTarget) / serviceTime.Seconds()
	return int(math.Round(service.CapacityAt(place) / one))
}
