package account

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

// log builds a log as VMs write it.
type log struct {
	bytes.Buffer
	at int
}

// request writes a request's line, gap ms after the previous one.
func (l *log) request(gap int, fields string) {
	l.at += gap
	fmt.Fprintf(l, `{"msg":"gateway: request ended","time":"10:00:%02d.%03d","route":"r","service":"s","objective_ms":300,%s}`+"\n",
		l.at/1000, l.at%1000, fields)
}

func (l *log) answered(gap int, key, target string, ms int, more string) {
	l.request(gap, fmt.Sprintf(`"result":"ok","status":200,"sent":1,"affinity_key":%q,"targets":[%q],"took_ms":[%d],"ms":%d%s`,
		key, target, ms, ms, more))
}

func read(t *testing.T, o Options, text string) *Report {
	t.Helper()
	a, err := Read(o, Source{"vm-1", strings.NewReader(text)})
	if err != nil {
		t.Fatal(err)
	}
	return a
}

// Each request must be counted exactly once, under its cause.
func TestEachRequestHasOneCause(t *testing.T) {
	var l log
	fmt.Fprintln(&l, `{"msg":"entry: started","time":"10:00:00.000","vm":"vm-1","region":"north"}`)
	for i := range 30 {
		l.answered(20, fmt.Sprint("o", i%3), "t1", 100, "")
	}
	l.answered(500, "new", "t1", 400, "")
	l.answered(10, "new", "t1", 390, "")
	l.answered(500, "new", "t2", 400, "")
	l.answered(1000, "o1", "t1", 400, "")
	l.answered(500, "o2", "t1", 100, `,"ms":320,"waited_ms":200`)
	l.answered(500, "o2", "t1", 100, `,"ms":310`)
	l.answered(500, "o2", "t1", 100, `,"ms":500,"sent":2`)
	l.request(1, `"result":"queue-full","why":"too late","slots":20,"in_flight":21,"sent":0`)
	l.request(1, `"result":"queue-full","why":"too late","slots":20,"in_flight":4,"sent":0`)
	l.request(1, `"result":"queue-full","why":"no permit","slots":1,"in_flight":0,"sent":0`)
	l.request(1, `"result":"queue-full","why":"targets at rest","slots":0,"in_flight":0,"sent":0`)
	l.request(1, `"result":"queue-full","why":"not in the working set","slots":20,"in_flight":4,"sent":0`)
	l.request(1, `"result":"no-target","why":"no target","sent":0`)
	l.request(1, `"result":"no-target","why":"all targets leave","sent":0`)
	l.request(1, `"result":"node-leaving","sent":0`)
	l.request(1, `"result":"quarantined","sent":0,"targets_ended":3`)
	for _, code := range []string{"over-quota", "quota-unknown", "unknown-key", "key-removed", "config-stale"} {
		l.request(1, `"account":"acme","sent":0,"result":"`+code+`"`)
	}
	l.request(1, `"result":"connection-lost","sent":1,"targets":["t1"],"took_ms":[5]`)
	l.request(1, `"result":"deadline-after-send","sent":1,"targets":["t1"],"took_ms":[500]`)
	l.request(1, `"result":"ok","status":500,"sent":1,"targets":["t1"],"took_ms":[5]`)
	l.request(1, `"result":"target-shed","sent":1,"targets":["t1"],"took_ms":[5]`)
	l.request(1, `"result":"queue-full","sent":1,"targets":["t1"],"took_ms":[5]`)
	l.request(1, `"result":"deadline-after-send","sent":0`)
	l.request(1, `"result":"connect-failed","sent":1,"targets":["t1"],"took_ms":[5]`)
	l.request(1, `"result":"caller-gone","sent":0`)
	a := read(t, Options{}, l.String())
	want := map[Cause]int{
		FirstRun: 1, DuringFirstRun: 1, WarmElsewhere: 1, Evicted: 1, QueueWait: 1, LateUnexplained: 1, Retried: 1,
		TargetRefused: 2, Unreachable: 1, OwnerLost: 1, SlotsTaken: 1, SlotsFree: 1, TargetsLimited: 1, TargetsAtRest: 1, NotInWorkingSet: 1, NoTarget: 1, TargetsLeaving: 1, NotServing: 1, Quarantined: 1, OverQuota: 1, QuotaUnknown: 1, UnknownKey: 1, RemovedKey: 1, StaleConfig: 1, ResponseLost: 1, ResponseTimeout: 1, TargetFailed: 1,
	}
	for cause, n := range want {
		if a.All.Causes[cause] != n {
			t.Errorf("%s: %d, want %d", cause, a.All.Causes[cause], n)
		}
	}
	if len(a.All.Causes) != len(want) {
		t.Errorf("causes %v", a.All.Causes)
	}
	if a.All.InObjective != 30 || a.All.CallerLeft != 1 || a.All.Total() != a.Requests || a.Requests != 59 {
		t.Errorf("%d in objective, %d left, %d of %d", a.All.InObjective, a.All.CallerLeft, a.All.Total(), a.Requests)
	}
	if len(a.ByAccount) != 1 || a.ByAccount[0].Key != "acme" || a.ByAccount[0].Refused != 5 {
		t.Errorf("by account %v", a.ByAccount)
	}
	sum := 0
	for _, p := range a.BySecond {
		sum += p.Total()
	}
	if sum != a.Requests || len(a.ByRegion) != 1 || a.ByRegion[0].Key != "north" || a.ByRoute[0].Total() != a.Requests {
		t.Errorf("by second %d, by region %v", sum, a.ByRegion)
	}
}

