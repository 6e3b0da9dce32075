package catalog

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"github.com/yuccaroute/yuccaroute/edge/replica"
	"github.com/yuccaroute/yuccaroute/store"
	"github.com/yuccaroute/yuccaroute/store/faultkv"
	"github.com/yuccaroute/yuccaroute/store/memkv"
)

const (
	fleetVMs = 4
	// fleetSeeds are as many random runs, each of fleetSteps steps.
	fleetSeeds = 100
	fleetSteps = 60
	// reportInterval is the time between two reports of a VM.
	reportInterval = 250 * time.Millisecond
	// changeTime is how long after its write a change may not be in force at a VM.
	changeTime = 2500 * time.Millisecond
	// copyAge is the age of the oldest copy that the store is restored from.
	copyAge = 10 * time.Second
	// restorePause is the shortest time between two restores.
	restorePause = 1500 * time.Millisecond
	// exchangeTime is how long a VM may differ from the fleet until the others have told it what they know.
	exchangeTime = time.Second
	// lapseTime is how long the store keeps a registration that is not written any more.
	lapseTime = 4500 * time.Millisecond
	// settleTime is how long after all faults until all VMs have the state of the store.
	settleTime = 15 * time.Second
)

// fleetVM is the replica and the catalog of one VM.
type fleetVM struct {
	replica *replica.Replica
	catalog *Catalog
	outages *Outages
	kv      *faultkv.Store
	stop    context.CancelFunc
	// startedAt is its last start, version the highest configuration that it had in force since, and used
	// are the targets that it has used.
	startedAt time.Time
	version   uint64
	used      map[string]bool
	// knewLeaving are the targets that it stopped using as they left.
	knewLeaving map[string]bool
	// confirmed are the targets that it uses whose registrations are not missing.
	confirmed map[string]bool
	// wrong has since when targets are used that have left, or not used although they serve.
	wrong map[string]time.Time
}

// fleetTarget is the state of a target as it knows it itself.
type fleetTarget struct {
	state    string
	sequence int
	// leftAt is when it wrote that it leaves.
	leftAt time.Time
}

// fleetRun is a fleet with a store that is restored from copies of itself.
type fleetRun struct {
	t      *testing.T
	random *rand.Rand
	kv     *memkv.Store
	copied *memkv.Snapshot
	// copiedAt is when copied was taken, restoredAt when the store was last restored.
	copiedAt, restoredAt time.Time
	vms                  [fleetVMs]atomic.Pointer[fleetVM]
	targets              map[string]*fleetTarget
	version              int
	changed              time.Time
	zones                map[string]bool
	created              int
	// stable is a VM that is never cut or restarted.
	stable int
}

// Configurations, evacuations and targets change, the store is restored from older copies, VMs restart or
// are cut from the store, in random order. No VM goes back to an older configuration, uses a target that
// has left or lacks one that serves, and all have the same state in the end.
func TestFleetFollowsRestoredStore(t *testing.T) {
	for seed := range uint64(fleetSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runFleet(t, seed) })
		})
	}
}

func runFleet(t *testing.T, seed uint64) {
	f := &fleetRun{
		t: t, random: rand.New(rand.NewPCG(seed, 0)), kv: memkv.New(memkv.Options{WatchWait: 3 * time.Second}),
		targets: make(map[string]*fleetTarget), zones: make(map[string]bool), stable: int(seed % fleetVMs),
	}
	defer f.stop()
	f.configure()
	for range 4 {
		f.addTarget()
	}
	for i := range fleetVMs {
		f.start(i)
	}
	for range fleetSteps {
		f.step()
		f.wait(time.Duration(f.random.IntN(700)) * time.Millisecond)
	}
	for _, v := range f.running() {
		v.kv.SetOutage(false)
	}
	f.wait(settleTime)
	f.checkSettled()
}

