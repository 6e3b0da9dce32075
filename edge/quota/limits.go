package quota

import "time"

// Limit is the quota of one client account at all VMs together. An account without a rate has
// none.
type Limit struct {
	// ID identifies the account in messages.
	ID uint32
	// Rate is in requests per second, Burst in requests.
	Rate, Burst float64
}

// Bounds say by how much an account may exceed its quota: in no Window may more of its requests
// run than (Rate*Window + Burst) * (1+Overshoot) + Slack.
type Bounds struct {
	Window           time.Duration
	Overshoot, Slack float64
}

const (
	// reportInterval is the time between two reports of a VM to a coordinator.
	reportInterval = 500 * time.Millisecond
	// maxUnsent bounds the entitlement that a VM accumulates between reports.
	maxUnsent = 3 * reportInterval / 2
	// membershipReserve is the part of the overshoot that covers the time in which VMs disagree
	// about the size of the fleet.
	membershipReserve = 0.5
	// minStorage is the storage that a coordinator needs for its work, in seconds of the rate:
	// VMs hold tokens in advance for about one report interval.
	minStorage = 0.2
)

// allowance is how a quota is divided into a rate of new tokens and a bound for unused ones.
type allowance struct {
	// rate is the number of tokens that the whole fleet receives per second.
	rate float64
	// stored is how many unused tokens may exist at a coordinator and at the VMs that it granted
	// them to.
	stored float64
}

// allowanceFor divides a quota so that the tokens of a window, and those stored at its begin,
// never exceed the bounds.
func (b Bounds) allowanceFor(l Limit) allowance {
	window := b.Window.Seconds()
	// Beyond rate*window, a window has room for the stored tokens and for the entitlements that
	// VMs have not sent yet.
	room := l.Burst*(1+b.Overshoot) + (1-membershipReserve)*b.Overshoot*l.Rate*window + b.Slack
	a := allowance{rate: l.Rate, stored: room - l.Rate*maxUnsent.Seconds()}
	if least := minStorage * l.Rate; a.stored < least {
		// Without a burst, a part of the rate is given up instead.
		a.rate = max(0, l.Rate-(least-a.stored)/window)
		a.stored = max(0, least)
	}
	return a
}
