package ledger

import (
	"math"
	"sort"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/grant"
	"github.com/yuccaroute/yuccaroute/api/model"
)

// Limits holds the capacities of one account at one configuration revision.
type Limits struct {
	Revision uint64
	keys     []Key
	capacity map[Key]grant.Amount
	places   map[model.PlaceName]model.RegionName
	regions  map[model.RegionName]RegionLimit
}

// RegionLimit bounds the load of a region and the part of it that nodes of other
// regions send.
type RegionLimit struct {
	Capacity, LinkIn grant.Amount
}

// NewLimits returns the limits of an account's configuration.
func NewLimits(account *model.Account) *Limits {
	l := &Limits{
		Revision: account.Revision,
		capacity: make(map[Key]grant.Amount),
		places:   make(map[model.PlaceName]model.RegionName),
		regions:  make(map[model.RegionName]RegionLimit),
	}
	for _, r := range account.Regions {
		l.regions[r.Name] = RegionLimit{Capacity: AmountFromRPS(r.CapacityRPS), LinkIn: AmountFromRPS(r.LinkInRPS)}
	}
	for _, p := range account.Places {
		l.places[p.Name] = p.Region
	}
	for i := range account.Services {
		l.addService(&account.Services[i])
	}
	sort.Slice(l.keys, func(i, j int) bool { return keyLess(l.keys[i], l.keys[j]) })
	return l
}

func (l *Limits) addService(s *model.Service) {
	for _, c := range s.Capacity {
		key := Key{Service: s.Name, Place: c.Place}
		if _, seen := l.capacity[key]; seen {
			continue
		}
		l.capacity[key] = AmountFromRPS(c.RPS)
		l.keys = append(l.keys, key)
	}
}

// Keys returns the services and places that have a capacity, sorted.
func (l *Limits) Keys() []Key { return l.keys }

// Capacity returns the capacity of a key, 0 if it is not configured.
func (l *Limits) Capacity(key Key) grant.Amount { return l.capacity[key] }

// RegionOf returns the region of a place, "" if the place is unknown.
func (l *Limits) RegionOf(place model.PlaceName) model.RegionName { return l.places[place] }

// Region returns the limits of a region, zero if it is not configured.
func (l *Limits) Region(name model.RegionName) RegionLimit { return l.regions[name] }

// AmountFromRPS converts requests per second to an amount and rounds down. NaN
// and negative rates give 0.
func AmountFromRPS(rps float64) grant.Amount {
	if !(rps > 0) {
		return 0
	}
	if rps > math.MaxUint32 {
		rps = math.MaxUint32
	}
	return grant.Amount(rps * float64(grant.PerRequest))
}

func keyLess(a, b Key) bool {
	if a.Service != b.Service {
		return a.Service < b.Service
	}
	return a.Place < b.Place
}

// Usage sums amounts by key, region and link.
type Usage struct {
	Keys    map[Key]grant.Amount
	Regions map[model.RegionName]grant.Amount
	Links   map[model.RegionName]grant.Amount
}

// NewUsage returns an empty usage.
func NewUsage() *Usage {
	return &Usage{
		Keys:    make(map[Key]grant.Amount),
		Regions: make(map[model.RegionName]grant.Amount),
		Links:   make(map[model.RegionName]grant.Amount),
	}
}

// Add adds an amount for a key that a node in region from may send.
func (u *Usage) Add(l *Limits, from model.RegionName, key Key, a grant.Amount) {
	to := l.RegionOf(key.Place)
	u.Keys[key] += a
	u.Regions[to] += a
	if from != to {
		u.Links[to] += a
	}
}

// Check returns an error for a limit that is exceeded.
func (u *Usage) Check(l *Limits) error {
	for key, a := range u.Keys {
		if a > l.Capacity(key) {
			return errors.Errorf("ledger: service %s in %s uses %d, limit %d", key.Service, key.Place, a, l.Capacity(key))
		}
	}
	for name, a := range u.Regions {
		if a > l.Region(name).Capacity {
			return errors.Errorf("ledger: region %s uses %d, limit %d", name, a, l.Region(name).Capacity)
		}
	}
	for name, a := range u.Links {
		if a > l.Region(name).LinkIn {
			return errors.Errorf("ledger: link into %s uses %d, limit %d", name, a, l.Region(name).LinkIn)
		}
	}
	return nil
}
