package node

import (
	"testing"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/config/source"
	"github.com/yuccaroute/yuccaroute/node/merge"
	"github.com/yuccaroute/yuccaroute/spread/item"
)

// An account that was merged before an upgrade must not replace a newer state of documents, but must
// be used while watchers of the release before still run.
func TestOvertakenByDocuments(t *testing.T) {
	cut := func(sequence uint64, merged bool) item.Item {
		return item.New(source.CutKey("dealer"), 2, sequence, source.Cut{Merged: merged}.Encode())
	}
	for what, c := range map[string]struct {
		cut  item.Item
		want bool
	}{
		"none":                        {item.New("cut/other", 2, 9, source.Cut{Merged: true}.Encode()), false},
		"older":                       {cut(6, true), false},
		"of the same version":         {cut(7, true), true},
		"newer":                       {cut(8, true), true},
		"newer, not in documents":     {cut(8, false), false},
		"newer, of a release unknown": {item.New(source.CutKey("dealer"), 2, 8, []byte("later")), false},
	} {
		table := item.NewTable()
		table.Apply(c.cut)
		state := merge.State{Version: changelog.Version{Epoch: 2, Sequence: 7}}
		if got := overtaken(table.Snapshot(), &model.Account{Template: "dealer"}, state); got != c.want {
			t.Errorf("a cut that is %s: overtaken %v", what, got)
		}
	}
}
