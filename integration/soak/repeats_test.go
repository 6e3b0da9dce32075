package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// endMark is in the paths of requests that end each target that runs them.
	endMark = "ends-targets"
	// contactTime is how long all must have been calm before VMs are held to what others know.
	contactTime = 4 * time.Second
	// calmRepeats is for how long such requests come again after that.
	calmRepeats = 2 * time.Second
	// maxEnds and maxLater are how many targets such a request may end, and how often it may
	// reach targets once all VMs had contactTime to know of it.
	maxEnds  = 3
	maxLater = 3
	// downFor is how long a target is away that has ended.
	downFor = 400 * time.Millisecond
)

// repeats are requests that end targets, each sent again and again under a new ID at any VM.
type repeats struct {
	w *world

	mu sync.Mutex
	// reached is when each of them reached a target, by path.
	reached map[string][]time.Time
}

// startRepeats sends such requests, unless the seed has none.
func (w *world) startRepeats(ctx context.Context, all *sync.WaitGroup) *repeats {
	if w.seed < crashingRequests {
		return nil
	}
	r := &repeats{w: w, reached: make(map[string][]time.Time)}
	for i, target := range w.targets {
		target.AbortOn(endMark, func(path string) { r.end(i, path) })
	}
	for n := range 3 {
		c := &caller{
			name: fmt.Sprintf("%s-%d", endMark, n), vms: w.processes, journal: &journal{},
			random: rand.New(rand.NewPCG(w.seed, uint64(callers+n))), path: fmt.Sprintf("%s-%d", endMark, n),
			key: w.keyOf(0),
		}
		all.Go(func() {
			for ctx.Err() == nil {
				c.sent++
				c.drop()
				c.ask(fmt.Sprintf("%s-%d-%d", c.name, w.seed, c.sent), n%2 == 1)
				time.Sleep(time.Duration(c.random.IntN(200)) * time.Millisecond)
			}
		})
	}
	return r
}

// end ends a target for a moment.
func (r *repeats) end(i int, path string) {
	r.mu.Lock()
	r.reached[path] = append(r.reached[path], time.Now())
	r.mu.Unlock()
	r.w.paths[i].down()
	go func() {
		r.w.targets[i].Restart()
		time.Sleep(downFor)
		r.w.register(i, false)
		if err := r.w.paths[i].up(); err != nil {
			r.w.t.Errorf("target %d does not listen again: %v", i, err)
		}
	}()
}

// check lets the requests come for a while after all faults have ended, and counts how often
// they reached targets when all VMs should have known of them.
func (r *repeats) check() {
	if r == nil {
		return
	}
	healed := time.Now()
	time.Sleep(contactTime + calmRepeats)
	r.mu.Lock()
	defer r.mu.Unlock()
	for path, times := range r.reached {
		known := healed
		if len(times) >= maxEnds && times[maxEnds-1].After(known) {
			known = times[maxEnds-1]
		}
		later := 0
		for _, at := range times {
			if at.After(known.Add(contactTime)) {
				later++
			}
		}
		r.w.t.Logf("%s reached targets %d times, %d of them late", path, len(times), later)
		if later > maxLater {
			r.w.t.Errorf("%s reached targets %d times when all VMs should have known of it", path, later)
		}
	}
	if len(r.reached) == 0 {
		r.w.t.Error("no such request reached a target")
	}
}
