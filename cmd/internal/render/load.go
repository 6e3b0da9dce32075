package render

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"

	"github.com/yuccaroute/yuccaroute/edge/loadview"
	"github.com/yuccaroute/yuccaroute/edge/refusals"
	"github.com/yuccaroute/yuccaroute/edge/whatif"
)

// Load writes what an entry VM knows of the load.
func (p *Printer) Load(v *loadview.View) error {
	return p.print(v, func() {
		p.linef("VM %s in %s; oldest report of another VM: %d ms", v.VM, v.Region, v.ReportAgeMS)
		p.linef("\nDemand by regions that it may use")
		p.demand(v)
		p.linef("\nRegions")
		p.regions(v)
		p.linef("\nWeights: where this VM's callers run")
		p.weights(v)
		p.linef("\nRequests that this VM refused in the last minute")
		p.refused(v)
		p.linef("\nRefusals by service and region, and the most requests that this VM started there meanwhile, in %d s", refusals.StartSeconds)
		p.refusedPlaces(v)
	})
}

func (p *Printer) demand(v *loadview.View) {
	demand := p.table("service", "callers in", "may run in", "slots")
	for _, s := range v.Services {
		for _, d := range s.Demand {
			demand.AppendRow(table.Row{s.Service, d.CallersRegion, regionsText(d.AllowedRegions, v.Regions), slotsText(d.DemandSlots)})
		}
	}
	demand.Render()
}

func (p *Printer) regions(v *loadview.View) {
	regions := p.table("service", "region", "capacity slots", "in flight", "of this VM", "keys served", "decided by", "pending", "promised", "kept", "lapsed")
	for _, s := range v.Services {
		for _, r := range s.Regions {
			row := table.Row{s.Service, r.Region, slotsText(r.CapacitySlots), r.InFlight, r.InFlightOfVM}
			regions.AppendRow(append(append(row, workingSetCells(r.WorkingSet)...), returnsCells(r.Returns)...))
		}
	}
	regions.Render()
}

func (p *Printer) weights(v *loadview.View) {
	weights := p.table("service", "may run in", "weights", "planned")
	for _, s := range v.Services {
		for _, w := range s.Weights {
			weights.AppendRow(table.Row{s.Service, regionsText(w.AllowedRegions, v.Regions), fractionsText(w.Weights), fractionsText(w.Planned)})
		}
	}
	weights.Render()
}

func (p *Printer) refused(v *loadview.View) {
	refused := p.table("account", "reason", "refused", "since")
	for _, a := range v.Accounts {
		for _, r := range a.Reasons {
			refused.AppendRow(table.Row{orNone(a.Account), r.Reason, r.Refused, (time.Duration(r.SinceS) * time.Second).String()})
		}
	}
	refused.Render()
}

func (p *Printer) refusedPlaces(v *loadview.View) {
	refused := p.table("service", "region", "account", "reason", "refused", "since", "started meanwhile")
	for _, place := range v.Refused {
		for i, r := range place.Reasons {
			started := ""
			if i == 0 {
				started = startedText(place.Started)
			}
			refused.AppendRow(table.Row{
				place.Service, orNone(place.Region), orNone(place.Account), r.Reason, r.Refused, (time.Duration(r.SinceS) * time.Second).String(), started,
			})
		}
	}
	refused.Render()
}

func startedText(started []refusals.Started) string {
	var parts []string
	for _, s := range started {
		parts = append(parts, fmt.Sprintf("rank %d %s: %d", s.Rank, orNone(s.Account), s.Started))
	}
	return strings.Join(parts, ", ")
}

// WhatIf writes what a change would do.
func (p *Printer) WhatIf(r *whatif.Result) error {
	return p.print(r, func() {
		t := p.table("service", "region", "capacity before", "after", "load before", "after", "utilization before", "after")
		for _, x := range r.Regions {
			t.AppendRow(table.Row{
				x.Service, x.Region, slotsText(x.Before.CapacitySlots), slotsText(x.After.CapacitySlots),
				slotsText(x.Before.LoadSlots), slotsText(x.After.LoadSlots), utilizationText(x.Before), utilizationText(x.After),
			})
		}
		t.Render()
		if len(r.WithoutRoom) == 0 {
			p.linef("\nAll demand has room, before and after.")
			return
		}
		p.linef("\nDemand that no region has room for, in slots")
		short := p.table("service", "callers in", "may run in", "demand", "without room before", "after")
		for _, x := range r.WithoutRoom {
			short.AppendRow(table.Row{x.Service, x.CallersRegion, strings.Join(x.AllowedRegions, ","), slotsText(x.DemandSlots), slotsText(x.BeforeSlots), slotsText(x.AfterSlots)})
		}
		short.Render()
	})
}

func slotsText(slots float64) string { return fmt.Sprintf("%.1f", slots) }

func utilizationText(l whatif.Load) string {
	if l.Utilization == nil {
		return "-"
	}
	return fmt.Sprintf("%.0f %%", 100**l.Utilization)
}

func regionsText(names, all []string) string {
	if len(names) == len(all) {
		return "all"
	}
	return strings.Join(names, ",")
}

func fractionsText(fractions map[string]float64) string {
	var parts []string
	for _, region := range slices.Sorted(maps.Keys(fractions)) {
		parts = append(parts, fmt.Sprintf("%s %.2f", region, fractions[region]))
	}
	return strings.Join(parts, ", ")
}

// workingSetCells returns the fractions of the keys, each with the first rank that it applies to, and the
// deciding VM.
func workingSetCells(w *loadview.WorkingSet) table.Row {
	if w == nil {
		return table.Row{"all", ""}
	}
	var parts []string
	for rank, fraction := range w.FractionByRank {
		if rank == 0 || fraction != w.FractionByRank[rank-1] {
			parts = append(parts, fmt.Sprintf("from rank %d: %.2f", rank, fraction))
		}
	}
	if len(parts) == 1 && w.FractionByRank[0] >= 1 {
		return table.Row{"all", w.DecidingVM}
	}
	return table.Row{strings.Join(parts, ", "), w.DecidingVM}
}

func returnsCells(r *loadview.Returns) table.Row {
	if r == nil {
		return table.Row{"", "", "", ""}
	}
	return table.Row{r.Pending, r.Promised, r.Kept, r.Lapsed}
}
