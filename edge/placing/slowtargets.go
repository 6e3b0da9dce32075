package placing

import (
	"maps"
	"time"

	"github.com/yuccaroute/yuccaroute/edge/targetload"
)

// SlowTargets returns the targets that are slow at this moment, while it helps other VMs to know: those
// that have told this VM, or also those that others have told it of.
func (b *Balancer) SlowTargets(now time.Time, ofOthers bool) []targetload.Slow {
	if !b.options.Policy.StatedLoad {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []targetload.Slow
	for _, s := range b.services {
		for _, t := range s.targets {
			if t.load == nil || t.load.told && !ofOthers {
				continue
			}
			pace, age := t.load.lastPace(now)
			if pace > 0 && t.load.paces.IsWorthTelling(pace, age) {
				list = append(list, targetload.Slow{Key: TargetKey(t.hash), Pace: pace, Age: age})
			}
		}
	}
	return targetload.Newest(list)
}

// SetSlowTargets records targets that another VM has found to be slow.
func (b *Balancer) SetSlowTargets(now time.Time, list []targetload.Slow) {
	if !b.options.Policy.StatedLoad || len(list) == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, slow := range list {
		if !isValid(slow) {
			continue
		}
		for _, t := range b.byKey[slow.Key] {
			load := t.ensureLoad(b.services[t.Service])
			load.told = load.ObservePace(now.Add(-slow.Age), slow.Pace) || load.told
		}
	}
}

func isValid(slow targetload.Slow) bool { return slow.Pace > 0 && slow.Age >= 0 }

// indexByKey updates byKey after a change of the targets. It reuses the lists, as most targets stay.
func (b *Balancer) indexByKey() {
	for key, list := range b.byKey {
		clear(list)
		b.byKey[key] = list[:0]
	}
	for _, s := range b.services {
		for _, t := range s.targets {
			key := TargetKey(t.hash)
			b.byKey[key] = append(b.byKey[key], t)
		}
	}
	maps.DeleteFunc(b.byKey, func(_ uint32, list []*Target) bool { return len(list) == 0 })
}
