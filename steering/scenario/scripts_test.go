package scenario

import (
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// rushPeak is the peak load of the rush relative to the capacity of the region's own
// places.
const rushPeak = 1.15

var scripts = []script{
	{name: "steady", seconds: 600},
	{name: "dawn", seconds: 900, beforeSecond: regionalRush},
	{name: "domain-lost", seconds: 900, faultSecond: 120, beforeSecond: func(w *world, s int) {
		failPlaces(w, s, w.account.Places[:1])
	}},
	{name: "region-lost", seconds: 1500, faultSecond: 120, beforeSecond: func(w *world, s int) {
		failPlaces(w, s, w.account.Places[:2])
	}},
	{name: "region-back", seconds: 1500, faultSecond: 120, beforeSecond: func(w *world, s int) {
		failPlaces(w, s, w.account.Places[:2])
		if s == 600 {
			w.setPlace(w.account.Places[0].Name, 1)
			w.setPlace(w.account.Places[1].Name, 1)
		}
	}},
	{name: "drain", seconds: 1200, faultSecond: 400, drains: drainFirstPlace},
	{name: "flapping", seconds: 1200, faultSecond: 120, beforeSecond: flapTargets},
	{name: "lying", seconds: 900, faultSecond: 120, beforeSecond: func(w *world, s int) {
		if s == 120 {
			failRequests(w, 0.8)
		}
	}},
	{name: "poor", seconds: 900, faultSecond: 120, beforeSecond: func(w *world, s int) {
		if s == 120 {
			failRequests(w, 0.3)
		}
	}},
	{name: "leader-lost", seconds: 1500, faultSecond: 120, beforeSecond: func(w *world, s int) {
		failPlaces(w, s, w.account.Places[:2])
		if s == 180 || s == 200 {
			w.takeover()
		}
	}},
	{name: "node-paused", seconds: 900, faultSecond: 120, beforeSecond: func(w *world, s int) {
		failPlaces(w, s, w.account.Places[:1])
		w.pausedNode = -1
		if s >= 140 && s < 260 {
			w.pausedNode = 0
		}
	}},
	{name: "lost-in-drain", seconds: 1200, faultSecond: 250, drains: drainFirstPlace, beforeSecond: func(w *world, s int) {
		if s == 250 {
			w.setPlace(w.account.Places[2].Name, 0)
		}
	}},
	{name: "rush-and-loss", seconds: 1200, faultSecond: 200, beforeSecond: func(w *world, s int) {
		regionalRush(w, s)
		if s == 200 {
			w.setPlace(w.account.Places[5].Name, 0)
		}
	}},
	{name: "stale", seconds: 600, faultSecond: 120, beforeSecond: func(w *world, s int) {
		w.reportsStopped = s >= 120
		if s == 180 {
			w.setDemand(0.6)
		}
	}},
}

// regionalRush ramps the load of the first region up beyond its capacity.
func regionalRush(w *world, second int) {
	ramp := min(1, max(0, float64(second-120)/120))
	for _, s := range w.account.Services {
		first := flowName{s.Name, w.account.Regions[0].Name}
		w.demand[first] = (0.45 + (rushPeak-0.45)*ramp) * 2 * w.spec.placeRPS[s.Name]
	}
}

func failPlaces(w *world, second int, places []model.Place) {
	if second != 120 {
		return
	}
	for _, p := range places {
		w.setPlace(p.Name, 0)
	}
}

// drainFirstPlace drains the first place within 200 s.
func drainFirstPlace(start time.Time, a *model.Account) []model.Drain {
	return []model.Drain{{
		Place: a.Places[0].Name,
		Start: start.Add(200 * time.Second),
		End:   start.Add(400 * time.Second),
		Until: start.Add(800 * time.Second),
	}}
}

// flapTargets makes the targets of one place fail and recover every 20 s.
func flapTargets(w *world, second int) {
	if second < 120 {
		return
	}
	usable := 1.0
	if second/20%2 == 0 {
		usable = 0
	}
	w.setPlace(w.account.Places[0].Name, usable)
}

// failRequests makes requests to one place fail while its targets stay healthy.
func failRequests(w *world, share float64) {
	for name, c := range w.cells {
		if name.place == w.account.Places[0].Name {
			c.failureShare = share
		}
	}
}
