package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/yuccaroute/yuccaroute/api/model"
	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/bench/check"
	"github.com/yuccaroute/yuccaroute/config"
	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/membership"
	"github.com/yuccaroute/yuccaroute/membership/wire"
	"github.com/yuccaroute/yuccaroute/platform/kvclient"
	"github.com/yuccaroute/yuccaroute/standin/loopback"
	"github.com/yuccaroute/yuccaroute/standin/platform"
	"github.com/yuccaroute/yuccaroute/standin/target"
)

// Where the targets and the entry VMs of a cluster stand.
var (
	clusterTargets = []model.Place{
		{Name: "tirol-a", Region: "tirol"}, {Name: "tirol-b", Region: "tirol"},
		{Name: "salzburg-a", Region: "salzburg"}, {Name: "salzburg-b", Region: "salzburg"},
		{Name: "tirol-a", Region: "tirol"}, {Name: "tirol-b", Region: "tirol"},
		{Name: "salzburg-a", Region: "salzburg"}, {Name: "salzburg-b", Region: "salzburg"},
	}
	clusterEntries = []model.Place{
		{Name: "tirol-a", Region: "tirol"}, {Name: "salzburg-a", Region: "salzburg"}, {Name: "tirol-b", Region: "tirol"},
	}
)

const (
	// readyPatience bounds the wait until a cluster serves.
	readyPatience = 60 * time.Second
	pollEvery     = 50 * time.Millisecond
	listLag       = 300 * time.Millisecond
	// clusterBunching is the spread of the delay between an entry VM and a
	// target of a cluster, the faults' own delays included.
	clusterBunching = 300 * time.Millisecond
)

// newCluster starts the platform's stand-in, targets and entry VMs as
// processes, each behind a fault proxy, puts the account, as changed, in force
// and waits until every entry VM serves.
func newCluster(t *testing.T, change func(account []byte) []byte) *farm {
	t.Helper()
	return startCluster(newFarm(t), change)
}

func startCluster(f *farm, change func(account []byte) []byte) *farm {
	f.t.Helper()
	f.startPlatform()
	f.startTargets()
	f.startEntries()
	f.putInForce(change(readFile(f.t, "testdata/account.ini")))
	f.listVMs(f.vms...)
	f.waitServing()
	f.ledger = f.readJournals
	return f
}

// asWritten changes nothing.
func asWritten(account []byte) []byte { return account }

// freeAddress returns an address that nobody listens on. While a path is cut its port
// is free: on a shared address a stranger's target could listen there and answer in its
// place, and the run would be told in no ledger.
func (f *farm) freeAddress() string {
	return f.host.Address()
}

func newFarm(t *testing.T) *farm { return &farm{t: t, host: loopback.NewHost()} }

func (f *farm) startPlatform() {
	f.platformAddress = f.freeAddress()
	f.platform = startProcess(f.t, "platform", toolProgram, "standin", "platform",
		"--address", f.platformAddress, "--list-lag", listLag.String())
	f.waitListening(f.platformAddress)
	f.platformPath = startFaultProxy(f.t, f.freeAddress(), "to platform", f.platformAddress)
}

func (f *farm) startTargets() {
	for i, place := range clusterTargets {
		name, address := fmt.Sprintf("target-%d", i), f.freeAddress()
		f.targetAddresses = append(f.targetAddresses, address)
		journal := filepath.Join(f.t.TempDir(), name+".jsonl")
		p := startProcess(f.t, name, toolProgram, "standin", "target", "--name", name, "--address", address,
			"--slots", "4", "--queue", "64", "--service-time", "3ms", "--spread", "0.5", "--seed", strconv.Itoa(i), "--journal", journal)
		f.waitListening(address)
		listed := netip.MustParseAddrPort(address)
		if f.regions.withPaths() {
			path := startFaultProxy(f.t, f.freeAddress(), "to "+name, address)
			f.targetPaths = append(f.targetPaths, path)
			listed = path.address()
		}
		f.targets = append(f.targets, p)
		f.journals = append(f.journals, journal)
		f.vms = append(f.vms, membership.VM{
			ID: name, Role: membership.RoleTarget, Region: place.Region, Place: place.Name,
			Account: account, Service: service, Address: listed,
		})
	}
}

func (f *farm) startEntries() {
	f.entryRegions = make(map[string]model.RegionName)
	for i, place := range clusterEntries {
		vm := membership.VM{
			ID: fmt.Sprintf("entry-%d", i), Role: membership.RoleEntry, Region: place.Region, Place: place.Name,
			Address: netip.MustParseAddrPort(f.freeAddress()), Peer: netip.MustParseAddrPort(f.freeAddress()),
		}
		f.entryRegions[vm.ID] = vm.Region
		f.vms = append(f.vms, vm)
		f.admins = append(f.admins, f.freeAddress())
	}
	f.regions.connect(f)
	for i, admin := range f.admins {
		f.startEntry(&f.vms[len(f.targets)+i], admin)
	}
}

