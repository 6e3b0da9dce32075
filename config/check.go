package config

import (
	"fmt"
	"math"
	"net/netip"
	"strings"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// weightTolerance permits weights that were rounded to a few decimals.
const weightTolerance = 1e-6

// checker looks for faults between the parts of a merged account.
type checker struct {
	b        *builder
	account  *model.Account
	problems Problems
}

func check(b *builder, account *model.Account) Problems {
	c := checker{b: b, account: account}
	c.notEmpty()
	c.references()
	c.delays()
	c.services()
	c.weights()
	c.drains()
	c.drainsLeaveAPlace()
	c.callers()
	return c.problems
}

func (c *checker) add(kind, name, key, message, permitted string) {
	p := c.b.view.Problem(kind, name, key, message)
	p.Permitted = permitted
	c.problems = append(c.problems, p)
}

func (c *checker) notEmpty() {
	for _, kind := range []string{kindRegion, kindPlace, kindService} {
		if len(c.b.enabled[kind]) == 0 {
			c.add(kind, "", "", "the account has no enabled "+kind, "at least one")
		}
	}
}

func (c *checker) known(kind string) string { return strings.Join(c.b.enabled[kind], ", ") }

// references checks names that point to other sections. A capacity may name a
// place that is switched off, but not one that does not exist.
func (c *checker) references() {
	for _, place := range c.b.enabled[kindPlace] {
		if !c.b.has(kindRegion, c.b.view.Text(kindPlace, place, keyRegion)) {
			c.add(kindPlace, place, keyRegion, "unknown region", c.known(kindRegion))
		}
	}
	for _, section := range c.b.enabled[kindRoute] {
		c.service(kindRoute, section)
	}
	for _, section := range c.b.enabled[kindCapacity] {
		c.service(kindCapacity, section)
		_, place, _ := strings.Cut(section, "/")
		c.reference(kindCapacity, section, "", kindPlace, place)
	}
	for _, drain := range c.b.enabled[kindDrain] {
		c.reference(kindDrain, drain, keyPlace, kindPlace, c.b.view.Text(kindDrain, drain, keyPlace))
	}
	for _, section := range c.b.enabled[kindDelay] {
		from, to, _ := strings.Cut(section, "/")
		c.reference(kindDelay, section, "", kindRegion, from)
		c.reference(kindDelay, section, "", kindRegion, to)
	}
	for _, region := range c.b.enabled[kindCallers] {
		if !c.b.has(kindRegion, region) {
			c.add(kindCallers, region, "", "unknown region", c.known(kindRegion))
		}
	}
}

func (c *checker) service(kind, section string) {
	service, _, _ := strings.Cut(section, "/")
	c.reference(kind, section, "", kindService, service)
}

func (c *checker) reference(kind, section, key, target, name string) {
	if c.b.has(target, name) || c.b.switchedOff(target, name) {
		return
	}
	c.add(kind, section, key, fmt.Sprintf("unknown %s %q", target, name), c.known(target))
}

// delays checks that steering knows the distance of every pair of regions.
func (c *checker) delays() {
	regions := c.b.enabled[kindRegion]
	for i, from := range regions {
		for _, to := range regions[i+1:] {
			if c.b.delaySection(from, to) == "" {
				c.add(kindDelay, from+"/"+to, keyOneWayDelay, "the delay between two regions is missing", "a section [delay "+from+"/"+to+"]")
			}
		}
	}
}

func (c *checker) services() {
	for i := range c.account.Services {
		s := &c.account.Services[i]
		name := string(s.Name)
		if len(s.Capacity) == 0 {
			c.add(kindService, name, "", "no enabled place has a capacity for the service", "a section [capacity "+name+"/PLACE] for at least one place")
		}
		if len(s.Routes) == 0 {
			c.add(kindService, name, "", "the service has no route", "a section [route "+name+"/NAME] for at least one path")
		}
		c.duplicateRoutes(s)
	}
}

func (c *checker) duplicateRoutes(s *model.Service) {
	type match struct{ method, path string }
	seen := map[match]bool{}
	for _, r := range s.Routes {
		m := match{r.Method, r.PathPrefix}
		if seen[m] {
			c.add(kindService, string(s.Name), "", fmt.Sprintf("two routes match %s %s", r.Method, r.PathPrefix), "one route for a method and path")
		}
		seen[m] = true
	}
}

func (c *checker) weights() {
	sum := c.account.Policy.LatencyWeight + c.account.Policy.HeadroomWeight
	if math.Abs(sum-1) > weightTolerance {
		c.add(kindPolicy, "", keyHeadroomWeight, "the weights do not add up to 1", "1 minus "+keyLatencyWeight)
	}
}

func (c *checker) drains() {
	shortest := c.b.view.Duration(kindDrains, "", keyDrainShortest, time.Second)
	longest := c.b.view.Duration(kindDrains, "", keyDrainLongest, time.Second)
	if shortest > longest {
		c.add(kindDrains, "", keyDrainShortest, "the shortest drain is longer than the longest", "at most "+keyDrainLongest)
	}
	for _, name := range c.b.enabled[kindDrain] {
		start := c.b.view.Moment(kindDrain, name, keyStart)
		end := c.b.view.Moment(kindDrain, name, keyEnd)
		until := c.b.view.Moment(kindDrain, name, keyUntil)
		if took := end.Sub(start); took < shortest || took > longest {
			c.add(kindDrain, name, keyEnd, "the drain takes "+took.String(), fmt.Sprintf("from %s to %s after start", shortest, longest))
		}
		if until.Before(end) {
			c.add(kindDrain, name, keyUntil, "the place would be used again before it is empty", "not before end")
		}
	}
}

// drainsLeaveAPlace refuses planned drains that would, together, take every
// place of a service at one moment. The set of drained places grows only at a
// start, so those moments are enough.
func (c *checker) drainsLeaveAPlace() {
	for i := range c.account.Drains {
		at := c.account.Drains[i].Start
		drained := map[model.PlaceName]bool{}
		for _, d := range c.account.Drains {
			if !at.Before(d.Start) && at.Before(d.Until) {
				drained[d.Place] = true
			}
		}
		for j := range c.account.Services {
			c.leavesAPlace(&c.account.Services[j], drained, at)
		}
	}
}

func (c *checker) leavesAPlace(s *model.Service, drained map[model.PlaceName]bool, at time.Time) {
	for _, capacity := range s.Capacity {
		if !drained[capacity.Place] {
			return
		}
	}
	if len(s.Capacity) > 0 {
		c.add(kindService, string(s.Name), "", "planned drains leave no place for the service at "+at.Format(time.RFC3339), "at least one place in use")
	}
}

func (c *checker) callers() {
	regions := map[netip.Prefix]model.RegionName{}
	for _, block := range c.account.Callers {
		other, seen := regions[block.Prefix]
		if seen {
			c.add(kindCallers, string(block.Region), keyBlocks, fmt.Sprintf("block %s is also listed for region %s", block.Prefix, other), "each block once")
		}
		regions[block.Prefix] = block.Region
	}
}
