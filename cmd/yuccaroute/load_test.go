package main

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/goccy/go-json"

	"github.com/yuccaroute/yuccaroute/cmd/internal/program"
	"github.com/yuccaroute/yuccaroute/edge/loadview"
	"github.com/yuccaroute/yuccaroute/edge/whatif"
)

const loadPage = `{"vm":"vm-1","region":"b","regions":["a","b"],"oldest_report_age_ms":120,"services":[{"service":"s",
"demand":[{"callers_region":"a","may_run_in":["a"],"demand_slots":14},{"callers_region":"b","may_run_in":["a","b"],"demand_slots":12}],
"regions":[{"region":"a","capacity_slots":10,"in_flight":9,"in_flight_of_vm":3,
"working_set":{"fraction_by_rank":[1,1,0.25,0.25],"deciding_vm":"vm-0","refused":7},"returns":{"pending":2,"promised":40,"kept":30,"lapsed":8}},
{"region":"b","capacity_slots":40,"in_flight":12,"in_flight_of_vm":5}],
"weights":[{"may_run_in":["a","b"],"weights":{"a":0.1,"b":0.9},"planned_weights":{"b":1}}]}],
"accounts":[{"account":"acme","refused_last_60_s":5,"reasons":[{"reason":"too late","refused_last_60_s":5,"since_s":75.2}]}],
"refused":[{"service":"s","region":"a","account":"acme","refused_last_60_s":5,"reasons":[{"reason":"too late","refused_last_60_s":4,"since_s":75.2},
{"reason":"no permit","refused_last_60_s":1,"since_s":3}],
"started_meanwhile":[{"rank":0,"account":"bolt","started_last_10_s":35},{"rank":4,"account":"","started_last_10_s":2}]},
{"service":"s","region":"","account":"","refused_last_60_s":1,"reasons":[{"reason":"no target","refused_last_60_s":1,"since_s":1}],"started_meanwhile":[]}]}`

// startLoadVM serves a load page as an entry VM does.
func startLoadVM(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != loadview.Path {
			http.NotFound(w, r)
			return
		}
		_, _ = w.Write([]byte(loadPage))
	}))
	t.Cleanup(s.Close)
	return s.URL
}

// words reduces a table to its words, so that borders and widths do not count.
func words(text string) string {
	return strings.Join(strings.FieldsFunc(text, func(r rune) bool { return strings.ContainsRune(" \n│─┌┐└┘├┤┬┴┼", r) }), " ")
}

// Guards against a table that leaves out a part of the load, and against JSON that differs from the VM's.
func TestLoad(t *testing.T) {
	vm := toolFor(t, startLoadVM(t))
	a := vm.must(program.ExitOK, "load")
	wantText(t, words(a.out),
		"VM vm-1 in b; oldest report of another VM: 120 ms", "s a a 14.0", "s b all 12.0",
		"s a 10.0 9 3 from rank 0: 1.00, from rank 2: 0.25 vm-0 2 40 30 8", "s b 40.0 12 5 all",
		"s all a 0.10, b 0.90 b 1.00", "acme too late 5 1m15s",
		"s a acme too late 4 1m15s rank 0 bolt: 35, rank 4 (none): 2 s a acme no permit 1 3s s (none) (none) no target 1 1s")
	for _, flags := range [][]string{{"--json"}, {"-o", "json"}} {
		if a := vm.must(program.ExitOK, append([]string{"load"}, flags...)...); a.out != loadPage+"\n" {
			t.Errorf("%v: %s", flags, a.out)
		}
	}
}

