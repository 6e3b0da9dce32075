package source_test

import (
	"context"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/config/examples"
	"github.com/yuccaroute/yuccaroute/config/source"
	"github.com/yuccaroute/yuccaroute/store/memkv"
)

// A change of a template must be emitted as one document. The accounts of one
// that lists caller blocks come merged: their documents do not name the blocks.
func TestItemsOfATemplateChange(t *testing.T) {
	plain := string(examples.Text("dealer"))
	documents := []string{"cut/dealer", "head/dealer", "template/dealer"}
	merged := []string{"account/daehan", "cut/dealer", "head/dealer"}
	for what, c := range map[string]struct {
		form     source.Form
		template string
		want     []string
	}{
		"documents": {source.Documents, plain, documents},
		"accounts":  {source.Accounts, plain, []string{"account/daehan", "head/dealer"}},
		"both":      {source.Both, plain, slices.Concat([]string{"account/daehan"}, documents)},
		"callers":   {source.Documents, plain + "\n[callers kr-seoul]\nblocks = 10.77.0.0/16\n", merged},
	} {
		t.Run(what, func(t *testing.T) {
			kv := memkv.New(memkv.Options{})
			log := changelog.New(kv, changelog.Options{})
			apply(t, log, change("add-template", changelog.KindTemplate, "dealer", []byte(c.template)))
			apply(t, log, change("add-account", changelog.KindAccount, "daehan", examples.Text("daehan")))
			apply(t, log, change("edit-template", changelog.KindTemplate, "dealer", []byte(c.template+"\n")))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var keys []string
			_ = source.NewIn(c.form, kv, log, quiet()).Run(ctx, func(key string, _, sequence uint64, body []byte) {
				if sequence == 3 {
					keys = append(keys, key)
				}
				if strings.HasPrefix(key, source.HeadKeyPrefix) {
					cancel()
				}
			})
			slices.Sort(keys)
			if diff := cmp.Diff(c.want, keys); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// Two histories of a store that went back have documents of one name and version.
// A node that holds one of each must not take them for a cut.
func TestSumsDiffer(t *testing.T) {
	sums := map[uint64]bool{}
	for _, name := range []string{"a", "b"} {
		for _, sequence := range []uint64{1, 2} {
			for _, hash := range []uint64{0, 1, 2} {
				sums[source.DocumentSum(name, sequence, hash)] = true
			}
		}
	}
	if len(sums) != 12 {
		t.Errorf("%d sums of 12 documents", len(sums))
	}
}
