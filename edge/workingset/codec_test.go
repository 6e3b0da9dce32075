package workingset

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"
)

// What VMs tell must arrive as it was sent, but for the units of messages.
func TestMessagesArriveAsSent(t *testing.T) {
	approximately := cmpopts.EquateApprox(0, 0.01)
	loads := []RankLoad{
		{Scope: ScopeOf("s", "a"), Rank: 0, Load: Load{Arrivals: 123.45, Answered: 0.5, Busy: 3 * time.Second, Shortest: 450 * time.Millisecond, InFlight: 7}},
		{Scope: ScopeOf("s", "b"), Rank: Ranks - 1, Load: Load{Arrivals: 4000}},
	}
	got, err := DecodeLoads(EncodeLoads(loads))
	if diff := cmp.Diff(loads, got, approximately); err != nil || diff != "" {
		t.Errorf("%v, %s", err, diff)
	}
	f := AllAdmitted()
	f[3], f[Ranks-1] = 0.25, minFraction
	sent := Message{Region: "a", Decider: "vm-1", Number: 77, Start: 0.75, Scopes: map[ScopeID]Fractions{ScopeOf("s", "a"): f}}
	received, err := DecodeMessage(sent.Encode())
	if diff := cmp.Diff(sent, received, approximately); err != nil || diff != "" {
		t.Errorf("%v, %s", err, diff)
	}
}

// Damaged messages must give an error or plausible values, and must not panic.
func TestDamagedMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "data")
		loads, err := DecodeLoads(data)
		for _, l := range loads {
			if err != nil || l.Rank >= Ranks || l.Arrivals < 0 || l.Arrivals > maxRate || l.Busy < 0 {
				t.Errorf("%v, %+v", err, l)
			}
		}
		m, err := DecodeMessage(data)
		for _, f := range m.Scopes {
			if err != nil || f.Lowest() <= 0 {
				t.Errorf("%v, %+v", err, f)
			}
		}
	})
}
