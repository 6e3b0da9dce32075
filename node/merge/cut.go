package merge

import (
	"strings"

	"github.com/yuccaroute/yuccaroute/config"
	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/config/source"
	"github.com/yuccaroute/yuccaroute/spread/item"
)

// cut is a template with all its accounts as they were accepted together.
type cut struct {
	items   *item.Snapshot
	item    item.Item
	version changelog.Version
	head    source.Cut
	// documents holds those of the accounts, sorted by name, tombstones too.
	documents []document
	// parsed and unreadable are what reading the template gave.
	parsed     *config.Template
	unreadable error
}

// document is the item of an account's document.
type document struct {
	account string
	item    item.Item
	hash    uint64
}

// cutOf returns the newest cut of a template if the snapshot holds all of it, and
// nothing newer.
//
// Guard against a mixture that nobody accepted. Items arrive one by one: a new
// template is there before an account's change that it was checked with, or an
// account's change before its template. Both are valid alone and can be invalid
// together, or wrong without being invalid. The sum over names, sequences and
// hashes of texts is that of the head which the watcher read in one piece, so
// documents that give the same sum are that head's.
//
// Documents of an older epoch are left out on both sides: the cut's head has all
// its documents under its own epoch, and what an adopted store lost stays as it
// is.
func cutOf(items *item.Snapshot, template string) (*cut, bool) {
	it, ok := items.Get(source.CutKey(template))
	if !ok || it.Deleted {
		return nil, false
	}
	head, err := source.DecodeCut(it.Body)
	if err != nil || !head.Merged {
		return nil, false
	}
	c := &cut{items: items, item: it, version: versionOf(it), head: head}
	if !c.holdsTemplate(template) {
		return nil, false
	}
	return c, c.takeDocuments(template)
}

func versionOf(it item.Item) changelog.Version {
	return changelog.Version{Epoch: it.Epoch, Sequence: it.Sequence}
}

// holdsTemplate reports whether the template's document is the cut's. A template
// that was deleted has none, and no accounts.
func (c *cut) holdsTemplate(template string) bool {
	if c.head.TemplateSequence == 0 {
		return true
	}
	it, ok := c.items.Get(source.TemplateKey(template))
	if !ok || it.Deleted {
		return false
	}
	hash, err := config.DocumentHash(it.Body)
	return err == nil && hash == c.head.TemplateHash
}

// takeDocuments reports whether the accounts' documents are the cut's.
func (c *cut) takeDocuments(template string) bool {
	prefix := source.DocumentsOf(template)
	sum := uint64(0)
	for _, it := range c.items.Prefix(prefix) {
		if it.Epoch != c.version.Epoch {
			continue
		}
		d := document{account: strings.TrimPrefix(it.Key, prefix), item: it}
		if !it.Deleted {
			hash, err := config.DocumentHash(it.Body)
			if err != nil {
				return false
			}
			d.hash = hash
		}
		sum += source.DocumentSum(d.account, it.Sequence, d.hash)
		c.documents = append(c.documents, d)
	}
	return sum == c.head.Documents
}

// state is the state that the cut gives an account.
func (c *cut) state(d *document) State {
	if d.item.Deleted {
		return State{Version: versionOf(d.item), Cut: true}
	}
	sequence := max(d.item.Sequence, c.head.TemplateSequence)
	return State{
		Version:  changelog.Version{Epoch: c.version.Epoch, Sequence: sequence},
		Cut:      true,
		Template: c.head.TemplateHash,
		Document: d.hash,
	}
}
