package integration

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/yuccaroute/yuccaroute/api/model"
)

// regions is what lies between the two regions of a cluster. The callers stand
// before the entry VMs directly, half of them in each region.
type regions struct {
	// entries are the entry VMs' addresses for callers.
	entries []string
	// cuttable tells that connections between the regions go through crossings,
	// and each region's to the platform through a proxy of its own.
	cuttable bool
	// paths tells that each target is behind a fault proxy.
	paths     bool
	crossings []*faultProxy
	platforms map[model.RegionName]*faultProxy
	// files hold the routes of each region's daemons.
	files map[model.RegionName]string
}

// newRegions starts a cluster with callers in two regions.
func newRegions(t *testing.T, cuttable, paths bool) *farm {
	t.Helper()
	f := newFarm(t)
	f.regions = &regions{cuttable: cuttable, paths: paths}
	return startCluster(f, tight)
}

// withPaths tells whether each target is behind a fault proxy.
func (r *regions) withPaths() bool { return r == nil || r.paths }

// connect puts fault proxies between the regions, before any daemon starts.
func (r *regions) connect(f *farm) {
	if r == nil || !r.cuttable {
		return
	}
	r.platforms = make(map[model.RegionName]*faultProxy)
	r.files = make(map[model.RegionName]string)
	through := make(map[model.RegionName]routes)
	for _, region := range []model.RegionName{"tirol", "salzburg"} {
		through[region] = routes{}
		r.platforms[region] = startFaultProxy(f.t, f.freeAddress(), "platform of "+string(region), f.platformAddress)
	}
	for i := range f.vms {
		vm := &f.vms[i]
		address := vm.Address.String()
		if vm.Peer.IsValid() {
			address = vm.Peer.String()
		}
		crossing := startFaultProxy(f.t, f.freeAddress(), "crossing to "+vm.ID, address)
		r.crossings = append(r.crossings, crossing)
		for region := range through {
			if region != vm.Region {
				through[region][address] = crossing.address().String()
			}
		}
	}
	for region, table := range through {
		r.files[region] = writeRoutes(f.t, table)
	}
}

func writeRoutes(t *testing.T, table routes) string {
	t.Helper()
	text, err := json.Marshal(table)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "routes.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

func (r *regions) platformPath(f *farm, region model.RegionName) *faultProxy {
	if r == nil || !r.cuttable {
		return f.platformPath
	}
	return r.platforms[region]
}

// daemon returns how an entry VM's daemon is started.
func (r *regions) daemon(region model.RegionName, settingsFile string) (program string, args []string) {
	if r == nil || !r.cuttable {
		return daemonProgram, []string{"--settings", settingsFile}
	}
	return testProgram, []string{routedCommand, settingsFile, r.files[region]}
}

// cutOff takes a region away from the other one and from the platform.
func cutOff(region model.RegionName) func(*farm) {
	return func(f *farm) {
		f.regions.platforms[region].cut()
		for _, path := range f.regions.crossings {
			path.cut()
		}
	}
}

func reconnect(region model.RegionName) func(*farm) {
	return func(f *farm) {
		f.regions.platforms[region].restore()
		for _, path := range f.regions.crossings {
			path.restore()
		}
	}
}

// of returns the indexes of the entry VMs and targets of a region.
func (f *farm) of(region model.RegionName) (entries, targets []int) {
	for i := range f.vms {
		switch {
		case f.vms[i].Region != region:
		case i < len(f.targets):
			targets = append(targets, i)
		default:
			entries = append(entries, i-len(f.targets))
		}
	}
	return entries, targets
}

// loseRegion ends everything in a region at once; the list shows it late.
func loseRegion(region model.RegionName) func(*farm) {
	return func(f *farm) {
		entries, targets := f.of(region)
		var ids []string
		for _, i := range entries {
			f.entries[i].kill()
			ids = append(ids, f.entries[i].name)
		}
		for _, i := range targets {
			f.targets[i].kill()
			ids = append(ids, f.targets[i].name)
		}
		f.unlistVMs(ids...)
	}
}

// regainRegion starts all of a region again, at the former addresses.
func regainRegion(region model.RegionName) func(*farm) {
	return func(f *farm) {
		entries, targets := f.of(region)
		for _, i := range targets {
			f.targets[i].start()
		}
		for _, i := range entries {
			f.entries[i].start()
		}
		f.listVMs(f.vms...)
	}
}
