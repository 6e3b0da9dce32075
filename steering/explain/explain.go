// Package explain renders a decision for operators: the shares of each flow and the
// reasons for each share.
package explain

import (
	"fmt"
	"strings"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/plan"
	"github.com/yuccaroute/yuccaroute/steering"
)

// Report explains one decision of one account.
type Report struct {
	Account        model.AccountName `json:"account"`
	ConfigRevision uint64            `json:"config_revision"`
	// Frozen reports that the measurements are too old for any increase.
	Frozen bool   `json:"frozen"`
	Flows  []Flow `json:"flows"`
	// Limits lists the desired and the usable rate of each service in each place.
	Limits []Limit `json:"limits"`
}

// Flow explains the traffic of one service from callers of one region.
type Flow struct {
	Service model.ServiceName `json:"service"`
	Caller  model.RegionName  `json:"caller"`
	Shares  []Share           `json:"shares"`
	// Notes concern the whole flow, or places that have no share.
	Notes []Line `json:"notes,omitempty"`
}

// Share explains the share of one place in a flow.
type Share struct {
	Place   model.PlaceName `json:"place"`
	Percent float64         `json:"percent"`
	Reasons []Line          `json:"reasons"`
}

// Line is one reason with its values and its text.
type Line struct {
	// Kind is the name of the steering.Kind.
	Kind  string          `json:"kind"`
	Place model.PlaceName `json:"place,omitempty"`
	Value float64         `json:"value"`
	Limit float64         `json:"limit"`
	// WaitMS is the remaining time in ms, for the kinds that have one.
	WaitMS int64  `json:"wait_ms,omitempty"`
	Text   string `json:"text"`
}

// Limit holds the desired and the usable rate of a service in a place.
type Limit struct {
	Service    model.ServiceName `json:"service"`
	Place      model.PlaceName   `json:"place"`
	DesiredRPS float64           `json:"desired_rps"`
	UsableRPS  float64           `json:"usable_rps"`
}

// NewReport returns the explanation of a decision.
func NewReport(d *steering.Decision) *Report {
	r := &Report{Account: d.Plan.Account, ConfigRevision: d.Plan.ConfigRevision, Frozen: d.Frozen}
	for i := range d.Plan.Flows {
		r.Flows = append(r.Flows, flowOf(d, &d.Plan.Flows[i]))
	}
	for _, l := range d.Limits {
		r.Limits = append(r.Limits, Limit(l))
	}
	return r
}

func flowOf(d *steering.Decision, f *plan.Flow) Flow {
	flow := Flow{Service: f.Service, Caller: f.Caller}
	index := make(map[model.PlaceName]int, len(f.Shares))
	for _, s := range f.Shares {
		index[s.Place] = len(flow.Shares)
		flow.Shares = append(flow.Shares, Share{Place: s.Place, Percent: percentOf(s.PPM)})
	}
	for i := range d.Reasons {
		reason := &d.Reasons[i]
		if reason.Service != f.Service || reason.Caller != f.Caller {
			continue
		}
		if j, ok := index[reason.Place]; ok {
			flow.Shares[j].Reasons = append(flow.Shares[j].Reasons, lineOf(reason))
			continue
		}
		flow.Notes = append(flow.Notes, lineOf(reason))
	}
	return flow
}

func percentOf(ppm uint32) float64 { return float64(ppm) * 100 / plan.Whole }

func lineOf(r *steering.Reason) Line {
	return Line{
		Kind:   r.Kind.String(),
		Place:  r.Place,
		Value:  r.Value,
		Limit:  r.Limit,
		WaitMS: r.Wait.Milliseconds(),
		Text:   textOf(r),
	}
}

// String returns the report as lines of text.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "account %s at configuration revision %d\n", r.Account, r.ConfigRevision)
	if r.Frozen {
		b.WriteString("frozen: the measurements are too old, no share is increased\n")
	}
	for i := range r.Flows {
		r.Flows[i].write(&b)
	}
	return b.String()
}

func (f *Flow) write(b *strings.Builder) {
	fmt.Fprintf(b, "%s from %s\n", f.Service, f.Caller)
	for _, s := range f.Shares {
		fmt.Fprintf(b, "  %6.2f %%  %s\n", s.Percent, s.Place)
		for _, l := range s.Reasons {
			fmt.Fprintf(b, "             %s\n", l.Text)
		}
	}
	for _, l := range f.Notes {
		fmt.Fprintf(b, "  note: %s\n", l.Text)
	}
}