// A slow target must not be reported as one that evicts its keys.
func TestSlowTargetIsNotReportedAsEviction(t *testing.T) {
	var l log
	for i := range 40 {
		l.answered(20, fmt.Sprint("o", i%4), "t1", 100, "")
	}
	for i := range 20 {
		l.answered(500, fmt.Sprint("o", i%4), "t1", 500, "")
	}
	c := read(t, Options{}, l.String()).All.Causes
	if c[TargetSlow] < 15 || c[TargetSlow]+c[Evicted] != 20 {
		t.Errorf("causes %v", c)
	}
}

// Guards against a baseline of cold runs when most runs are cold: they would go unexplained.
func TestBaselineIgnoresColdRuns(t *testing.T) {
	var l log
	for i := range 200 {
		ms := 1000
		if i%10 == 0 {
			ms = 100
		}
		l.answered(50, fmt.Sprint("o", i%20), "t1", ms, "")
	}
	if c := read(t, Options{}, l.String()).All.Causes; c[LateUnexplained] > 20 {
		t.Errorf("causes %v", c)
	}
}

// Truncated, overlong and foreign lines must be counted and must not stop the analysis.
func TestBadLinesAreCounted(t *testing.T) {
	var one, two log
	one.WriteString("not of this program\n")
	one.answered(10, "o", "t1", 100, "")
	one.WriteString(`{"msg":"gateway: request en` + "\n")
	one.WriteString(`{"msg":"gateway: request ended","time":"noon"}` + "\n")
	one.WriteString(`{"pad":"` + strings.Repeat("x", 3*maxLine) + `"}` + "\n")
	one.answered(10, "o", "t1", 100, "")
	two.WriteString(`   0.3120 vm-2 {"msg":"entry: started","time":"10:00:00.000","vm":"vm-2","region":"south"}` + "\n")
	two.WriteString("   0.5000 vm-2 ")
	two.answered(15, "o", "t1", 100, "")
	two.WriteString(`{"msg":"gateway`)
	a, err := Read(Options{}, Source{"vm-1", &one}, Source{"all", &two})
	if err != nil || a.Requests != 3 || a.BadLines != 4 {
		t.Fatalf("%+v, %v", a, err)
	}
	if len(a.ByRegion) != 2 || a.ByRegion[1].Key != "south" || a.ByRegion[1].Total() != 1 {
		t.Errorf("by region %+v", a.ByRegion)
	}
}

func TestNetworkTimeCountsAgainstObjective(t *testing.T) {
	var l log
	l.answered(10, "o", "t1", 290, "")
	if a := read(t, Options{}, l.String()); a.All.InObjective != 1 {
		t.Errorf("%+v", a.All)
	}
	if a := read(t, Options{Network: 20 * time.Millisecond}, l.String()); a.All.Late != 1 {
		t.Errorf("with the network %+v", a.All)
	}
}

func TestMemoryIsBounded(t *testing.T) {
	m := newHistory()
	for i := range 5 * maxTracked / 2 {
		now := time.Duration(i) * time.Microsecond
		if i > maxTracked {
			now += 2 * idleTimeout
		}
		at := m.target(fmt.Sprint("t", i), now)
		m.record(at, fmt.Sprint("o", i), now)
	}
	if len(m.targets) > maxTracked || len(m.firstRun) > maxTracked || len(m.lastRun) > maxTracked {
		t.Errorf("%d targets, %d keys", len(m.targets), len(m.firstRun))
	}
	var one target
	for i := range 2 * maxKeys {
		one.record(run{key: fmt.Sprint(i)})
	}
	if len(one.runs) != maxKeys {
		t.Errorf("%d keys of one target", len(one.runs))
	}
}

func FuzzRead(f *testing.F) {
	var l log
	l.answered(10, "o", "t1", 100, "")
	f.Add(l.String())
	f.Add(`x {"msg":"gateway: request ended","time":"10:00:00.000","route":"r","result":"ok","targets":["a"],"took_ms":[-5]}`)
	f.Add(`{"msg":"gateway: request ended","time":"10:00:00.000","route":"r","targets":["a","b"],"took_ms":[]}`)
	f.Fuzz(func(t *testing.T, text string) {
		a, err := Read(Options{}, Source{"vm", strings.NewReader(text)})
		if err != nil {
			t.Fatal(err)
		}
		if a.All.Total() != a.Requests {
			t.Fatalf("%d of %d requests", a.All.Total(), a.Requests)
		}
		if err := a.WriteTables(&bytes.Buffer{}); err != nil {
			t.Fatal(err)
		}
	})
}
