package spread

import (
	"maps"
	"slices"

	"github.com/yuccaroute/yuccaroute/api/content"
	"github.com/yuccaroute/yuccaroute/spread/item"
)

// contents tracks references from items to content. The hub's lock guards it.
//
// An item that references missing content stays pending and the previous state
// stays in the table, so the table never exposes an item without its content.
type contents struct {
	contentNames func(key string, body []byte) []content.Name
	// refCounts counts the items in the table that reference each content key.
	refCounts map[string]int
	// pending holds, for each key, at most maxPendingPerKey states with missing
	// content, latest last. Earlier states are kept because the content of a
	// later one may never arrive.
	pending map[string][]*pendingItem
}

// maxPendingPerKey bounds the pending states of one key.
const maxPendingPerKey = 4

// pendingItem is a state with missing content.
type pendingItem struct {
	item        item.Item
	contentKeys []string
	// received holds content for this state that is not in the table yet.
	received map[string]item.Item
}

func newContents(contentNames func(string, []byte) []content.Name) *contents {
	return &contents{contentNames: contentNames, refCounts: map[string]int{}, pending: map[string][]*pendingItem{}}
}

// contentKeys returns the sorted keys of the content that a state references.
func (c *contents) contentKeys(it item.Item) []string {
	if it.Deleted || content.IsKey(it.Key) {
		return nil
	}
	names := c.contentNames(it.Key, it.Body)
	keys := make([]string, 0, len(names))
	for _, name := range names {
		keys = append(keys, name.Key())
	}
	slices.Sort(keys)
	return slices.Compact(keys)
}

// addPending adds a pending state and reuses content received for other states
// of the key.
func (c *contents) addPending(it item.Item, contentKeys []string) *pendingItem {
	p := &pendingItem{item: it, contentKeys: contentKeys, received: map[string]item.Item{}}
	states := c.pending[it.Key]
	for _, other := range states {
		if other.item.Sum == it.Sum {
			return other
		}
		for key, held := range other.received {
			if p.needsKey(key) {
				p.received[key] = held
			}
		}
	}
	states = append(states, p)
	slices.SortFunc(states, func(a, b *pendingItem) int {
		if a.item.NewerThan(b.item) {
			return 1
		}
		return -1
	})
	if len(states) > maxPendingPerKey {
		states = slices.Clone(states[1:])
	}
	c.pending[it.Key] = states
	return p
}

// removeUpTo removes the pending states of a key up to and including the given
// version.
func (c *contents) removeUpTo(it item.Item) {
	later := slices.DeleteFunc(c.pending[it.Key], func(p *pendingItem) bool { return !p.item.NewerThan(it) })
	if len(later) == 0 {
		delete(c.pending, it.Key)
		return
	}
	c.pending[it.Key] = later
}

// addContent adds content to the pending states that reference it and returns
// those states, latest last for each key.
func (c *contents) addContent(it item.Item) []*pendingItem {
	var updated []*pendingItem
	for _, key := range slices.Sorted(maps.Keys(c.pending)) {
		for _, p := range c.pending[key] {
			if p.needsKey(it.Key) {
				p.received[it.Key] = it
				updated = append(updated, p)
			}
		}
	}
	return updated
}

func (p *pendingItem) needsKey(key string) bool {
	_, needed := slices.BinarySearch(p.contentKeys, key)
	return needed
}

// complete reports whether all referenced content is available.
func (p *pendingItem) complete(table *item.Snapshot) bool {
	for _, key := range p.contentKeys {
		if _, ok := p.received[key]; ok {
			continue
		}
		if _, ok := table.Get(key); !ok {
			return false
		}
	}
	return true
}

// updateReferences replaces the references of one state by those of another and
// returns the keys that are no longer referenced.
func (c *contents) updateReferences(before, after []string) (unreferenced []string) {
	for _, key := range after {
		c.refCounts[key]++
	}
	for _, key := range before {
		c.refCounts[key]--
		if c.refCounts[key] == 0 {
			delete(c.refCounts, key)
			unreferenced = append(unreferenced, key)
		}
	}
	return unreferenced
}

// receivedIn returns received content of one bucket that is not in the table
// yet.
func (c *contents) receivedIn(bucket int) []item.Item {
	seen := map[string]bool{}
	var out []item.Item
	for _, states := range c.pending {
		for _, p := range states {
			for key, it := range p.received {
				if item.BucketOf(key) == bucket && !seen[key] {
					seen[key] = true
					out = append(out, it)
				}
			}
		}
	}
	return out
}

// contentLast sorts content after the items that reference it, because a
// receiver refuses unreferenced content.
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
