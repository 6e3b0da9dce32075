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
// when they were sent.
type binFlow struct {
	offered int
	// placed counts those that ran, by the place where they ran first.
	placed map[model.PlaceName]int
}

func (b *binFlow) share(p model.PlaceName) float64 {
	if b.offered == 0 {
		return 0
	}
	return float64(b.placed[p]) / float64(b.offered)
}

// unplaced is the share that ran nowhere.
func (b *binFlow) unplaced() float64 {
	if b.offered == 0 {
		return 0
	}
	left := b.offered
	for _, n := range b.placed {
		left -= n
	}
	return float64(left) / float64(b.offered)
}

// bin holds all flows of one caller region.
type bin map[model.ServiceName]*binFlow

func (b bin) offered() int {
	sum := 0
	for _, f := range b {
		sum += f.offered
	}
	return sum
}

// String lists the shares of each service by place, and what ran nowhere.
func (b bin) String() string {
	var text strings.Builder
	for _, service := range slices.Sorted(maps.Keys(b)) {
		f := b[service]
		fmt.Fprintf(&text, "[%s: %d requests", service, f.offered)
		for _, place := range slices.Sorted(maps.Keys(f.placed)) {
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
	width := account.Moves.Window / binsPerWindow
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

func addToBin(byCaller map[model.RegionName]*callerBins, q *request, width time.Duration) {
	told := q.told[0]
	c := byCaller[told.Caller]
	if c == nil {
		c = &callerBins{caller: told.Caller, bins: make(map[int]bin)}
		byCaller[told.Caller] = c
	}
	n := int(told.Sent.UnixNano() / int64(width))
	if c.bins[n] == nil {
		c.bins[n] = make(bin)
	}
	f := c.bins[n][told.Service]
	if f == nil {
		f = &binFlow{placed: make(map[model.PlaceName]int)}
		c.bins[n][told.Service] = f
	}
	f.offered++
	if first := q.first(); first != nil {
		f.placed[first.Place]++
	}
}