// running returns the VMs that run, by their index.
func (f *fleetRun) running() (list []*fleetVM) {
	for i := range f.vms {
		if v := f.vms[i].Load(); v != nil {
			list = append(list, v)
		}
	}
	return list
}

// stop ends all VMs.
func (f *fleetRun) stop() {
	for _, v := range f.running() {
		v.stop()
	}
	time.Sleep(settleTime)
	synctest.Wait()
}

// start starts a VM, which knows nothing.
func (f *fleetRun) start(i int) {
	ctx, stop := context.WithCancel(context.Background())
	v := &fleetVM{kv: faultkv.New(f.kv, nil), stop: stop, startedAt: time.Now(), outages: NewOutages(time.Now()), used: make(map[string]bool), wrong: make(map[string]time.Time), knewLeaving: make(map[string]bool), confirmed: make(map[string]bool)}
	l := logrus.New()
	l.SetOutput(io.Discard)
	v.catalog = New(Options{
		Codec: codec{}, Logger: logrus.NewEntry(l), Changed: func(*View) {}, Outages: v.outages, Now: time.Now,
	})
	connectedBefore := func() (n int) {
		for j := range i {
			if other := f.vms[j].Load(); other != nil && other.replica.Connected() {
				n++
			}
		}
		return n
	}
	v.replica = replica.New(replica.Options{
		KV: v.kv, Logger: logrus.NewEntry(l), Changed: v.catalog.Apply,
		ShouldWatch:      func() bool { return connectedBefore() < 2 },
		IsWatchLeader:    func() bool { return connectedBefore() < 1 },
		IsDefaultWatcher: func() bool { return true },
		FetchSnapshot: func(_ context.Context, peer string, after store.Revision) (replica.Snapshot, error) {
			for _, other := range f.running() {
				if fmt.Sprintf("%p", other) == peer {
					return other.replica.SnapshotAfter(after), nil
				}
			}
			return replica.Snapshot{}, errors.New("no such VM")
		},
	})
	f.vms[i].Store(v)
	go v.replica.Run(ctx)
	go f.report(ctx, v)
}

// report tells the other VMs of the state of one, and does its periodic work.
func (f *fleetRun) report(ctx context.Context, v *fleetVM) {
	for ctx.Err() == nil {
		time.Sleep(reportInterval)
		for _, other := range f.running() {
			if other.replica.Connected() {
				v.outages.StoreReached(time.Now())
			}
		}
		v.catalog.Expire(time.Now())
		at, loaded := v.replica.Revision()
		for _, other := range f.running() {
			if other == v || !loaded {
				continue
			}
			other.replica.ObservePeer(ctx, fmt.Sprintf("%p", v), true, at, time.Now())
			other.replica.ObserveRetained(ctx, fmt.Sprintf("%p", v), at, v.replica.Retained())
		}
	}
}

func (f *fleetRun) step() {
	switch n := f.random.IntN(20); {
	case n < 4:
		f.configure()
	case n < 6:
		f.addTarget()
	case n < 9:
		f.leave()
	case n < 11:
		f.evacuate()
	case n < 14:
		copied := f.kv.SnapshotWithLeases()
		f.copied, f.copiedAt = &copied, time.Now()
	case n < 16:
		f.restore()
	case n < 18:
		f.vms[f.disturbed()].Load().kv.SetOutage(f.random.IntN(2) == 0)
	default:
		i := f.disturbed()
		f.vms[i].Load().stop()
		f.start(i)
	}
}

// disturbed returns any VM but the one that is never cut or restarted, so that some VM knows what was before.
func (f *fleetRun) disturbed() int {
	return (f.stable + 1 + f.random.IntN(fleetVMs-1)) % fleetVMs
}

func (f *fleetRun) put(key, value string) {
	put(f.t, f.kv, key, value)
}

func put(t *testing.T, kv store.KV, key, value string) {
	t.Helper()
	e, err := kv.Get(t.Context(), key)
	if err != nil {
		e.Revision = 0
	}
	if _, err := kv.Swap(t.Context(), key, []byte(value), e.Revision, 0); err != nil {
		t.Fatal(err)
	}
}

