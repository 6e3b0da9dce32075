package operator

import (
	"slices"

	"github.com/yuccaroute/yuccaroute/admin/wire"
	"github.com/yuccaroute/yuccaroute/config"
	"github.com/yuccaroute/yuccaroute/steering/explain"
)

// FlowFilter selects flows of an explanation; "" selects all.
type FlowFilter struct {
	Service string
	// Callers is the region of the callers.
	Callers string
}

// Apply returns the explanation of the selected flows.
func (f FlowFilter) Apply(r *explain.Report) *explain.Report {
	selected := *r
	selected.Flows = slices.DeleteFunc(slices.Clone(r.Flows), func(flow explain.Flow) bool {
		return !matches(f.Service, string(flow.Service)) || !matches(f.Callers, string(flow.Caller))
	})
	selected.Limits = slices.DeleteFunc(slices.Clone(r.Limits), func(limit explain.Limit) bool {
		return !matches(f.Service, string(limit.Service))
	})
	return &selected
}

func matches(wanted, name string) bool { return wanted == "" || wanted == name }

// WithoutInForce returns a status that lists only the nodes where the state is
// not known to be in force. The counts stay.
func WithoutInForce(s *wire.Spreading) *wire.Spreading {
	selected := *s
	selected.Nodes = slices.DeleteFunc(slices.Clone(s.Nodes), func(n wire.NodeState) bool {
		return n.State == wire.NodeInForce
	})
	return &selected
}

// ValuesFrom returns the values that came from one origin; "" selects all.
func ValuesFrom(v *wire.Values, origin string) *wire.Values {
	selected := *v
	selected.Values = slices.DeleteFunc(slices.Clone(v.Values), func(p config.Provenance) bool {
		return !matches(origin, string(p.Origin))
	})
	return &selected
}
