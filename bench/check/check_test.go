package check

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
)

var start = time.Date(2026, 5, 1, 4, 0, 0, 0, time.UTC)

const (
	rps      = 200
	seconds  = 40
	requests = rps * seconds
)

func testAccount() *model.Account {
	return &model.Account{
		Name:    "alpenvlies",
		Regions: []model.Region{{Name: "tirol", CapacityRPS: rps, LinkInRPS: rps}, {Name: "salzburg", CapacityRPS: rps, LinkInRPS: rps}},
		Places:  []model.Place{{Name: "tirol-a", Region: "tirol"}, {Name: "salzburg-a", Region: "salzburg"}},
		Services: []model.Service{{
			Name:     "termindienst",
			Capacity: []model.PlaceCapacity{{Place: "tirol-a", RPS: rps}, {Place: "salzburg-a", RPS: rps}},
		}},
		Moves: model.MoveLimits{Share: 0.1, Window: 8 * time.Second},
	}
}

// keptRun is a run in which every promise is kept: half of the work in each
// place, through an entry VM in tirol.
func keptRun() Input {
	in := Input{
		Accounts:     []*model.Account{testAccount()},
		EntryRegions: map[string]model.RegionName{"entry-1": "tirol"},
		LostLedgers:  map[string]bool{},
	}
	random := rand.New(rand.NewPCG(1, 2))
	for i := range requests {
		at := start.Add(time.Duration(i) * time.Second / rps)
		target := []string{"t1", "s1"}[random.IntN(2)]
		place := map[string]model.PlaceName{"t1": "tirol-a", "s1": "salzburg-a"}[target]
		token := fmt.Sprintf("k%d", i)
		in.Told = append(in.Told, Told{
			Token: token, AnswerToken: token, Account: "alpenvlies", Service: "termindienst", Caller: "tirol",
			Outcome: result.Ran, Whole: true, Intended: at, Sent: at, Done: at.Add(time.Millisecond),
			Entry: "entry-1", Place: place, Target: target, Attempts: 1,
		})
		in.Ran = append(in.Ran, Ran{Token: token, Target: target, Account: "alpenvlies", Service: "termindienst", Place: place, At: at})
	}
	return in
}

func sendTo(in *Input, from, to int, target string, place model.PlaceName) {
	for i := from; i < to; i++ {
		in.Ran[i].Target, in.Ran[i].Place = target, place
		in.Told[i].Target, in.Told[i].Place = target, place
	}
}

// moveInEachWindow moves a share from one place to the other in each window.
func moveInEachWindow(in *Input, share float64) {
	sendTo(in, 0, len(in.Ran), "t1", "tirol-a")
	for i := range in.Ran {
		moved := share * float64(i) / rps / 8
		if math.Mod(float64(i)*math.Phi, 1) < moved {
			sendTo(in, i, i+1, "s1", "salzburg-a")
		}
	}
}

func TestKeptRunHasNoViolation(t *testing.T) {
	r := Check(keptRun())
	if r.Violations() != 0 {
		t.Errorf("violations in a run that keeps every promise:\n%s", r)
	}
	for _, p := range []Promise{RanTwice, RanNowhere, ForeignAnswer, PartialAnswer, ServiceOver, RegionOver, LinkOver, MovedOver} {
		if r.Counts[p].Checked == 0 {
			t.Errorf("%v was not checked at all", p)
		}
	}
}

