package returns

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// caller returns a caller of a key with a deadline of 8 s from an arrival.
func caller(key uint64, arrived time.Time) Caller {
	return Caller{Key: key, GivesUp: arrived.Add(8 * time.Second)}
}

func offer(now time.Time) Offer {
	return Offer{Earliest: time.Second, Interval: 200 * time.Millisecond, Latest: now.Add(2 * time.Second)}
}

// Callers come back at the edges of the window, twice, too early and too late.
func TestClaimWindow(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		want  Status
	}{
		{500 * time.Millisecond, Early}, {899 * time.Millisecond, Early}, {900 * time.Millisecond, Kept},
		{1300 * time.Millisecond, Kept}, {1301 * time.Millisecond, Lapsed}, {6 * time.Second, New},
	} {
		l := NewLedger(&Totals{})
		who := caller(1, start)
		wait, reserved := l.Promise(start, who, offer(start))
		if wait != time.Second || !reserved {
			t.Fatalf("promised %v, reserved %v", wait, reserved)
		}
		for range 2 {
			// A second early try is told the same time; a promise that was kept or has lapsed is gone.
			s, left := l.Claim(start.Add(c.after), who)
			if s != c.want || s == Early && left != time.Second-c.after {
				t.Errorf("after %v: %v, %v left", c.after, s, left)
			}
			if c.want != Early {
				c.want = New
			}
		}
	}
}

// Several callers of one key each get a place, and nobody else of the key may use it, nor a request of
// another rank. Callers that state no deadline are only counted.
func TestPromisesOfOneKeyAreCounted(t *testing.T) {
	for _, anonymous := range []bool{false, true} {
		l := NewLedger(&Totals{})
		var waits []time.Duration
		for i := range 3 {
			who := caller(1, start.Add(time.Duration(i)*time.Second))
			if anonymous {
				who.GivesUp = time.Time{}
			}
			wait, _ := l.Promise(start, who, offer(start))
			waits = append(waits, wait)
		}
		if waits[1] != waits[0]+200*time.Millisecond || waits[2] != waits[1]+200*time.Millisecond {
			t.Errorf("promised %v", waits)
		}
		now, kept := start.Add(1200*time.Millisecond), 0
		for range 5 {
			who := caller(1, start.Add(-time.Hour))
			if anonymous {
				who.GivesUp = time.Time{}
			}
			who.Rank = 1
			if s, _ := l.Claim(now, who); s != New {
				t.Errorf("%v for another rank", s)
			}
			who.Rank = 0
			if s, _ := l.Claim(now, who); s == Kept {
				kept++
			}
		}
		if anonymous && kept != 2 {
			t.Errorf("%d of 2 open places used", kept)
		}
	}
}

// Once callers are recognized by their deadline, others of the key must not take their places.
func TestPlaceIsKeptForItsCaller(t *testing.T) {
	l, now := NewLedger(&Totals{}), start
	for i := range 20 {
		who := caller(uint64(i), now)
		l.Promise(now, who, offer(now))
		now = now.Add(time.Second)
		if s, _ := l.Claim(now, who); s != Kept {
			t.Fatalf("%v", s)
		}
	}
	who := caller(1, now)
	l.Promise(now, who, offer(now))
	now = now.Add(time.Second)
	if s, _ := l.Claim(now, caller(1, now)); s != New {
		t.Errorf("%v for a new caller of the key", s)
	}
	if s, _ := l.Claim(now, who); s != Kept {
		t.Errorf("%v for the caller with the place", s)
	}
}

// A caller whose places are later than it waits is told the time and takes none, and a less urgent rank
// does not defer a more urgent one.
func TestPromisesWithoutPlace(t *testing.T) {
	l := NewLedger(&Totals{})
	for i := range uint64(20) {
		who := caller(i, start)
		who.Rank = 1
		wait, reserved := l.Promise(start, who, offer(start))
		if want := min(time.Second+time.Duration(i)*200*time.Millisecond, 2200*time.Millisecond); wait != want || reserved != (i < 6) {
			t.Errorf("caller %d: %v, reserved %v, want %v", i, wait, reserved, want)
		}
	}
	if wait, reserved := l.Promise(start, caller(99, start), offer(start)); wait != time.Second || !reserved {
		t.Errorf("more urgent: %v, %v", wait, reserved)
	}
	if n := l.PendingBefore(start, 2*time.Second, 1); n != 7 {
		t.Errorf("%d pending", n)
	}
}

