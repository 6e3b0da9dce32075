package caller

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/wait"
	"github.com/yuccaroute/yuccaroute/client"
)

// source is one caller address.
type source struct {
	region model.RegionName
	client *client.Client
}

// Counts is what was sent. Due is Sent plus Skipped.
type Counts struct {
	Sent, Skipped int64
}

// Callers are all callers of one client account.
type Callers struct {
	options  Options
	sources  []source
	inFlight chan struct{}
	sent     atomic.Int64
	skipped  atomic.Int64
	requests sync.WaitGroup
}

// New prepares the callers; nothing is sent before Run. Close them when done.
func New(options Options) (*Callers, error) {
	if err := options.complete(); err != nil {
		return nil, err
	}
	c := &Callers{options: options, inFlight: make(chan struct{}, options.MaxInFlight)}
	for _, block := range options.Blocks {
		if err := c.addSources(block); err != nil {
			c.Close()
			return nil, err
		}
	}
	return c, nil
}

func (c *Callers) addSources(block model.CallerBlock) error {
	address := block.Prefix.Addr()
	for range c.options.SourcesPerBlock {
		address = address.Next()
		if !block.Prefix.Contains(address) {
			return errors.Errorf("caller: block %v has fewer than %d addresses", block.Prefix, c.options.SourcesPerBlock)
		}
		o := c.options.Client
		o.Account, o.Nodes, o.LocalAddr = c.options.Account, c.options.Nodes, address
		o.Seed = c.options.Seed + uint64(len(c.sources))
		made, err := client.New(o)
		if err != nil {
			return err
		}
		c.sources = append(c.sources, source{region: block.Region, client: made})
	}
	return nil
}

// Close ends the callers' connections. Call it after Run.
func (c *Callers) Close() {
	for _, s := range c.sources {
		s.client.Close()
	}
}

// Counts returns what was sent so far.
func (c *Callers) Counts() Counts {
	return Counts{Sent: c.sent.Load(), Skipped: c.skipped.Load()}
}

// Run sends until the duration, the number of requests or the context ends,
// then waits for the answers of what was sent. The answers' deadlines bound
// that wait; they are not cut, so that each request has an outcome.
func (c *Callers) Run(ctx context.Context) Counts {
	if c.options.Duration > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.options.Duration)
		defer cancel()
	}
	start := time.Now()
	var loads sync.WaitGroup
	for i := range c.options.Loads {
		random := rand.New(rand.NewPCG(c.options.Seed, uint64(i)))
		loads.Go(func() { c.runLoad(ctx, start, &c.options.Loads[i], random) })
	}
	loads.Wait()
	c.requests.Wait()
	return c.Counts()
}

func (c *Callers) runLoad(ctx context.Context, start time.Time, load *Load, random *rand.Rand) {
	next := arrivals{rate: load.Rate, random: random}
	for {
		due := start.Add(next.after())
		if !wait.For(ctx, time.Until(due)) {
			return
		}
		d := c.draw(load, random, due)
		if !c.begin(ctx, d) {
			return
		}
	}
}

// begin sends a request in the background; false ends the load.
func (c *Callers) begin(ctx context.Context, d draft) bool {
	select {
	case c.inFlight <- struct{}{}:
	default:
		c.skipped.Add(1)
		return true
	}
	n := c.sent.Add(1)
	if c.options.MaxRequests > 0 && n > int64(c.options.MaxRequests) {
		c.sent.Add(-1)
		<-c.inFlight
		return false
	}
	d.number = n
	ctx = context.WithoutCancel(ctx)
	c.requests.Go(func() {
		defer func() { <-c.inFlight }()
		c.send(ctx, d)
	})
	return true
}