func (f *fleetRun) remove(key string) {
	if e, err := f.kv.Get(f.t.Context(), key); err == nil {
		if err := f.kv.Delete(f.t.Context(), key, e.Revision); err != nil {
			f.t.Fatal(err)
		}
	}
}

func (f *fleetRun) configure() {
	f.version++
	f.changed = time.Now()
	f.put("config", strings.Repeat("x", f.version))
}

func (f *fleetRun) addTarget() {
	f.created++
	name := fmt.Sprint("t", f.created)
	f.targets[name] = &fleetTarget{state: "ready"}
	f.register(name)
}

// register writes the state of a target.
func (f *fleetRun) register(name string) {
	target := f.targets[name]
	target.sequence++
	f.put("target/"+name, fmt.Sprintf("%s 7 %d", target.state, target.sequence))
}

// leave lets a target say that it leaves, or one that leaves end.
func (f *fleetRun) leave() {
	names := f.names(func(*fleetTarget) bool { return true })
	if len(f.names(isReady)) < 3 || len(names) == 0 {
		return
	}
	name := names[f.random.IntN(len(names))]
	// A removal right after a restore cannot be told from a loss.
	mayRemove := time.Since(f.restoredAt) > restorePause
	if mayRemove && (f.targets[name].state == "draining" || f.random.IntN(3) == 0) {
		if isReady(f.targets[name]) {
			f.targets[name].leftAt = time.Now()
		}
		if _, err := f.kv.Get(f.t.Context(), "target/"+name); err != nil {
			// The store has lost it, so that nobody is told; it is kept as if it were to come back.
			f.targets[name].leftAt = time.Now().Add(missingTimeout)
		}
		f.targets[name].state = "gone"
		f.remove("target/" + name)
		return
	}
	if isReady(f.targets[name]) {
		f.targets[name].state, f.targets[name].leftAt = "draining", time.Now()
		f.register(name)
	}
}

func isReady(t *fleetTarget) bool { return t.state == "ready" }