// A VM that refuses far more callers than it can promise a place must keep a bounded number of promises,
// and tell the others a time too.
func TestPromisesOfVMAreBounded(t *testing.T) {
	totals := &Totals{}
	for i := range uint64(MaxPromises + 100) {
		l := NewLedger(totals)
		o := Offer{Earliest: time.Second, Latest: start.Add(2 * time.Second)}
		if wait, reserved := l.Promise(start, caller(i, start), o); wait != time.Second || reserved != (i < MaxPromises) {
			t.Fatalf("caller %d: %v, reserved %v", i, wait, reserved)
		}
	}
	if totals.held != MaxPromises || totals.Promised != MaxPromises {
		t.Errorf("%+v", *totals)
	}
}

// A caller that comes back at once and starts its deadline anew looks like many callers of its key or account;
// it must not get the places of others.
func TestKeyGetsAtMostAPartOfThePlaces(t *testing.T) {
	for _, isAccount := range []bool{false, true} {
		l := NewLedger(&Totals{})
		for i := range time.Duration(10) {
			who := caller(1, start.Add(i*time.Second))
			who.IsAccount = isAccount
			if _, reserved := l.Promise(start, who, Offer{Latest: start.Add(time.Second)}); reserved != (i < minPerKey) {
				t.Errorf("account %v, try %d: reserved %v", isAccount, i, reserved)
			}
		}
	}
}

// In a crowded key early callers are tried as new ones. One that is refused again must keep its place and get
// no second one.
func TestEarlyCallerOfCrowdedKeyKeepsItsPlace(t *testing.T) {
	totals := &Totals{}
	l, now := NewLedger(totals), start
	// Places of other keys raise the number that one key may have.
	for i := range uint64(100) {
		l.Promise(now, caller(1000+i, now), Offer{Earliest: 5 * time.Second, Latest: now.Add(time.Minute)})
	}
	long := func(i int) (Caller, Offer) {
		return Caller{Key: 1, GivesUp: start.Add(time.Minute + time.Duration(i)*time.Second)}, Offer{Earliest: 5 * time.Second, Latest: start.Add(time.Minute)}
	}
	for i := range crowdedFrom {
		who, o := long(i)
		l.Promise(now, who, o)
	}
	before := totals.Promised
	who, o := long(0)
	for range 12 {
		now = now.Add(10 * time.Millisecond)
		if s, _ := l.Claim(now, who); s != New {
			t.Fatalf("%v, the key is not crowded", s)
		}
		wait, reserved := l.Promise(now, who, o)
		if want := start.Add(5 * time.Second).Sub(now); wait != want || !reserved {
			t.Errorf("promised %v, reserved %v, want %v", wait, reserved, want)
		}
	}
	if totals.Promised != before {
		t.Errorf("%d places for one caller", 1+totals.Promised-before)
	}
	if s, _ := l.Claim(start.Add(5*time.Second), who); s != Kept {
		t.Errorf("%v at the time that the caller was told", s)
	}
}

// Any sequence of refusals and returns leaves nothing once all promises have lapsed. Each promise is kept or lapses once.
func TestLedgersForgetWhatHasLapsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		totals, now := &Totals{}, start
		ledgers := []*Ledger{NewLedger(totals), NewLedger(totals)}
		var known []Caller
		draw := func(n int, name string) int { return rapid.IntRange(0, n).Draw(t, name) }
		for range draw(20, "rounds") {
			l := ledgers[draw(1, "ledger")]
			interval := time.Duration(1+draw(300, "interval")) * time.Millisecond
			for range draw(1, "many")*100 + 1 {
				who := caller(uint64(len(known)%977), now.Add(time.Duration(len(known))*time.Millisecond))
				who.Rank, who.IsAccount = len(known)%3, len(known)%2 == 0
				known = append(known, who)
				l.Promise(now, who, Offer{Earliest: 100 * time.Millisecond, Interval: interval / 300, Latest: now.Add(5 * time.Second)})
			}
			now = now.Add(interval)
			for range draw(20, "returns") {
				l.Claim(now, known[draw(len(known)-1, "who")])
			}
		}
		for _, l := range ledgers {
			l.Expire(now.Add(time.Minute))
			if len(l.callers)+len(l.places.list)+len(l.notes.list) > 0 {
				t.Fatalf("left: %d keys, %d places, %d notes", len(l.callers), len(l.places.list), len(l.notes.list))
			}
		}
		if totals.held != 0 || totals.Promised != totals.Kept+totals.Lapsed {
			t.Fatalf("%+v", *totals)
		}
	})
}