// startEntry starts the daemon of an entry VM and puts a fault proxy before it,
// unless the callers' addresses must show.
func (f *farm) startEntry(vm *membership.VM, admin string) {
	file := filepath.Join(f.t.TempDir(), vm.ID+".ini")
	platformAddress := f.regions.platformPath(f, vm.Region).address()
	text := fmt.Sprintf(nodeSettings, vm.ID, vm.Region, vm.Place, vm.Address, admin, vm.Peer, platformAddress, platformAddress)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
	program, args := f.regions.daemon(vm.Region, file)
	f.entries = append(f.entries, startProcess(f.t, vm.ID, program, args...))
	if f.regions != nil {
		f.regions.entries = append(f.regions.entries, vm.Address.String())
		return
	}
	path := startFaultProxy(f.t, f.freeAddress(), "to "+vm.ID, vm.Address.String())
	f.entryPaths = append(f.entryPaths, path)
	vm.Address = path.address()
}

const nodeSettings = `[node]
vm = %s
region = %s
failure_domain = %s

[listen]
callers = %s
admin = %s
peers = %s

[platform]
store = %s
vm_list = %s
vm_list_interval_ms = 200

[limits]
leave_time_ms = 15000

[admin]
open = yes
`

// putInForce writes template and account as an operator's change does.
func (f *farm) putInForce(accountText []byte) {
	f.t.Helper()
	kv, err := kvclient.New(kvclient.Options{Address: f.platformAddress, Timeout: readyPatience})
	if err != nil {
		f.t.Fatal(err)
	}
	defer kv.Close()
	log := changelog.New(kv, changelog.Options{})
	templateText := readFile(f.t, "testdata/template.ini")
	resolved, err := config.ResolveText("template.ini", templateText, "account.ini", accountText)
	if err != nil {
		f.t.Fatal(err)
	}
	f.account = resolved.Account
	changes := []changelog.Change{
		{ID: "template-1", Kind: changelog.KindTemplate, Name: "booking", Text: templateText},
		{ID: "account-1", Kind: changelog.KindAccount, Name: string(account), Text: accountText},
	}
	for _, change := range changes {
		change.Who, change.Template = "integration", "booking"
		if _, err := log.Apply(f.t.Context(), change); err != nil {
			f.t.Fatal(err)
		}
	}
}

func readFile(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// listVMs changes the platform's list; it shows after its lag.
func (f *farm) listVMs(vms ...membership.VM) {
	f.t.Helper()
	var change platform.VMChange
	for _, vm := range vms {
		change.Set = append(change.Set, wire.FromVM(vm))
	}
	f.control(platform.PathVMs, change)
}

// unlistVMs takes rows out of the platform's list.
func (f *farm) unlistVMs(ids ...string) {
	f.t.Helper()
	f.control(platform.PathVMs, platform.VMChange{Remove: ids})
}

func (f *farm) control(path string, message any) {
	f.t.Helper()
	body, err := json.Marshal(message)
	if err != nil {
		f.t.Fatal(err)
	}
	resp, err := http.Post("http://"+f.platformAddress+path, "application/json", bytes.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		f.t.Fatalf("%s: status %d", path, resp.StatusCode)
	}
}

func (f *farm) waitListening(address string) {
	f.t.Helper()
	f.waitUntil("a listener on "+address, func() bool {
		conn, err := net.Dial("tcp", address)
		if err == nil {
			conn.Close()
		}
		return err == nil
	})
}

func (f *farm) waitServing() {
	f.t.Helper()
	for _, address := range f.nodes() {
		f.waitUntil("entry VM at "+address+" to serve", func() bool { return serves(f.t.Context(), address) })
	}
}

// serves sends a request without a token, which no ledger counts.
func serves(ctx context.Context, address string) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/gangs/probe", nil)
	if err != nil {
		return false
	}
	req.Header.Set(result.HeaderAccount, string(account))
	req.Header.Set(result.HeaderService, string(service))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.Header.Get(result.HeaderOutcome) == result.Ran.String()
}

// waitUntil asks until the answer is yes; it fails the test after
// readyPatience.
func (f *farm) waitUntil(what string, done func() bool) {
	f.t.Helper()
	tick := time.NewTicker(pollEvery)
	defer tick.Stop()
	for give := time.Now().Add(readyPatience); time.Now().Before(give); {
		if done() {
			return
		}
		<-tick.C
	}
	f.t.Fatalf("gave up waiting for %s", what)
}

// readJournals returns what ran, from the files that outlive a killed target.
func (f *farm) readJournals() []check.Ran {
	f.t.Helper()
	var all []check.Ran
	for i, name := range f.journals {
		text, err := os.ReadFile(name)
		if err != nil {
			f.t.Fatal(err)
		}
		for line := range bytes.Lines(text) {
			var run target.Run
			if err := json.Unmarshal(line, &run); err != nil {
				f.t.Fatalf("%s: %v", name, err)
			}
			all = append(all, check.Ran{
				Token: run.Token, Target: f.vms[i].ID, Account: account, Service: service,
				Place: f.vms[i].Place, At: run.At, Count: run.Count,
			})
		}
	}
	return all
}
