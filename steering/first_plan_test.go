package steering

import "testing"

// Without measurements, the first plan keeps callers in their own region, also in a
// region with less capacity. The move cap would let them return only slowly.
func TestFirstPlanStaysNear(t *testing.T) {
	account := newAccount(3, 2, 1)
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
				t.Errorf("callers of %s: %d ppm go to %s in another region", flow.Caller, share.PPM, share.Place)
			}
		}
	}
}
