package processes

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/goccy/go-json"

	"github.com/yuccaroute/yuccaroute/api/result"
	"github.com/yuccaroute/yuccaroute/config/changelog"
	"github.com/yuccaroute/yuccaroute/config/examples"
	"github.com/yuccaroute/yuccaroute/lookup"
	"github.com/yuccaroute/yuccaroute/lookup/blocks/blocktest"
	"github.com/yuccaroute/yuccaroute/membership/wire"
	"github.com/yuccaroute/yuccaroute/platform/kvclient"
	"github.com/yuccaroute/yuccaroute/standin/platform"
)

const (
	settle     = 30 * time.Second
	measured   = 30 * time.Second
	readyWait  = time.Minute
	regions    = 6
	places     = 17
	ticks      = 100 // of processor time a second, fixed for user programs
	callerPort = 7001
	adminPort  = 7002
	peerPort   = 7003
)

// BenchmarkProcesses varies the nodes, with the two example accounts.
func BenchmarkProcesses(b *testing.B) {
	programs := build(b)
	for _, nodes := range []int{10, 25, 50, 75, 100} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			measureOnce(b, programs, nodes, 2, 0)
		})
	}
}

// BenchmarkProcessesBlocks varies the accounts, with 12,222 caller blocks each.
func BenchmarkProcessesBlocks(b *testing.B) {
	programs := build(b)
	for _, accounts := range []int{1, 3, 9, 27} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			measureOnce(b, programs, places, accounts, 12_222)
		})
	}
}

// programs are the directories of the built programs.
type programs struct{ daemon, tool string }

func build(b *testing.B) programs {
	directory := b.TempDir()
	command := exec.Command("go", "build", "-o", directory,
		"github.com/yuccaroute/yuccaroute/cmd/yuccarouted", "github.com/yuccaroute/yuccaroute/cmd/yuccaroute")
	if output, err := command.CombinedOutput(); err != nil {
		b.Fatalf("build the programs: %v\n%s", err, output)
	}
	return programs{filepath.Join(directory, "yuccarouted"), filepath.Join(directory, "yuccaroute")}
}

// fleet is the running processes and their platform.
//
// The platform is a process too. A server of nbio must not be in a process that
// starts others: they inherit its connections, whose events at the poller then
// outlive them and close later connections of the same number.
type fleet struct {
	b        *testing.B
	layout   layout
	platform *exec.Cmd
	commands []*exec.Cmd
}

// layout is over how many regions and failure domains the nodes are spread.
type layout struct{ regions, places int }

// targetLayout is that of the size to carry, todayLayout that of one tenant.
var (
	targetLayout = layout{regions: regions, places: places}
	todayLayout  = layout{regions: 3, places: 6}
)

// platformAddress is where the stand-in of the platform listens.
const platformAddress = "127.7.255.1:7400"

func measureOnce(b *testing.B, programs programs, nodes, accounts, blocks int) {
	f := newFleet(b, programs.tool, targetLayout, accounts, blocks)
	for i := range nodes {
		f.start(programs.daemon, i)
	}
	for i := range nodes {
		f.waitReady(i)
	}
	time.Sleep(settle)
	before := f.read()
	time.Sleep(measured)
	after := f.read()
	n, seconds := float64(nodes), measured.Seconds()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(100*(after.processor-before.processor)/seconds/n, "%core/node")
	b.ReportMetric(after.residentKB/1024/n, "resident-MB/node")
	b.ReportMetric(after.residentMostKB/1024, "resident-MB/most")
	b.ReportMetric((after.loopback-before.loopback)/seconds/n, "B/s/node")
	b.ReportMetric(float64(after.calls-before.calls)/seconds, "store-calls/s")
	b.ReportMetric(float64(after.waiting), "waiting-watches")
}

func newFleet(b *testing.B, tool string, layout layout, accounts, blocks int) *fleet {
	f := &fleet{b: b, layout: layout, platform: exec.Command(tool, "standin", "platform", "--address", platformAddress)}
	if err := f.platform.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(f.stop)
	f.waitPlatform()
	kv, err := kvclient.New(kvclient.Options{Address: platformAddress})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(kv.Close)
	changes := changelog.New(kv, changelog.Options{})
	apply := func(kind changelog.Kind, template, name string, text []byte) {
		_, err := changes.Apply(context.Background(), changelog.Change{
			ID: "bench-" + string(kind) + "-" + name, Who: "bench", Kind: kind,
			Template: template, Name: name, Text: text, IfSequence: changelog.AnySequence,
		})
		if err != nil {
			b.Fatal(err)
		}
	}
	pairs := examples.Pairs()
	for _, pair := range pairs {
		apply(changelog.KindTemplate, pair.Template, pair.Template, examples.Text(pair.Template))
	}
	for i := range accounts {
		pair := pairs[i%len(pairs)]
		apply(changelog.KindAccount, pair.Template, accountName(i), accountText(pair, i, blocks))
	}
	return f
}

func accountName(i int) string {
	pairs := examples.Pairs()
	if i < len(pairs) {
		return pairs[i].Account
	}
	return fmt.Sprintf("%s-%d", pairs[i%len(pairs)].Account, i/len(pairs))
}

// accountText adds blocks to the last section, that of a region's callers.
func accountText(pair examples.Pair, i, blocks int) []byte {
	text := strings.Replace(string(examples.Text(pair.Account)), "name = "+pair.Account, "name = "+accountName(i), 1)
	out := []byte(strings.TrimRight(text, "\n"))
	for _, block := range blocktest.New(blocks, 1, uint64(i)).Blocks {
		out = fmt.Appendf(out, ", %s", block.Prefix)
	}
	return append(out, '\n')
}

