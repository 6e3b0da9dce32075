package model

import "strings"

// Service returns the named service, or nil.
func (a *Account) Service(name ServiceName) *Service {
	for i := range a.Services {
		if a.Services[i].Name == name {
			return &a.Services[i]
		}
	}
	return nil
}

// Region returns the named region, or nil.
func (a *Account) Region(name RegionName) *Region {
	for i := range a.Regions {
		if a.Regions[i].Name == name {
			return &a.Regions[i]
		}
	}
	return nil
}

// RegionOf returns the region of a place, or "" for an unknown place.
func (a *Account) RegionOf(place PlaceName) RegionName {
	for i := range a.Places {
		if a.Places[i].Name == place {
			return a.Places[i].Region
		}
	}
	return ""
}

// CapacityAt returns what the service may carry in a place, requests/s.
func (s *Service) CapacityAt(place PlaceName) float64 {
	for i := range s.Capacity {
		if s.Capacity[i].Place == place {
			return s.Capacity[i].RPS
		}
	}
	return 0
}

// ClassOf returns the class of a request. Requests no route matches are
// NonIdempotent.
func (s *Service) ClassOf(method, path string) Class {
	best := -1
	class := NonIdempotent
	for i := range s.Routes {
		r := &s.Routes[i]
		if r.Method != "" && r.Method != method {
			continue
		}
		if !strings.HasPrefix(path, r.PathPrefix) || len(r.PathPrefix) <= best {
			continue
		}
		best = len(r.PathPrefix)
		class = r.Class
	}
	return class
}

var classNames = [ClassCount]string{"non-idempotent", "idempotent", "bulk"}

// String returns the name used in configuration, logs and metrics.
func (c Class) String() string {
	if int(c) < len(classNames) {
		return classNames[c]
	}
	return "invalid"
}

// ParseClass is the inverse of Class.String.
func ParseClass(s string) (Class, bool) {
	for i, n := range classNames {
		if n == s {
			return Class(i), true
		}
	}
	return 0, false
}
