package scenario

import (
	"bytes"
	"context"
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/bench/report"
	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/config/examples"
)

const (
	// maxCut bounds the length of a cut, in seconds.
	maxCut = 3600
	// cutChangeEvery is the interval of the changes while the region is away.
	// Every second one drains a place or ends its drain, so that plans change.
	cutChangeEvery = time.Second
	// returnTime is how long the fleet is watched after the cut.
	returnTime = 30 * time.Second
	// statePoll is how often the nodes are asked whether all hold the same.
	statePoll = 20 * time.Millisecond
	// returnTimeout bounds the wait until they do.
	returnTimeout = 2 * time.Minute
)

// cutDrain is the section by which a change drains a place.
const cutDrain = `
[drain cut]
place = kr-busan-a
start = 2026-01-01T00:00:00Z
end = 2026-01-01T00:10:00Z
until = 2100-01-01T00:00:00Z
`

// fleetCut cuts one region off for a time and watches its return.
func fleetCut() Scenario {
	return Scenario{
		Name:     "fleet-cut",
		SizeName: "seconds",
		Summary:  "102 whole idle nodes, 2 accounts; one region is cut off for the given time while a change a second is made, and returns: peaks before, during and after",
		MaxSize:  maxCut,
		Untimed:  true,
		Run: func(ctx context.Context, p Params) ([]report.Metric, error) {
			return runFleetCut(ctx, time.Duration(p.Size*float64(time.Second)))
		},
	}
}

func runFleetCut(ctx context.Context, length time.Duration) ([]report.Metric, error) {
	w := newFleetWorld()
	defer w.close()
	w.network = newRegionNetwork(w, regionName(0))
	quietCrossing := &crossingPeak{network: w.network}
	quiet, err := w.startQuiet(ctx, quietCrossing.take)
	if err != nil {
		return nil, err
	}
	c := &regionCut{world: w, crossing: crossingPeak{network: w.network}}
	closed := w.network.setCut(true)
	during, err := w.peaks(ctx, length, func(elapsed time.Duration) { c.change(ctx, elapsed) })
	if err != nil || c.err != nil {
		return nil, errors.Wrap(firstError(err, c.err), "fleet: during the cut")
	}
	behind := w.behind(c.latest)
	after, waited, err := c.comeBack(ctx)
	if err != nil {
		return nil, err
	}
	metrics := append(quiet.metrics("quiet"), during.metrics("cut")...)
	metrics = append(metrics, after.metrics("return")...)
	return append(metrics,
		quietCrossing.metric("quiet"), c.crossing.metric("return"),
		report.Metric{Name: "connections cut", Unit: "connections", Value: float64(closed)},
		report.Metric{Name: "changes during the cut", Unit: "changes", Value: float64(c.made)},
		report.Metric{Name: "nodes behind at its end", Unit: "nodes", Value: float64(behind)},
		report.Metric{Name: "newest revision everywhere", Unit: "ms", Value: waited.revision.Seconds() * 1000},
		report.Metric{Name: "one state everywhere", Unit: "ms", Value: waited.state.Seconds() * 1000},
	), nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// regionCut makes the changes during a cut.
type regionCut struct {
	world *fleetWorld
	made  int
	// latest is the sequence of the last change.
	latest uint64
	err    error
	// crossing is the peak after the cut.
	crossing crossingPeak
}

// crossingPeak is the most bytes that crossed between two samples.
type crossingPeak struct {
	network *regionNetwork
	begun   bool
	last    int64
	most    int64
}

func (p *crossingPeak) take(time.Duration) {
	now := p.network.bytes.Load()
	if p.begun {
		p.most = max(p.most, now-p.last)
	}
	p.last, p.begun = now, true
}

// metric is the peak for each node of the region, which has one end of each
// connection that crosses.
func (p *crossingPeak) metric(when string) report.Metric {
	each := float64(p.most) / failureSample.Seconds() / float64(p.network.size())
	return report.Metric{Name: when + ": bytes crossing, peak", Unit: "B/s/node of the region", Value: each}
}

// change commits as many changes as are due.
func (c *regionCut) change(ctx context.Context, elapsed time.Duration) {
	for c.err == nil && time.Duration(c.made)*cutChangeEvery < elapsed {
		pair := examples.Pairs()[0]
		text := bytes.ReplaceAll(examples.Text(pair.Account), []byte("capacity_rps = 3600"), fmt.Appendf(nil, "capacity_rps = %d", 3700+c.made))
		if c.made%2 == 0 {
			text = append(text, cutDrain...)
		}
		var result changelog.Result
		result, c.err = c.world.apply(ctx, changelog.KindAccount, pair.Template, pair.Account, text)
		c.latest = result.Version.Sequence
		c.made++
	}
}

// returned is how long after the end of the cut all nodes had the newest
// revision, and all held the same items, plans included.
type returned struct{ revision, state time.Duration }

// comeBack ends the cut and watches the fleet.
func (c *regionCut) comeBack(ctx context.Context) (peakReading, returned, error) {
	var waited returned
	ctx, cancel := context.WithTimeout(ctx, returnTimeout)
	defer cancel()
	began := time.Now()
	c.world.network.setCut(false)
	done := make(chan error, 1)
	go func() {
		done <- c.world.waitSame(ctx, c.latest, began, &waited)
	}()
	peak, err := c.world.peaks(ctx, returnTime, c.crossing.take)
	return peak, waited, firstError(<-done, err)
}

// waitSame fills in when the nodes had the revision and the same items.
func (w *fleetWorld) waitSame(ctx context.Context, revision uint64, began time.Time, waited *returned) error {
	for w.behind(revision) > 0 {
		if err := pause(ctx, statePoll); err != nil {
			return err
		}
	}
	waited.revision = time.Since(began)
	for !w.sameState() {
		if err := pause(ctx, statePoll); err != nil {
			return err
		}
	}
	waited.state = time.Since(began)
	return nil
}

// behind counts the nodes in which the changed account is older.
func (w *fleetWorld) behind(revision uint64) int {
	account := model.AccountName(examples.Pairs()[0].Account)
	count := 0
	for _, n := range w.nodes {
		if inForce(n.Accounts(), account) < revision {
			count++
		}
	}
	return count
}

// sameState reports whether all nodes hold the same items.
func (w *fleetWorld) sameState() bool {
	first := w.nodes[0].Status().Spread.Digest
	for _, n := range w.nodes[1:] {
		if n.Status().Spread.Digest != first {
			return false
		}
	}
	return true
}