func address(node, port int) string {
	return fmt.Sprintf("127.7.%d.%d:%d", node/250, node%250+1, port)
}

func (f *fleet) start(daemon string, i int) {
	place := i % f.layout.places
	region, domain := fmt.Sprintf("region-%d", place%f.layout.regions), fmt.Sprintf("place-%d", place)
	id := fmt.Sprintf("entry-%d", i)
	text := fmt.Sprintf("[node]\nvm = %s\nregion = %s\nfailure_domain = %s\n"+
		"[listen]\ncallers = %s\nadmin = %s\npeers = %s\n[platform]\nstore = %s\nvm_list = %s\n[admin]\nopen = yes\n[log]\nlevel = error\n",
		id, region, domain, address(i, callerPort), address(i, adminPort), address(i, peerPort), platformAddress, platformAddress)
	file := filepath.Join(f.b.TempDir(), id+".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		f.b.Fatal(err)
	}
	command := exec.Command(daemon, "--settings", file)
	command.Stderr = os.Stderr
	if err := command.Start(); err != nil {
		f.b.Fatal(err)
	}
	f.commands = append(f.commands, command)
	f.list(platform.VMChange{Set: []wire.VM{{
		ID: id, Role: "entry", State: "live", Region: region, Place: domain,
		Address: address(i, callerPort), Peer: address(i, peerPort),
	}}})
}

// waitReady waits until a node answers look-ups for the last account; whether
// the caller's address is in a block does not matter.
func (f *fleet) waitReady(i int) {
	deadline := time.Now().Add(readyWait)
	for time.Now().Before(deadline) {
		response, err := http.Get("http://" + address(i, callerPort) + lookup.Path + "?account=" + accountName(0))
		if err == nil {
			response.Body.Close()
			code := response.Header.Get(result.HeaderResult)
			if code == strconv.Itoa(int(result.OK)) || code == strconv.Itoa(int(result.UnknownCallerRegion)) {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.b.Fatalf("node %d does not serve", i)
}

func (f *fleet) stop() {
	for _, command := range f.commands {
		_ = command.Process.Kill()
		_ = command.Wait()
	}
	_ = f.platform.Process.Kill()
	_ = f.platform.Wait()
}

func (f *fleet) waitPlatform() {
	deadline := time.Now().Add(readyWait)
	for time.Now().Before(deadline) {
		if response, err := http.Get("http://" + platformAddress + platform.PathCounters); err == nil {
			response.Body.Close()
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.b.Fatal("the platform does not answer")
}

// list changes the platform's VM list.
func (f *fleet) list(change platform.VMChange) {
	body, err := json.Marshal(change)
	if err != nil {
		f.b.Fatal(err)
	}
	response, err := http.Post("http://"+platformAddress+platform.PathVMs, "application/json", bytes.NewReader(body))
	if err != nil {
		f.b.Fatal(err)
	}
	response.Body.Close()
}

func (f *fleet) counters() platform.Counters {
	response, err := http.Get("http://" + platformAddress + platform.PathCounters)
	if err != nil {
		f.b.Fatal(err)
	}
	defer response.Body.Close()
	var counters platform.Counters
	if err := json.NewDecoder(response.Body).Decode(&counters); err != nil {
		f.b.Fatal(err)
	}
	return counters
}

// reading is the sum over all node processes.
type reading struct {
	processor                  float64
	residentKB, residentMostKB float64
	loopback                   float64
	calls                      uint64
	waiting                    int64
}

func (f *fleet) read() reading {
	counters := f.counters()
	r := reading{calls: counters.Total, waiting: counters.WatchesWaiting, loopback: loopbackBytes(f.b)}
	for _, command := range f.commands {
		kb := residentKB(f.b, command.Process.Pid)
		r.residentKB += kb
		r.residentMostKB = max(r.residentMostKB, kb)
		r.processor += processorSeconds(f.b, command.Process.Pid)
	}
	return r
}

func processorSeconds(b *testing.B, pid int) float64 {
	text := readFile(b, fmt.Sprintf("/proc/%d/stat", pid))
	_, rest, _ := strings.Cut(text, ") ")
	fields := strings.Fields(rest)
	// Fields 14 and 15 of the line, counted from 1, are user and system time;
	// rest begins with field 3.
	return (parse(b, fields[11]) + parse(b, fields[12])) / ticks
}

func residentKB(b *testing.B, pid int) float64 {
	for line := range strings.Lines(readFile(b, fmt.Sprintf("/proc/%d/status", pid))) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			return parse(b, strings.Fields(value)[0])
		}
	}
	b.Fatalf("no resident size of process %d", pid)
	return 0
}

func loopbackBytes(b *testing.B) float64 {
	for line := range strings.Lines(readFile(b, "/proc/net/dev")) {
		if counters, ok := strings.CutPrefix(strings.TrimSpace(line), "lo:"); ok {
			return parse(b, strings.Fields(counters)[0])
		}
	}
	b.Fatal("no loopback interface")
	return 0
}

func readFile(b *testing.B, name string) string {
	text, err := os.ReadFile(name)
	if err != nil {
		b.Fatal(err)
	}
	return string(text)
}

func parse(b *testing.B, text string) float64 {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil {
		b.Fatal(err)
	}
	return value
}
