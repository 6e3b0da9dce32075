package config

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/config/inifile"
)

// builder fills the typed account from a merged view whose values passed the
// schema.
type builder struct {
	view    *inifile.View
	enabled map[string][]string
}

func (b *builder) account(doc *AccountDocument) *model.Account {
	return &model.Account{
		Name:         model.AccountName(doc.Name),
		Template:     doc.Template,
		Regions:      b.regions(),
		Places:       b.places(),
		Services:     b.services(),
		Moves:        b.moves(),
		Policy:       b.policy(),
		Excess:       b.excess(),
		OutageOrders: b.outageOrders(),
		Drains:       b.drains(),
		Callers:      b.callers(),
		// Of a document that was spread.
		CallerSets:    doc.callerSets,
		CallerRegions: doc.callerRegions,
	}
}

func (b *builder) has(kind, name string) bool {
	return slices.Contains(b.enabled[kind], name)
}

func (b *builder) regions() []model.Region {
	var regions []model.Region
	for _, name := range b.enabled[kindRegion] {
		regions = append(regions, model.Region{
			Name:        model.RegionName(name),
			CapacityRPS: b.view.Number(kindRegion, name, keyCapacity),
			LinkInRPS:   b.view.Number(kindRegion, name, keyLinkIn),
			Delays:      b.delays(name),
		})
	}
	return regions
}

func (b *builder) delays(from string) []model.Delay {
	var delays []model.Delay
	for _, to := range b.enabled[kindRegion] {
		section := b.delaySection(from, to)
		if section == "" {
			continue
		}
		delays = append(delays, model.Delay{
			To:     model.RegionName(to),
			OneWay: b.view.Duration(kindDelay, section, keyOneWayDelay, time.Millisecond),
		})
	}
	return delays
}

// delaySection returns the section that holds the delay between two regions:
// the one for this direction, or else the one for the other direction.
func (b *builder) delaySection(from, to string) string {
	for _, section := range []string{from + "/" + to, to + "/" + from} {
		if b.has(kindDelay, section) {
			return section
		}
	}
	return ""
}

func (b *builder) places() []model.Place {
	var places []model.Place
	for _, name := range b.enabled[kindPlace] {
		places = append(places, model.Place{
			Name:   model.PlaceName(name),
			Region: model.RegionName(b.view.Text(kindPlace, name, keyRegion)),
		})
	}
	return places
}

func (b *builder) services() []model.Service {
	var services []model.Service
	for _, name := range b.enabled[kindService] {
		services = append(services, model.Service{
			Name:                 model.ServiceName(name),
			Routes:               b.routes(name),
			Capacity:             b.capacities(name),
			SlotsPerTarget:       int(b.view.Whole(kindService, name, keySlots)),
			ConnectionsPerTarget: int(b.view.Whole(kindService, name, keyConnections)),
			Deadline:             b.view.Duration(kindService, name, keyDeadline, time.Millisecond),
			RetryBudget:          b.view.Share(kindService, name, keyRetryBudget),
			MaxRequestBytes:      b.view.Whole(kindService, name, keyMaxRequest),
			MaxAnswerBytes:       b.view.Whole(kindService, name, keyMaxAnswer),
		})
	}
	return services
}

func (b *builder) routes(service string) []model.Route {
	var routes []model.Route
	for _, section := range b.enabled[kindRoute] {
		owner, _, _ := strings.Cut(section, "/")
		if owner != service {
			continue
		}
		method := b.view.Text(kindRoute, section, keyMethod)
		if method == wordAny {
			method = ""
		}
		class, _ := model.ParseClass(b.view.Text(kindRoute, section, keyClass))
		routes = append(routes, model.Route{
			Method:     method,
			PathPrefix: b.view.Text(kindRoute, section, keyPath),
			Class:      class,
		})
	}
	return routes
}

// capacities leaves out places that are switched off, so that an account can
// give up a place of its template with one line.
func (b *builder) capacities(service string) []model.PlaceCapacity {
	var capacities []model.PlaceCapacity
	for _, section := range b.enabled[kindCapacity] {
		owner, place, _ := strings.Cut(section, "/")
		if owner != service || !b.has(kindPlace, place) {
			continue
		}
		capacities = append(capacities, model.PlaceCapacity{
			Place: model.PlaceName(place),
			RPS:   b.view.Number(kindCapacity, section, keyCapacity),
		})
	}
	return capacities
}

func (b *builder) moves() model.MoveLimits {
	return model.MoveLimits{
		Share:  b.view.Share(kindMoves, "", keyMoveCap),
		Window: b.view.Duration(kindMoves, "", keyMoveWindow, time.Second),
	}
}

func (b *builder) policy() model.Policy {
	return model.Policy{
		LatencyWeight:  b.view.Number(kindPolicy, "", keyLatencyWeight),
		HeadroomWeight: b.view.Number(kindPolicy, "", keyHeadroomWeight),
		Headroom:       b.view.Share(kindPolicy, "", keyHeadroom),
	}
}

func (b *builder) excess() model.Excess {
	if b.view.Text(kindExcess, "", keyTraffic) == wordWait {
		return model.ExcessWait
	}
	return model.ExcessRefuse
}

func (b *builder) outageOrders() model.OutageOrders {
	if b.view.Text(kindExcess, "", keyOutageOrders) == wordServe {
		return model.OutageServe
	}
	return model.OutageRefuse
}

func (b *builder) drains() []model.Drain {
	var drains []model.Drain
	for _, name := range b.enabled[kindDrain] {
		place := b.view.Text(kindDrain, name, keyPlace)
		if b.switchedOff(kindPlace, place) {
			continue
		}
		drains = append(drains, model.Drain{
			Place: model.PlaceName(place),
			Start: b.view.Moment(kindDrain, name, keyStart),
			End:   b.view.Moment(kindDrain, name, keyEnd),
			Until: b.view.Moment(kindDrain, name, keyUntil),
		})
	}
	return drains
}

// switchedOff reports whether a section exists but is not enabled.
func (b *builder) switchedOff(kind, name string) bool {
	return !b.has(kind, name) && slices.Contains(b.view.Names(kind), name)
}

func (b *builder) callers() []model.CallerBlock {
	var blocks []model.CallerBlock
	for _, region := range b.enabled[kindCallers] {
		blocks = append(blocks, blocksOf(region, b.view.Text(kindCallers, region, keyBlocks))...)
	}
	return blocks
}

// blocksOf reads a list of blocks that passed the schema.
func blocksOf(region, list string) []model.CallerBlock {
	var blocks []model.CallerBlock
	for _, text := range inifile.SplitList(list) {
		prefix, _ := netip.ParsePrefix(text)
		blocks = append(blocks, model.CallerBlock{Prefix: prefix, Region: model.RegionName(region)})
	}
	return blocks
}
