package topology

// Dimensions of the tree.
const (
	// WatchersPerRegion is the number of VMs per region that watch the store.
	WatchersPerRegion = 2
	// RelaysPerFailureDomain is the number of relays per failure domain.
	RelaysPerFailureDomain = 2
	// FanOut is the planned number of subscribers per node.
	FanOut = 16
	// MaxSubscribers is the limit of subscribers per node: all of a failure
	// domain when the other relay is down.
	MaxSubscribers = RelaysPerFailureDomain * FanOut
	// maxUpstreams bounds the number of upstream candidates.
	maxUpstreams = 8
)

// Role is a node's function in the tree.
type Role uint8

// Roles of a node.
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

// Plan is a node's role, upstreams and peers for one VM list.
type Plan struct {
	Role Role
	// Level is the node's level in its failure domain, 0 for a relay.
	Level int
	// Upstreams lists the candidates of each subscription in order of
	// preference. Watchers have two subscriptions, all other nodes one.
	Upstreams [][]Member
	// Watchers lists all other watchers, those of the same region first.
	Watchers []Member
	// Peers lists all other entry VMs.
	Peers []Member
}

// Build computes the plan of self. If the list does not contain self yet, self
// is a leaf without subscribers.
func Build(members []Member, self Member) Plan {
	f := newFleet(members)
	p := Plan{Peers: f.peers(self)}
	p.Watchers = f.otherWatchers(self)
	p.Level = f.level(self)
	switch {
	case f.isWatcher(self):
		p.Role = Watcher
		p.Upstreams = [][]Member{f.sameRegionWatchers(self), f.remoteWatchers(self)}
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