// names returns the names of targets, sorted.
func (f *fleetRun) names(which func(*fleetTarget) bool) (names []string) {
	for name, target := range f.targets {
		if target.state != "gone" && which(target) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (f *fleetRun) evacuate() {
	zone := fmt.Sprint("z", f.random.IntN(3))
	f.zones[zone] = !f.zones[zone]
	f.writeEvacuation(zone)
}

func (f *fleetRun) writeEvacuation(zone string) {
	if f.zones[zone] {
		f.put("evacuated/"+zone, "1")
	} else {
		f.remove("evacuated/" + zone)
	}
}

func isMissing(v *fleetVM, name string) bool {
	return slices.ContainsFunc(v.catalog.View().Targets, func(t Target) bool { return t.ID == name && !t.MissingUntil.IsZero() })
}

// restore puts the store back to the copy. Within a second or so, what operators and targets wrote is
// written again.
func (f *fleetRun) restore() {
	if time.Since(f.restoredAt) < restorePause || f.copied == nil || time.Since(f.copiedAt) > copyAge {
		return
	}
	outages := make([]bool, fleetVMs)
	for i, v := range f.running() {
		outages[i] = v.kv.InOutage()
		v.kv.SetOutage(true)
	}
	time.Sleep(time.Duration(f.random.IntN(800)) * time.Millisecond)
	unknown := f.unknownLeaving()
	isKnown := slices.ContainsFunc(f.running(), func(v *fleetVM) bool { return int(v.version) == f.version })
	f.kv.Restore(*f.copied)
	late := f.random.IntN(2) == 0
	if !late {
		f.writeAgain()
	}
	for range f.random.IntN(40) {
		f.put("other", "")
	}
	for i, v := range f.running() {
		v.kv.SetOutage(outages[i])
	}
	if late {
		f.wait(time.Duration(f.random.IntN(1200)) * time.Millisecond)
		f.writeAgain()
	}
	if !isKnown {
		f.changed = time.Now()
	}
	f.restoredAt = time.Now()
	for _, target := range unknown {
		// Only the target itself, or the end of its registration, can tell.
		target.leftAt = time.Now()
		if target.state == "gone" {
			target.leftAt = target.leftAt.Add(lapseTime)
		}
	}
}

// unknownLeaving returns the targets that leave of which no VM knows that.
func (f *fleetRun) unknownLeaving() (list []*fleetTarget) {
	for name, target := range f.targets {
		known := false
		for _, v := range f.running() {
			known = known || !isUsed(v, name) && v.used[name]
		}
		if !isReady(target) && !known {
			list = append(list, target)
		}
	}
	return list
}

func isUsed(v *fleetVM, name string) bool {
	return slices.ContainsFunc(v.catalog.View().Targets, func(t Target) bool { return t.ID == name && !t.Draining })
}

func (f *fleetRun) writeAgain() {
	f.put("config", strings.Repeat("x", f.version))
	for zone := range f.zones {
		f.writeEvacuation(zone)
	}
	for name, target := range f.targets {
		if target.state != "gone" {
			f.register(name)
			continue
		}
		time.AfterFunc(lapseTime, func() { f.remove("target/" + name) })
	}
}

// wait lets time pass and checks what each VM holds.
func (f *fleetRun) wait(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(min(100*time.Millisecond, time.Until(end)))
		for i, v := range f.running() {
			f.check(i, v)
		}
	}
}

func (f *fleetRun) check(i int, v *fleetVM) {
	f.t.Helper()
	view := v.catalog.View()
	if view.Config == nil {
		return
	}
	if view.Config.Version < v.version {
		f.t.Fatalf("VM %d went back from configuration %d to %d", i, v.version, view.Config.Version)
	}
	v.version = view.Config.Version
	since := func(at time.Time) bool { return time.Since(at) > changeTime && time.Since(v.startedAt) > changeTime }
	if since(f.changed) && int(v.version) < f.version {
		f.t.Fatalf("VM %d is at configuration %d, %d was written %s ago", i, v.version, f.version, time.Since(f.changed))
	}
	for name, target := range f.targets {
		used := isUsed(v, name)
		left := !target.leftAt.IsZero() && since(target.leftAt)
		knewLeaving := v.knewLeaving[name]
		v.used[name] = v.used[name] || used
		v.knewLeaving[name] = knewLeaving || v.confirmed[name] && !used && !isReady(target)
		v.confirmed[name] = used && !isMissing(v, name)
		if used == left && (left || v.used[name] && isReady(target)) {
			if _, begun := v.wrong[name]; !begun {
				v.wrong[name] = time.Now()
			}
		} else {
			delete(v.wrong, name)
		}
		if at, wrong := v.wrong[name]; used && knewLeaving || wrong && time.Since(at) > exchangeTime {
			f.t.Fatalf("VM %d: target %s %+v, used %t, used %t before, knew that it leaves %t", i, name, target, used, v.used[name], knewLeaving)
		}
	}
}

// checkSettled checks that all VMs have the state of operators and targets.
func (f *fleetRun) checkSettled() {
	f.t.Helper()
	for i, v := range f.running() {
		view := v.catalog.View()
		var ids []string
		for _, target := range view.Targets {
			if !target.Draining {
				ids = append(ids, target.ID)
			}
		}
		zones := make(map[string]bool)
		for zone, evacuated := range f.zones {
			if evacuated {
				zones[zone] = true
			}
		}
		if diff := cmp.Diff(f.names(isReady), ids) + cmp.Diff(zones, view.Evacuated); diff != "" || int(view.Config.Version) != f.version {
			f.t.Errorf("VM %d is at configuration %d, want %d: %s", i, view.Config.Version, f.version, diff)
		}
	}
}
