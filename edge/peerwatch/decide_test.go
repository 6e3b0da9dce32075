package peerwatch

import (
	"slices"
	"testing"
	"time"
)

const testTimeout = 900 * time.Millisecond

// reading is one reading of the kernel's state, at a time since the start of an upload.
type reading struct {
	at    time.Duration
	state info
}

func stalled(at, heardAgo time.Duration) reading {
	return reading{at: at * time.Millisecond, state: info{unsent: 272_027, heardAgo: heardAgo * time.Millisecond}}
}

// unreadUpload replays what Linux tells of an upload of 400,000 bytes that the target begins to read after 3.8 s:
// the kernel probes the window after growing pauses, and the target's kernel does not answer each probe.
var unreadUpload = []reading{
	stalled(201, 156), stalled(401, 144), stalled(602, 344), stalled(802, 544), stalled(1002, 744), stalled(1202, 940),
	stalled(1403, 1140), stalled(1603, 36), stalled(1803, 236), stalled(2004, 440), stalled(2204, 640), stalled(2404, 840),
	stalled(2605, 1040), stalled(2805, 1240), stalled(3006, 1440), stalled(3206, 1640), stalled(3406, 140), stalled(3607, 340),
}

// replay returns the actions on readings, where reached tells the result of each check.
func replay(readings []reading, reached func(at time.Duration) bool) (actions []action, lostAt time.Duration) {
	began := time.Unix(1000, 0)
	d := decider{timeout: testTimeout}
	for _, r := range readings {
		a := d.observe(began.Add(r.at), r.state)
		for a == check {
			actions = append(actions, a)
			a = d.checked(began.Add(r.at), reached(r.at))
		}
		actions = append(actions, a)
		if a == lose {
			return actions, r.at
		}
	}
	return actions, 0
}

// A target that does not read must not be taken for lost while its kernel answers, and must be checked seldom:
// each check is a connection.
func TestTargetThatReadsLateIsKept(t *testing.T) {
	actions, lostAt := replay(unreadUpload, func(time.Duration) bool { return true })
	if lostAt != 0 || actions[0] != suspend || slices.Contains(actions, resume) {
		t.Fatalf("lost at %v, actions %v", lostAt, actions)
	}
	checks := 0
	for _, a := range actions {
		if a == check {
			checks++
		}
	}
	if most := int(3607 * time.Millisecond / (2 * testTimeout / 3)); checks == 0 || checks > most {
		t.Errorf("%d checks, want at least one and at most %d", checks, most)
	}
}

// A target that loses power while it does not read must be found as soon as one that reads: within the timeout
// and the time of the checks.
func TestTargetThatLosesPowerWhileItDoesNotReadIsFound(t *testing.T) {
	const lastHeard = 258
	var readings []reading
	for at := time.Duration(201); at < 5000; at += 225 {
		readings = append(readings, stalled(at, max(at-lastHeard, 50)))
	}
	_, lostAt := replay(readings, func(time.Duration) bool { return false })
	if lostAt == 0 || lostAt > lastHeard*time.Millisecond+testTimeout {
		t.Errorf("found at %v, last heard at %d ms", lostAt, lastHeard)
	}
}

// One lost packet must not end an upload.
func TestOneFailedCheckIsNotALoss(t *testing.T) {
	n := 0
	_, lostAt := replay(unreadUpload, func(time.Duration) bool { n++; return n%maxFailedChecks == 0 })
	if lostAt != 0 {
		t.Errorf("lost at %v", lostAt)
	}
}

// The user timeout must hold while data is in flight, before a stall and after it, and the watch must end when
// all is acknowledged.
func TestUserTimeoutIsSuspendedOnlyWhileTheWindowIsClosed(t *testing.T) {
	inFlight := info{unacked: 2, unsent: 334_518, window: 65_483, heardAgo: 200 * time.Millisecond}
	shrunk := info{unacked: 1, unsent: 1000, heardAgo: 300 * time.Millisecond}
	silent := info{unacked: 1, unsent: 1000, heardAgo: 1200 * time.Millisecond}
	noAge := info{unacked: 1}
	for name, c := range map[string]struct {
		states []info
		want   []action
	}{
		"in flight":             {[]info{inFlight, inFlight, {}}, []action{wait, wait, finish}},
		"stall between":         {[]info{inFlight, {unsent: 9}, {unsent: 9}, inFlight, {}}, []action{wait, suspend, wait, resume, finish}},
		"stall until the end":   {[]info{{unsent: 9}, {}, {}}, []action{suspend, resume, finish}},
		"window shrunk":         {[]info{shrunk, shrunk, silent, inFlight}, []action{suspend, wait, check, wait, resume}},
		"age of the ack hidden": {[]info{noAge, noAge}, []action{wait, wait}},
	} {
		var readings []reading
		for n, state := range c.states {
			readings = append(readings, reading{at: time.Duration(n) * 225 * time.Millisecond, state: state})
		}
		if got, _ := replay(readings, func(time.Duration) bool { return true }); !slices.Equal(got, c.want) {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
