package entry

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/edge/exchange"
	"github.com/yuccaroute/yuccaroute/edge/placing"
	"github.com/yuccaroute/yuccaroute/edge/quota"
	"github.com/yuccaroute/yuccaroute/edge/ratelimit"
)

const (
	// wantInterval is the shortest time between two requests without a token that count as demand
	// for a target: a request in the queue tries again and again.
	wantInterval = 100 * time.Millisecond
	// maxAsks bounds the limits that wait for a token to be asked for.
	maxAsks = 64
	// targetQuotaIdle is how long after its last use a VM reports to another region's coordinator.
	targetQuotaIdle = 3 * time.Second
)

// targetLimitBounds bound the requests to a target beyond the limit that it states. They are the
// same on all deployments.
var targetLimitBounds = quota.Bounds{Window: 4 * time.Second, Overshoot: 0.5, Slack: 5}

// targetLimits keeps the limits that targets state. The targets of each region have a quota of
// their own: the VMs of that region are entitled to equal parts of it, and those of all regions
// get tokens.
type targetLimits struct {
	entry *Entry
	log   *logrus.Entry
	table *ratelimit.Table
	// fleet is the number of VMs of this VM's region.
	fleet *quota.Fleet
	// regions are all regions, sorted. Their index identifies them in messages.
	regions []string
	quotas  []*regionQuota
	metrics *limitMetrics
	// asks are the limits that a token is to be asked for.
	asks chan *targetLimit
	// current are the limits in force, whose gauges are updated.
	current atomic.Pointer[[]*targetLimit]
	// limited is the number of targets with a limit.
	limited atomic.Int32
	// started is the origin of the times that are kept as durations.
	started time.Time
	// sameRegionAt and otherRegionsAt are when observations are next part of a report to this
	// region, and to other regions, in nanoseconds since started.
	sameRegionAt, otherRegionsAt atomic.Int64
}

// regionQuota is the quota of the targets of one region.
type regionQuota struct {
	*quota.Quota
	limits *targetLimits
	local  bool
	// usedAt is when this VM last had a request for one of the targets, in nanoseconds since
	// targetLimits.started.
	usedAt atomic.Int64
}

// isIdle reports whether this VM has had no request for one of the targets lately.
func (q *regionQuota) isIdle(now time.Time) bool {
	return q.limits.sinceStart(now)-q.usedAt.Load() >= int64(targetQuotaIdle)
}

func newTargetLimits(e *Entry) *targetLimits {
	now := e.contact.clock.Now()
	l := &targetLimits{
		entry: e, log: e.component("targetlimits"), fleet: quota.NewFleet(now), started: now,
		metrics: newLimitMetrics(e.metrics.Scope), asks: make(chan *targetLimit, maxAsks),
	}
	l.table = ratelimit.New(now, l.apply)
	for _, region := range e.options.RegionOf {
		if !slices.Contains(l.regions, region) {
			l.regions = append(l.regions, region)
		}
	}
	slices.Sort(l.regions)
	for i, region := range l.regions {
		l.quotas = append(l.quotas, l.newQuota(byte(i), region))
	}
	return l
}

func (l *targetLimits) newQuota(index byte, region string) *regionQuota {
	e := l.entry
	local := region == e.options.VM.Region
	return &regionQuota{limits: l, local: local, Quota: quota.New(quota.Options{
		VM: e.options.VM.Name, Incarnation: e.options.VM.Incarnation, Bounds: targetLimitBounds, Immediate: true,
		Logger: l.log.WithField("region", region),
		Limit: func(id uint32) (quota.Limit, bool) {
			rate, limited := l.table.Limit(id)
			return quota.Limit{ID: id, Rate: rate}, limited
		},
		Fleet: func() int {
			if !local {
				return 0
			}
			return l.fleet.Size(l.Now())
		},
		Groups: func() int { return 1 },
		Coordinator: func(_ int, avoid func(name string) bool) quota.Coordinator {
			return e.coordinatorIn(region, "targets "+region, avoid)
		},
		OtherCoordinators: func(int) []quota.Coordinator { return nil },
		SendRequest: func(address string, payload []byte) {
			e.exchange.Send(address, exchange.TargetQuotaRequest, append([]byte{index}, payload...))
		},
		Leaving: e.shuttingDown.Load, Now: e.contact.clock.Now,
	})}
}

// Now implements gateway.TargetLimits. It counts suspensions, so that other VMs learn the true age
// of an observation.
func (l *targetLimits) Now() time.Time { return l.entry.now() }

// Observe implements gateway.TargetLimits.
func (l *targetLimits) Observe(o ratelimit.Observation, sentAt time.Time) (changed bool) {
	return l.table.Observe(o, sentAt)
}

// sinceStart returns a time in nanoseconds since started, which setting the clock does not change.
func (l *targetLimits) sinceStart(now time.Time) int64 { return int64(now.Sub(l.started)) }

// apply passes the current limits of targets, by ID, to the balancer.
func (l *targetLimits) apply(limits map[uint32]float64) {
	l.limited.Store(int32(len(limits)))
	l.entry.gatewayMetrics.setTargetLimits(len(limits))
	l.metrics.clear()
	var current []*targetLimit
	l.entry.balancer.SetRateLimits(time.Now(), func(t *placing.Target) placing.RateLimit {
		id := quota.IDOf(t.ID)
		rate, limited := limits[id]
		region, known := slices.BinarySearch(l.regions, t.Region)
		if !limited || !known {
			return nil
		}
		limit := &targetLimit{quota: l.quotas[region], limit: quota.Limit{ID: id, Rate: rate}, metrics: l.metrics.of(t.ID)}
		limit.metrics.rate.Update(rate)
		current = append(current, limit)
		return limit
	})
	// A copy, as the balancer calls the function above for later targets too.
	inForce := slices.Clone(current)
	l.current.Store(&inForce)
}

