package demo

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/standin/caller"
)

// Base loads of the services, requests/s in sum over all caller blocks.
const (
	lookupRPS = 500
	uploadRPS = 25
)

// rushRise is the part of the run within which the load climbs to its peak.
const rushRise = 0.125

// rate returns the load of a service over the run.
func (s *Scenario) rate(base float64, duration time.Duration) caller.Rate {
	if s.Peak == 0 {
		return caller.Steady(base)
	}
	half := duration / 2
	rise := time.Duration(rushRise * float64(duration))
	return caller.Rush(base, base*s.Peak, half, rise)
}

// loadsOf returns the loads on an account's services.
func (s *Scenario) loadsOf(account model.AccountName, duration time.Duration) []caller.Load {
	asks := s.rate(lookupRPS, duration)
	uploads := s.rate(uploadRPS, duration)
	if account == "daehan" {
		return []caller.Load{caller.DealerDesk(asks), caller.WarehouseDocs(uploads)}
	}
	return []caller.Load{caller.Termindienst(asks), caller.Herdenakte(uploads)}
}
