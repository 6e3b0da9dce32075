package operator

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/steering/explain"
)

// Filters shorten lists and change no count, flag or number.
func TestFilters(t *testing.T) {
	report := &explain.Report{
		Account: "a", Frozen: true,
		Flows:  []explain.Flow{{Service: "s", Caller: "x"}, {Service: "s", Caller: "y"}, {Service: "u", Caller: "x"}},
		Limits: []explain.Limit{{Service: "s"}, {Service: "u"}},
	}
	want := &explain.Report{
		Account: "a", Frozen: true,
		Flows:  []explain.Flow{{Service: "s", Caller: "x"}},
		Limits: []explain.Limit{{Service: "s"}},
	}
	if diff := cmp.Diff(want, FlowFilter{Service: "s", Callers: "x"}.Apply(report)); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(report, FlowFilter{}.Apply(report)); diff != "" {
		t.Error(diff)
	}
	status := &wire.Spreading{InForce: 1, Older: 1, Nodes: []wire.NodeState{{VM: "1", State: wire.NodeInForce}, {VM: "2", State: wire.NodeOlder}}}
	missing := WithoutInForce(status)
	if len(missing.Nodes) != 1 || missing.Nodes[0].VM != "2" || missing.InForce != 1 || len(status.Nodes) != 2 {
		t.Errorf("%+v", missing)
	}
}