// updateMetrics updates the gauges of the limits in force.
func (l *targetLimits) updateMetrics(now time.Time) {
	current := l.current.Load()
	if current == nil {
		return
	}
	for _, limit := range *current {
		limit.metrics.tokens.Update(float64(limit.quota.Held(limit.limit)))
		if at, known := l.table.ObservedAt(limit.limit.ID); known {
			limit.metrics.age.Update(now.Sub(at).Seconds())
		}
	}
}

// maintain runs the periodic work.
func (l *targetLimits) maintain() {
	now := l.Now()
	l.table.Expire(now)
	l.fleet.Observe(now, l.entry.members.RegionCount())
	if l.entry.contact.isCurrent() {
		l.fleet.Contact(now)
	}
	if l.limited.Load() == 0 {
		return
	}
	l.updateMetrics(now)
	for _, q := range l.quotas {
		if q.local || !q.isIdle(now) {
			q.Tick()
		}
	}
}

// announcement returns observations for a report if some are due.
func (l *targetLimits) announcement(now time.Time, otherRegions bool) []ratelimit.Announced {
	due := &l.sameRegionAt
	if otherRegions {
		due = &l.otherRegionsAt
	}
	if l.sinceStart(now) < due.Load() {
		return nil
	}
	due.Store(l.sinceStart(now.Add(ratelimit.AnnounceInterval)))
	return l.table.Announcement(now)
}

// merge takes over the observations that another VM has announced.
func (l *targetLimits) merge(now time.Time, from string, announced []ratelimit.Announced) {
	for _, o := range l.table.Merge(now, announced) {
		l.log.WithFields(logrus.Fields{
			"target_id": o.Target, "limited": o.Limited, "rate": o.Rate, "from": from, "age_ms": now.Sub(o.At).Milliseconds(),
		}).Info("targetlimits: limit learned")
	}
}

// quotaOf returns the quota that a datagram is for, and the rest of the datagram.
func (l *targetLimits) quotaOf(payload []byte) (*regionQuota, []byte, bool) {
	if len(payload) == 0 || int(payload[0]) >= len(l.quotas) {
		return nil, nil, false
	}
	return l.quotas[payload[0]], payload[1:], true
}

func (l *targetLimits) handleRequest(ex *exchange.Exchange, from string, payload []byte) {
	q, message, ok := l.quotaOf(payload)
	if !ok {
		return
	}
	if reply := q.HandleRequest(from, message); reply != nil {
		ex.Send(from, exchange.TargetQuotaReply, append([]byte{payload[0]}, reply...))
	}
}

func (l *targetLimits) handleReply(_ *exchange.Exchange, from string, payload []byte) {
	q, message, ok := l.quotaOf(payload)
	if !ok {
		return
	}
	q.HandleReply(from, message)
	l.serveQueues()
}

// serveQueues serves the requests that wait for what a coordinator has told.
func (l *targetLimits) serveQueues() {
	if l.entry.balancer.Waiting() > 0 {
		l.entry.balancer.Tick(time.Now())
	}
}

// answerAsks asks for tokens until stop. The balancer and the table of limits call Want with their
// locks, and a VM that is the coordinator needs these.
func (l *targetLimits) answerAsks(stop <-chan struct{}) {
	for {
		select {
		case t := <-l.asks:
			if t.quota.Ask(t.limit) {
				l.serveQueues()
			}
		case <-stop:
			return
		}
	}
}

// targetLimit implements placing.RateLimit for one target.
type targetLimit struct {
	quota   *regionQuota
	limit   quota.Limit
	metrics *targetLimitMetrics
	// wantedUntil is up to when further requests count as the same demand, in nanoseconds since
	// targetLimits.started.
	wantedUntil atomic.Int64
}

func (t *targetLimit) Rate() float64 { return t.limit.Rate }

func (t *targetLimit) Ready() bool { return t.quota.Ready(t.limit) }

func (t *targetLimit) Use() bool {
	t.quota.usedAt.Store(t.quota.limits.sinceStart(t.quota.limits.Now()))
	used := t.quota.Use(t.limit)
	if used {
		t.metrics.sent.Inc(1)
	}
	return used
}

func (t *targetLimit) Expect() (wait, interval time.Duration, ok bool) {
	return t.quota.Expect(t.limit)
}

func (t *targetLimit) Want() {
	if t.wantIsDue(t.quota.limits.Now()) {
		t.quota.Want(t.limit)
		t.metrics.short.Inc(1)
	}
	if !t.quota.MayAsk(t.limit) {
		return
	}
	select {
	case t.quota.limits.asks <- t:
	default:
		// It is asked for with the next report.
	}
}

// wantIsDue reports whether a request counts as demand, at most once in a wantInterval.
func (t *targetLimit) wantIsDue(now time.Time) bool {
	at := t.quota.limits.sinceStart(now)
	until := t.wantedUntil.Load()
	if at < until || !t.wantedUntil.CompareAndSwap(until, at+int64(wantInterval)) {
		return false
	}
	t.quota.usedAt.Store(at)
	return true
}