// Each case breaks one promise in an otherwise kept run. A checker that does
// not see it would also call a broken system sound.
func TestPlantedViolationIsCounted(t *testing.T) {
	cases := []struct {
		name  string
		plant func(*Input)
		want  Promise
		count int
	}{
		{"order in two ledgers", func(in *Input) {
			again := in.Ran[9]
			again.Target = "t2"
			in.Ran = append(in.Ran, again)
		}, RanTwice, 1},
		{"order twice in one ledger", func(in *Input) { in.Ran[9].Count = 2 }, RanTwice, 1},
		{"refused, and ran", func(in *Input) { in.Told[9].Outcome = result.NotRun }, NotRunButRan, 1},
		{"confirmed, never ran", func(in *Input) { in.Ran = append(in.Ran[:9], in.Ran[10:]...) }, RanNowhere, 1},
		{"ran, nobody sent it", func(in *Input) { in.Told = append(in.Told[:9], in.Told[10:]...) }, NeverSent, 1},
		{"two answers swapped", func(in *Input) { in.Told[9].AnswerToken, in.Told[10].AnswerToken = "k10", "k9" }, ForeignAnswer, 2},
		{"half an answer", func(in *Input) { in.Told[9].Whole = false }, PartialAnswer, 1},
		{"answer without a token", func(in *Input) { in.Told[9].AnswerToken = "" }, PartialAnswer, 1},
		{"service over", func(in *Input) {
			in.Accounts[0].Services[0].Capacity[1].RPS = 1
			sendTo(in, 0, len(in.Ran), "t1", "tirol-a")
			sendTo(in, 9, 12, "s1", "salzburg-a")
		}, ServiceOver, 2},
		{"region over", func(in *Input) {
			in.Accounts[0].Regions[1].CapacityRPS = 2
			sendTo(in, 0, len(in.Ran), "t1", "tirol-a")
			sendTo(in, 9, 12, "s1", "salzburg-a")
		}, RegionOver, 1},
		{"link over", func(in *Input) {
			in.Accounts[0].Regions[1].LinkInRPS = 2
			sendTo(in, 0, len(in.Ran), "t1", "tirol-a")
			sendTo(in, 9, 12, "s1", "salzburg-a")
		}, LinkOver, 1},
		{"all traffic moves at once", func(in *Input) {
			sendTo(in, 0, requests/2, "t1", "tirol-a")
			sendTo(in, requests/2, requests, "s1", "salzburg-a")
		}, MovedOver, 15},
		{"0.23 moves in each window", func(in *Input) { moveInEachWindow(in, 0.23) }, MovedOver, 15},
		{"0.15 moves in each window", func(in *Input) { moveInEachWindow(in, 0.15) }, MovedOver, 4},
		{"moved away slowly, refused, and back at once", func(in *Input) {
			in.Accounts[0].Moves.Window = 4 * time.Second
			sendTo(in, 0, len(in.Ran), "t1", "tirol-a")
			for i := range in.Ran {
				at, drawn := float64(i)/rps, math.Mod(float64(i)*math.Phi, 1)
				switch {
				case drawn < max(0.8-0.1*at/4, 0.1), at >= 35 && drawn < 0.8:
					sendTo(in, i, i+1, "s1", "salzburg-a")
				case at >= 28 && drawn < 0.8:
					in.Told[i].Outcome, in.Ran[i].Count = result.NotRun, -1
				}
			}
			in.Ran = slices.DeleteFunc(in.Ran, func(ran Ran) bool { return ran.Count < 0 })
		}, MovedOver, 7},
		{"work six seconds after leaving", func(in *Input) {
			sendTo(in, 0, requests, "t1", "tirol-a")
			sendTo(in, 10, 11, "s1", "salzburg-a")
			in.Leaving = []Leaving{{Target: "s1", At: in.Ran[10].At.Add(-6 * time.Second)}}
		}, WorkAfterLeaving, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			in := keptRun()
			c.plant(&in)
			r := Check(in)
			if r.Counts[c.want].Violations != c.count || r.Violations() != c.count {
				t.Errorf("want %d of %v and nothing else, got:\n%s", c.count, c.want, r)
			}
		})
	}
}

// What looks like a broken promise and is none.
func TestPermittedRunHasNoViolation(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Input)
	}{
		{"look-up sent twice", func(in *Input) {
			in.Told[9].Class, in.Ran[9].Count = model.Idempotent, 2
		}},
		{"refused, sent again by the caller, and ran", func(in *Input) {
			refused := in.Told[9]
			refused.Outcome = result.NotRun
			in.Told = append([]Told{refused}, in.Told...)
		}},
		{"unknown, and ran", func(in *Input) { in.Told[9].Outcome = result.Unknown }},
		{"ledger lost with its target", func(in *Input) {
			in.LostLedgers["gone"] = true
			in.Told[9].Target = "gone"
			in.Ran = append(in.Ran[:9], in.Ran[10:]...)
		}},
		{"work soon after leaving", func(in *Input) {
			in.Leaving = []Leaving{{Target: in.Ran[9].Target, At: in.Ran[9].At.Add(-4 * time.Second), Until: in.Ran[9].At.Add(time.Nanosecond)}}
		}},
		{"a place refuses all and comes back", func(in *Input) {
			var kept []Ran
			for i, line := range in.Ran {
				down := i > requests/4 && i < requests/2
				if down && line.Place == "salzburg-a" {
					in.Told[i].Outcome = result.NotRun
					continue
				}
				kept = append(kept, line)
			}
			in.Ran = kept
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			in := keptRun()
			c.change(&in)
			if r := Check(in); r.Violations() != 0 {
				t.Errorf("want no violation, got:\n%s", r)
			}
		})
	}
}

// A rush falls into one part of a bin. A move that is within the cap must not
// look larger, because more requests were sent after it than before.
func TestRushDoesNotWeighMoves(t *testing.T) {
	f := newBinFlow()
	for range 10 {
		f.add(0, &Ran{Place: "tirol-a"})
	}
	for range 90 {
		f.add(1, &Ran{Place: "salzburg-a"})
	}
	if share := f.share("salzburg-a"); share != 0.5 || f.offered() != 100 {
		t.Fatalf("share %f of %d requests, want 0.5 of 100", share, f.offered())
	}
}
