package check

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// binFlow counts one service's requests of one caller region in one bin, by
// when they were sent. It keeps slices of time apart, which count alike in the
// shares: a rush in a part of the bin must not weigh the moves there more.
type binFlow struct {
	slices map[int]*slice
}

// slice counts the requests of a short time.
type slice struct {
	offered int
	// placed counts those that ran, by the place where they ran first.
	placed map[model.PlaceName]int
}

func newBinFlow() *binFlow { return &binFlow{slices: make(map[int]*slice)} }

func (b *binFlow) add(at int, first *Ran) {
	s := b.slices[at]
	if s == nil {
		s = &slice{placed: make(map[model.PlaceName]int)}
		b.slices[at] = s
	}
	s.offered++
	if first != nil {
		s.placed[first.Place]++
	}
}

func (b *binFlow) offered() int {
	sum := 0
	for _, s := range b.slices {
		sum += s.offered
	}
	return sum
}

// places lists where requests ran.
func (b *binFlow) places() map[model.PlaceName]bool {
	places := make(map[model.PlaceName]bool)
	for _, s := range b.slices {
		for place := range s.placed {
			places[place] = true
		}
	}
	return places
}

// share is the mean over the slices.
func (b *binFlow) share(p model.PlaceName) float64 {
	sum := 0.0
	for _, s := range b.slices {
		sum += float64(s.placed[p]) / float64(s.offered)
	}
	return sum / float64(max(1, len(b.slices)))
}

// unplaced is the share that ran nowhere.
func (b *binFlow) unplaced() float64 {
	left := 1.0
	for place := range b.places() {
		left -= b.share(place)
	}
	return max(left, 0)
}

// spread is the sum of the squares of what each request adds to a share.
func (b *binFlow) spread() float64 {
	sum := 0.0
	for _, s := range b.slices {
		sum += 1 / float64(s.offered)
	}
	return sum / float64(len(b.slices)*len(b.slices))
}

// bin holds all flows of one caller region.
type bin map[model.ServiceName]*binFlow

func (b bin) offered() int {
	sum := 0
	for _, f := range b {
		sum += f.offered()
	}
	return sum
}

// with returns a bin of the requests of both.
func (b bin) with(c bin) bin {
	joined := make(bin)
	for _, one := range []bin{b, c} {
		for service, f := range one {
			if joined[service] == nil {
				joined[service] = newBinFlow()
			}
			maps.Copy(joined[service].slices, f.slices)
		}
	}
	return joined
}

// String lists the shares of each service by place, and what ran nowhere.
func (b bin) String() string {
	var text strings.Builder
	for _, service := range slices.Sorted(maps.Keys(b)) {
		f := b[service]
		fmt.Fprintf(&text, "[%s: %d requests", service, f.offered())
		for _, place := range slices.Sorted(maps.Keys(f.places())) {
			fmt.Fprintf(&text, ", %s %.3f", place, f.share(place))
		}
		fmt.Fprintf(&text, ", nowhere %.3f]", f.unplaced())
	}
	return text.String()
}

// callerBins are the bins of one caller region in order of time.
type callerBins struct {
	caller model.RegionName
	bins   map[int]bin
}

func binsOf(account *model.Account, requests map[string]*request) []*callerBins {
	width := account.Moves.Window / (binsPerWindow * slicesPerBin)
	byCaller := make(map[model.RegionName]*callerBins)
	for _, q := range requests {
		if len(q.told) == 0 || q.told[0].Account != account.Name {
			continue
		}
		addToBin(byCaller, q, width)
	}
	var all []*callerBins
	for _, c := range byCaller {
		all = append(all, c)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].caller < all[j].caller })
	return all
}

// addToBin counts a request; width is that of a slice.
func addToBin(byCaller map[model.RegionName]*callerBins, q *request, width time.Duration) {
	told := q.told[0]
	c := byCaller[told.Caller]
	if c == nil {
		c = &callerBins{caller: told.Caller, bins: make(map[int]bin)}
		byCaller[told.Caller] = c
	}
	at := int(told.Sent.UnixNano() / int64(width))
	n := at / slicesPerBin
	if c.bins[n] == nil {
		c.bins[n] = make(bin)
	}
	if c.bins[n][told.Service] == nil {
		c.bins[n][told.Service] = newBinFlow()
	}
	c.bins[n][told.Service].add(at, q.first())
}
