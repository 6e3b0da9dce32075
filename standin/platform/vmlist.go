package platform

import (
	"slices"
	"sync"
	"time"

	"github.com/yuccaroute/yuccaroute/membership/wire"
)

// version is the list as it was from one moment on.
type version struct {
	since time.Time
	list  wire.ListResponse
}

// vmList shows each change only after the lag.
type vmList struct {
	mu       sync.Mutex
	lag      time.Duration
	versions []version
}

func newVMList(lag time.Duration) *vmList {
	empty := version{list: wire.ListResponse{VMs: []wire.VM{}}}
	return &vmList{lag: lag, versions: []version{empty}}
}

func (l *vmList) setLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// change makes a new version from a copy of the newest rows.
func (l *vmList) change(edit func(rows []wire.VM) []wire.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	newest := l.versions[len(l.versions)-1].list
	next := wire.ListResponse{
		Sequence: newest.Sequence + 1,
		VMs:      edit(slices.Clone(newest.VMs)),
	}
	l.versions = append(l.versions, version{since: time.Now(), list: next})
}

// visible returns the newest version older than the lag and drops those
// before it.
func (l *vmList) visible() wire.ListResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for len(l.versions) > 1 && now.Sub(l.versions[1].since) >= l.lag {
		l.versions = l.versions[1:]
	}
	return l.versions[0].list
}

// put replaces the row of the VM or adds one.
func put(rows []wire.VM, vm wire.VM) []wire.VM {
	for i := range rows {
		if rows[i].ID == vm.ID {
			rows[i] = vm
			return rows
		}
	}
	return append(rows, vm)
}

func without(rows []wire.VM, ids []string) []wire.VM {
	return slices.DeleteFunc(rows, func(vm wire.VM) bool {
		return slices.Contains(ids, vm.ID)
	})
}
