package topology

// The shape of the tree.
const (
	// WatchersPerRegion is how many VMs of a region watch the store.
	WatchersPerRegion = 2
	// RelaysPerFailureDomain is how many VMs relay into a failure domain.
	RelaysPerFailureDomain = 2
	// FanOut is how many subscribers a node is planned to serve.
	FanOut = 16
	// MaxSubscribers is how many it takes at most: all of a failure domain's
	// when the other relay is gone.
	MaxSubscribers = RelaysPerFailureDomain * FanOut
	// maxUpstreams bounds the order in which a node tries others.
	maxUpstreams = 8
)

// Role is what a node does in the tree.
type Role uint8

// The roles.
const (
	Leaf Role = iota
	Relay
	Watcher
)

// String returns the name used in status and logs.
func (r Role) String() string {
	switch r {
	case Watcher:
		return "watcher"
	case Relay:
		return "relay"
	default:
		return "leaf"
	}
}

// Plan is what one node does with one list.
type Plan struct {
	Role Role
	// Level is the node's level in its failure domain, 0 for a relay.
	Level int
	// Upstreams lists for each subscription the node keeps the VMs to try, in
	// order. Watchers keep two, all others one.
	Upstreams [][]Member
	// Watchers lists all other watchers, the own region's first.
	Watchers []Member
	// Peers lists all other entry VMs.
	Peers []Member
}

// Build computes the plan of self. Self need not be in the list, which may
// lag; it is then a leaf that nobody follows.
func Build(members []Member, self Member) Plan {
	f := newFleet(members)
	p := Plan{Peers: f.peers(self)}
	p.Watchers = f.otherWatchers(self)
	p.Level = f.level(self)
	switch {
	case f.isWatcher(self):
		p.Role = Watcher
		p.Upstreams = [][]Member{f.mates(self), f.neighbours(self)}
	case p.Level == 0:
		p.Role = Relay
		p.Upstreams = [][]Member{limit(f.relayUpstreams(self))}
	default:
		p.Role = Leaf
		p.Upstreams = [][]Member{limit(f.leafUpstreams(self, p.Level))}
	}
	return p
}

func limit(ms []Member) []Member {
	if len(ms) > maxUpstreams {
		return ms[:maxUpstreams]
	}
	return ms
}
