package load

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// A stall must count against each call that was due during it, not only against the one that waited.
func TestStallIsChargedToEveryCallItHeldBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		call := func(context.Context, int, uint64) (int, error) {
			since := time.Since(start)
			if since >= 2*time.Second && since < 3*time.Second {
				time.Sleep(3*time.Second - since)
			}
			return 0, nil
		}
		report, err := Run(t.Context(), Options{Rate: 100, Duration: 10 * time.Second, Workers: 1, Seed: 1}, call)
		if err != nil {
			t.Fatal(err)
		}
		if report.P99US < 900_000 {
			t.Errorf("p99 %v µs, want at least 900,000: a tenth of the calls were due in the stall", report.P99US)
		}
		if report.Late < 50 {
			t.Errorf("%d late calls, want at least 50", report.Late)
		}
	})
}

func TestSameSeedOffersTheSameCalls(t *testing.T) {
	sent := func() uint64 {
		var report *Report
		synctest.Test(t, func(t *testing.T) {
			call := func(context.Context, int, uint64) (int, error) { return 0, nil }
			var err error
			report, err = Run(t.Context(), Options{Rate: 1000, Duration: time.Second, Workers: 8, Seed: 5}, call)
			if err != nil {
				t.Fatal(err)
			}
		})
		return report.Sent
	}
	if first, second := sent(), sent(); first != second || first < 900 || first > 1100 {
		t.Errorf("sent %d and %d, want the same, about 1000", first, second)
	}
}

func TestOptionsOutsideBoundsAreRefused(t *testing.T) {
	good := Options{Rate: 1, Duration: time.Second, Workers: 1}
	for name, change := range map[string]func(*Options){
		"rate":     func(o *Options) { o.Rate = MaxRate + 1 },
		"duration": func(o *Options) { o.Duration = MaxDuration + 1 },
		"workers":  func(o *Options) { o.Workers = 0 },
	} {
		o := good
		change(&o)
		if _, err := Run(t.Context(), o, nil); err == nil {
			t.Errorf("%s outside its bounds was accepted", name)
		}
	}
}