// Guards against changes that are not applied, or whose exit code hides that demand loses its room.
func TestLoadAfterChange(t *testing.T) {
	vm := toolFor(t, startLoadVM(t))
	a := vm.must(program.ExitOK, "load", "--add-targets", "s:a:30")
	wantText(t, words(a.out), "s a 10.0 40.0 14.0 14.0 140 % 35 %", "s b 40.0 40.0 12.0 12.0 30 % 30 %", "s a a 14.0 4.0 0.0")
	a = vm.must(program.ExitOK, "load", "--set-regions", "s:FROM=a:TO=a,b")
	wantText(t, words(a.out), "s a 10.0 10.0 14.0 5.2 140 % 52 %", "s b 40.0 40.0 12.0 20.8 30 % 52 %")
	a = vm.must(program.ExitFailed, "load", "--drain", "a")
	wantText(t, words(a.out), "s a 10.0 0.0 14.0 14.0 140 % -", "s a a 14.0 4.0 14.0")
	wantText(t, a.err.Error(), "14.0 slots of demand without room, 10.0 more than now")
	a = vm.must(program.ExitOK, "load", "--json", "--add-targets", "s:a:1.5", "--add-targets", "s:a:2.5")
	var r whatif.Result
	if err := json.Unmarshal([]byte(a.out), &r); err != nil || r.Regions[0].After.CapacitySlots != 14 || r.AfterSlots != 0 {
		t.Errorf("%v %+v", err, r)
	}
}

// Guards against wrong input that is ignored, or an error that does not tell which flag is wrong.
func TestLoadWrongInput(t *testing.T) {
	address := startLoadVM(t)
	for _, c := range []struct {
		code int
		node string
		args []string
		want string
	}{
		{program.ExitUsage, address, []string{"--drain", "x"}, `--drain "x": unknown region "x"; there are: a, b`},
		{program.ExitUsage, address, []string{"--drain", ""}, `--drain "": no region given`},
		{program.ExitUsage, address, []string{"--set-regions", "s:a:b"}, `--set-regions "s:a:b": want SERVICE:FROM=REGION,...:TO=REGION,...`},
		{program.ExitUsage, address, []string{"--set-regions", "s:FROM=b:TO=a"}, `--set-regions "s:FROM=b:TO=a": no demand for s may run in exactly b`},
		{program.ExitUsage, address, []string{"--add-targets", "s:a"}, `--add-targets "s:a": want SERVICE:REGION:SLOTS`},
		{program.ExitUsage, address, []string{"--add-targets", "s:a:ten"}, `--add-targets "s:a:ten": SLOTS is "ten", which is no number`},
		{program.ExitUsage, address, []string{"--add-targets", "s:a:-3"}, `--add-targets "s:a:-3": -3 slots; it must be a number above 0`},
		{program.ExitUsage, address, []string{"--add-targets", "s:a:NaN"}, `--add-targets "s:a:NaN": NaN slots; it must be a number above 0`},
		{program.ExitUsage, address, []string{"--json", "--add-targets", "s:a:1e308", "--add-targets", "s:a:1e308"}, `--add-targets "s:a:1e308": 1e+308 slots; it must be at most 1e+06`},
		{program.ExitUsage, address, []string{"--add-targets", "t:a:3"}, `--add-targets "t:a:3": unknown service "t"; there are: s`},
		{program.ExitUsage, address, []string{"-o", "xml"}, `--output is "xml"`},
		{program.ExitUsage, "https://10.0.0.1:1", nil, `--node "https://10.0.0.1:1"; want http://ADDRESS:PORT`},
		{program.ExitUsage, "10.0.0.1", nil, `want http://ADDRESS:PORT`},
		{program.ExitUnavailable, "http://127.0.0.1:1", nil, `127.0.0.1:1`},
		{program.ExitUnavailable, address + "/wrong", nil, "status 404; is it the metrics address of an entry VM?"},
	} {
		a := toolFor(t, c.node).must(c.code, append([]string{"load"}, c.args...)...)
		wantText(t, a.err.Error(), c.want)
	}
	t.Setenv(environmentNode, "")
	wantText(t, (&tool{t: t}).must(program.ExitUsage, "load").err.Error(), "use --node http://ADDRESS:PORT")
}

// Guards against a VM that knows no service yet, whose answer would be that all demand has room.
func TestLoadOfEmptyFleet(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"vm":"vm-1","region":"a","regions":["a","b"],"oldest_report_age_ms":0,"services":[],"accounts":[],"refused":[]}`))
	}))
	t.Cleanup(s.Close)
	vm := toolFor(t, s.URL)
	vm.must(program.ExitOK, "load")
	for _, change := range [][]string{{"--drain", "a"}, {"--add-targets", "s:a:8"}, {"--set-regions", "s:FROM=a:TO=b"}} {
		a := vm.must(program.ExitUnavailable, append([]string{"load"}, change...)...)
		wantText(t, a.err.Error(), "VM vm-1 knows no service")
	}
}
