package steering

import "testing"

// Story: an account is new and one of its regions is half as large as the
// others. Dealers there see answers from far away for minutes although their
// own region is idle. Nothing was measured yet; the first plan took an even part
// of all capacity for each flow's demand, found the small region full, and the
// move cap lets callers return only slowly.
func TestFirstPlanStaysNear(t *testing.T) {
	account := accountOf(3, 2, 1)
	small := account.Places[0].Region
	for i := range account.Services[0].Capacity {
		c := &account.Services[0].Capacity[i]
		if account.RegionOf(c.Place) == small {
			c.RPS /= 2
		}
	}
	d := Decide(Input{Account: account})
	for _, flow := range d.Plan.Flows {
		for _, share := range flow.Shares {
			if account.RegionOf(share.Place) != flow.Caller {
				t.Errorf("%s: %d ppm go to %s", flow.Caller, share.PPM, share.Place)
			}
		}
	}
}
