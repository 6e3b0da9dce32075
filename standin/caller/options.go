package caller

import (
	"time"

	"github.com/pkg/errors"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/option"
	"github.com/yuccaroute/yuccaroute/bench/check"
	"github.com/yuccaroute/yuccaroute/client"
)

// Defaults of the options.
const (
	DefaultSourcesPerBlock = 2
	DefaultMaxInFlight     = 512
)

// Options describe the callers of one client account.
type Options struct {
	Account model.AccountName
	Loads   []Load
	// Nodes are the entry VMs to ask first, host:port.
	Nodes []string
	// Blocks are where callers come from, each with an equal part of the load;
	// SourcesPerBlock is how many addresses of each are used.
	Blocks          []model.CallerBlock
	SourcesPerBlock int
	// Client is the base of the options of each source's client; account,
	// nodes, source address and seed are filled in.
	Client client.Options
	// MaxInFlight bounds the requests in progress, MaxRequests those sent in
	// all (0: no bound) and Duration the sending (0: until the context ends).
	MaxInFlight int
	MaxRequests int
	Duration    time.Duration
	// Seed fixes the times, kinds, sources and bodies, and Name makes tokens of
	// several runs distinct.
	Seed uint64
	Name string
	// RepeatUnknown lets a caller send a keyed request once more, with the same
	// key and token, when it is not told whether it ran.
	RepeatUnknown bool
	// Told receives what each caller was told. It is called by several
	// goroutines.
	Told func(check.Told)
}

func (o *Options) complete() error {
	if o.Account == "" || len(o.Nodes) == 0 || len(o.Blocks) == 0 || len(o.Loads) == 0 || o.Told == nil {
		return errors.New("caller: account, nodes, blocks, loads and told are required")
	}
	for _, load := range o.Loads {
		if load.Rate == nil || len(load.Kinds) == 0 || load.Deadline <= 0 {
			return errors.Errorf("caller: load of %s needs a rate, kinds and a deadline", load.Service)
		}
	}
	option.Default(&o.SourcesPerBlock, DefaultSourcesPerBlock)
	option.Default(&o.MaxInFlight, DefaultMaxInFlight)
	return nil
}
