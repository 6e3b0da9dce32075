package spread

import (
	"maps"
	"slices"

	"github.com/yuccaroute/yuccaroute/api/content"
	"github.com/yuccaroute/yuccaroute/spread/item"
)

// contents keeps items together with the content that they name. The hub's lock
// guards it.
//
// An item that names content which is not there is kept aside, and the state
// before stays in the table. So the table never shows a new account with old
// blocks or without any, and a node that serves an item can serve its content.
type contents struct {
	names func(key string, body []byte) []content.Name
	// named counts the items in the table that name a content's key.
	named map[string]int
	// waiting holds, for each key, the states that lack content, at most
	// maxWaiting, the latest last. An earlier one is not given up for a later
	// one: the content of the later one may be lost together with those who had
	// it, and the earlier one is better than what is in the table.
	waiting map[string][]*waitingItem
}

// maxWaiting bounds the states of one key that wait.
const maxWaiting = 4

// waitingItem is a state that lacks content.
type waitingItem struct {
	item  item.Item
	needs []string
	// arrived holds the content that came for this state and is not in the table.
	arrived map[string]item.Item
}

func newContents(names func(string, []byte) []content.Name) *contents {
	return &contents{names: names, named: map[string]int{}, waiting: map[string][]*waitingItem{}}
}

// needs returns the keys of the content that a state names.
func (c *contents) needs(it item.Item) []string {
	if it.Deleted || content.IsKey(it.Key) {
		return nil
	}
	names := c.names(it.Key, it.Body)
	keys := make([]string, 0, len(names))
	for _, name := range names {
		keys = append(keys, name.Key())
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}

// wait keeps a state aside, with what arrived for other states of the key.
func (c *contents) wait(it item.Item, needs []string) *waitingItem {
	w := &waitingItem{item: it, needs: needs, arrived: map[string]item.Item{}}
	states := c.waiting[it.Key]
	for _, other := range states {
		if other.item.Sum == it.Sum {
			return other
		}
		for key, held := range other.arrived {
			if w.needsKey(key) {
				w.arrived[key] = held
			}
		}
	}
	states = append(states, w)
	slices.SortFunc(states, func(a, b *waitingItem) int {
		if a.item.NewerThan(b.item) {
			return 1
		}
		return -1
	})
	if len(states) > maxWaiting {
		states = slices.Clone(states[1:])
	}
	c.waiting[it.Key] = states
	return w
}

// settle ends the waiting of a state and of all before it.
func (c *contents) settle(it item.Item) {
	later := slices.DeleteFunc(c.waiting[it.Key], func(w *waitingItem) bool { return !w.item.NewerThan(it) })
	if len(later) == 0 {
		delete(c.waiting, it.Key)
		return
	}
	c.waiting[it.Key] = later
}

// arrive gives content to the states that wait for it and returns those, of one
// key the latest last.
func (c *contents) arrive(it item.Item) []*waitingItem {
	var given []*waitingItem
	for _, key := range slices.Sorted(maps.Keys(c.waiting)) {
		for _, w := range c.waiting[key] {
			if w.needsKey(it.Key) {
				w.arrived[it.Key] = it
				given = append(given, w)
			}
		}
	}
	return given
}

func (w *waitingItem) needsKey(key string) bool {
	_, needed := slices.BinarySearch(w.needs, key)
	return needed
}

// complete reports whether all that a state names is there.
func (w *waitingItem) complete(table *item.Snapshot) bool {
	for _, key := range w.needs {
		if _, ok := w.arrived[key]; ok {
			continue
		}
		if _, ok := table.Get(key); !ok {
			return false
		}
	}
	return true
}

// replace counts the names of a state in place of those of the one before, and
// returns the content that nothing names any more.
func (c *contents) replace(before, after []string) (unnamed []string) {
	for _, key := range after {
		c.named[key]++
	}
	for _, key := range before {
		c.named[key]--
		if c.named[key] == 0 {
			delete(c.named, key)
			unnamed = append(unnamed, key)
		}
	}
	return unnamed
}

// arrivedIn returns the content of one bucket that is here but not in the table yet.
func (c *contents) arrivedIn(bucket int) []item.Item {
	seen := map[string]bool{}
	var out []item.Item
	for _, states := range c.waiting {
		for _, w := range states {
			for key, it := range w.arrived {
				if item.BucketOf(key) == bucket && !seen[key] {
					seen[key] = true
					out = append(out, it)
				}
			}
		}
	}
	return out
}

// contentLast puts content behind the items that name it: a receiver takes
// content only when it knows what for.
func contentLast(items []item.Item) []item.Item {
	slices.SortStableFunc(items, func(a, b item.Item) int {
		return rank(a) - rank(b)
	})
	return items
}

func rank(it item.Item) int {
	if content.IsKey(it.Key) {
		return 1
	}
	return 0
}
