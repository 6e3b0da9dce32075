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
	connectionCost = time.Millisecond
	probeCost      = 6 * time.Millisecond
	loadLag        = time.Second
	coldRequests   = 300
	coldFactor     = 3
	timeSpread     = 0.3
)

// targetsIn returns how many targets of a service a place has: as many as its
// capacity needs.
func targetsIn(service *model.Service, place model.PlaceName) int {
	one := float64(service.SlotsPerTarget) / serviceTime.Seconds()
	return int(math.Round(service.CapacityAt(place) / one))
}
