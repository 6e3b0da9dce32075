// Command pipeline shows what becomes of answers that a machine writes after SIGTERM while their clients send
// further requests on the same connections.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"yuccareview/lib"
)

// Figures of kovacevic-spend.
const (
	grace        = 6 * time.Second
	clientDelay  = 8 * time.Millisecond
	exportLength = 540000
	exportWork   = 288 * time.Millisecond
	exportLimit  = 1500 * time.Millisecond
	viewLength   = 400
	viewWork     = 180 * time.Millisecond
	viewLimit    = 2000 * time.Millisecond
	directoryTTL = 2 * time.Second
	pairsPerS    = 44.0
	clients      = 90
	stopsInAll   = 18
	stopEvery    = 5 * time.Second
	host         = "ficu95.example"
)

var zones = [][2]string{
	{"zagreb-a", "zagreb"}, {"split-a", "split"}, {"osijek-a", "osijek"}, {"zagreb-b", "zagreb"}, {"split-b", "split"}, {"osijek-b", "osijek"},
}

func config() map[string]any {
	columns := []string{"name", "host", "prefix", "kind", "timeout_s", "target_latency_s", "priority", "service", "max_attempts", "sticky", "allowed_regions", "traffic_split"}
	return map[string]any{
		"version": 7,
		"routes": map[string]any{"columns": columns, "rows": [][]any{
			{"r-view", host, "/lohu930/", "safe", 0.8, 0.3, 2, "ledger-svc", 2, true, []string{}, nil},
			{"r-export", host, "/pule252/", "download", nil, 0.25, 2, "report-svc", 2, true, []string{}, nil},
		}},
		"services": map[string]any{
			"columns": []string{"name", "health_path", "max_connections", "protocol", "tls", "cold_start_s", "cold_per_s"},
			"rows":    [][]any{{"ledger-svc", "/health", 330, "h1", false, 3.0, 9.2}, {"report-svc", "/health", 330, "h1", false, 3.0, 9.2}},
		},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
	}
}

// download is a request for a large answer, as its client saw it.
type download struct {
	id, entry    string
	sent         time.Time
	ended        time.Time
	answer       *lib.Answer
	behindSentAt time.Time
	closeSeenAt  time.Time
}

// world has what the clients use and what they saw.
type world struct {
	record  *lib.Record
	vms     []*lib.VM
	servers []*lib.Server
	until   time.Time

	mu        sync.Mutex
	downloads []*download
	views     int
	viewsOK   int
}

func main() {
	program := flag.String("program", "target/yuccaentry", "the built program")
	template := flag.String("template", "deploy/settings.ini", "the template of its settings")
	out := flag.String("record", "record.txt", "the record to write")
	flag.Parse()
	os.Exit(run(*program, *template, *out, os.Getenv("TROUBLE") != "0"))
}

// run returns 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
func run(program, template, out string, trouble bool) int {
	record, err := lib.NewRecord(out)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		record.Write("no temporary folder: %v", err)
		return 2
	}
	defer os.RemoveAll(dir)
	w := &world{record: record}
	if err := w.start(program, template, dir); err != nil {
		record.Write("cannot start: %v", err)
		w.stop()
		return 2
	}
	defer w.stop()
	stops := w.play(trouble)
	return w.judge(stops)
}

func (w *world) start(program, template, dir string) error {
	store, err := lib.NewStore("127.0.0.1")
	if err != nil {
		return err
	}
	store.Put("op/config", config())
	site := &lib.Site{Zones: zones, Store: store.Address, Program: program, Template: template, Dir: dir, Values: map[string]string{
		"limits.memory_mb": "284", "limits.max_fds": "4100", "limits.cpu_share": "0.32", "limits.link_mbps": "1000.0", "platform.min_ttl_s": "1",
		"bounds.drain_s": "2.5", "bounds.grace_s": "6", "bounds.contact_s": "4", "bounds.evacuation_s": "5", "bounds.config_apply_s": "2.5",
		"bounds.ttl_max_s": "5", "bounds.retry_budget_ratio": "0.2", "bounds.budget_window_s": "10", "bounds.budget_extra": "58",
		"bounds.cold_overshoot": "1.5", "bounds.cold_slack": "5", "bounds.max_shift": "0.15",
	}}
	counts := map[string][]int{"ledger-svc": {4, 1, 3, 4, 1, 3}, "report-svc": {3, 1, 2, 3, 1, 2}}
	slots := map[string]int{"ledger-svc": 6, "report-svc": 5}
	for service, perZone := range counts {
		for z, n := range perZone {
			for i := range n {
				id := fmt.Sprintf("i-%s-%s-%d", service, zones[z][0], i)
				s, err := lib.NewServer("127.0.0.1", id, service, zones[z][0], slots[service], store, w.record, jobOf)
				if err != nil {
					return err
				}
				w.servers = append(w.servers, s)
			}
		}
	}
	for n, zone := range zones {
		v, err := site.NewVM(n, zone)
		if err != nil {
			return err
		}
		w.vms = append(w.vms, v)
		if err := v.Start(); err != nil {
			return err
		}
	}
	for _, v := range w.vms {
		if !v.AwaitReady(10 * time.Second) {
			return fmt.Errorf("%s is not ready", v.Name)
		}
	}
	return nil
}

func (w *world) stop() {
	for _, v := range w.vms {
		v.Kill()
	}
}

// jobOf returns the work of a request: that of the sheet, within its spread.
func jobOf(r *http.Request) lib.Job {
	spread := 0.85 + 0.3*rand.Float64()
	if r.URL.Path[:len("/pule252/")] == "/pule252/" {
		return lib.Job{Work: time.Duration(spread * float64(exportWork)), Answer: exportLength}
	}
	return lib.Job{Work: time.Duration(spread * float64(viewWork)), Answer: viewLength}
}

// planned is a planned stop of a machine.
type planned struct {
	vm    *lib.VM
	began time.Time
}

// play lets the clients work, and stops and starts the machines in turn.
func (w *world) play(trouble bool) (stops []planned) {
	time.Sleep(4 * time.Second)
	length := stopsInAll*stopEvery + 4*time.Second
	w.until = time.Now().Add(length)
	var clientsDone sync.WaitGroup
	for n := range clients {
		clientsDone.Go(func() { w.client(n) })
	}
	time.Sleep(2 * time.Second)
	for i := range stopsInAll {
		next := time.Now().Add(stopEvery)
		if trouble {
			v := w.vms[i%len(w.vms)]
			w.record.Write("SIGTERM to %s", v.Name)
			stops = append(stops, planned{v, time.Now()})
			v.Stop(grace)
			w.record.Write("%s has ended, it starts again", v.Name)
			if err := v.Start(); err != nil {
				w.record.Write("cannot start %s again: %v", v.Name, err)
			}
		}
		time.Sleep(time.Until(next))
	}
	clientsDone.Wait()
	return stops
}

// client sends pairs of requests: one for a large answer and, before that is there, a safe one behind it.
func (w *world) client(n int) {
	zone := zones[n%len(zones)]
	keep := directoryTTL
	if n%4 == 0 {
		keep *= 3
	}
	var conn net.Conn
	var entry string
	var named []string
	var askedAt time.Time
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	link := lib.Link{Delay: clientDelay, BytesPerSecond: 20e6 / 8, Window: 32 << 10, SegmentBytes: 1400}
	for i := 0; time.Now().Before(w.until); i++ {
		time.Sleep(time.Duration(rand.ExpFloat64() * clients / pairsPerS * float64(time.Second)))
		if !time.Now().Before(w.until) {
			return
		}
		if time.Since(askedAt) > keep {
			if list := w.resolve(zone); len(list) > 0 {
				named, askedAt = list, time.Now()
			}
			if conn != nil && !contains(named, entry) {
				conn.Close()
				conn = nil
			}
		}
		if conn == nil && len(named) > 0 {
			entry = named[rand.IntN(len(named))]
			c, err := link.Dial(entry)
			if err != nil {
				named = without(named, entry)
				continue
			}
			conn = c
		}
		if conn != nil && !w.pair(conn, entry, fmt.Sprintf("%02d-%04d", n, i)) {
			conn.Close()
			conn = nil
		}
	}
}

func contains(list []string, one string) bool {
	for _, s := range list {
		if s == one {
			return true
		}
	}
	return false
}

func without(list []string, one string) (rest []string) {
	for _, s := range list {
		if s != one {
			rest = append(rest, s)
		}
	}
	return rest
}

// resolve asks up to three machines, those of the own zone first.
func (w *world) resolve(zone [2]string) []string {
	client := http.Client{Timeout: time.Second}
	asked := 0
	for _, near := range []bool{true, false} {
		for _, v := range w.vms {
			if (v.Zone == zone[0]) != near || asked == 3 {
				continue
			}
			asked++
			r, err := client.Get("http://" + v.Directory + "/-/resolve?name=" + host + "&region=" + zone[1] + "&zone=" + zone[0])
			if err != nil {
				continue
			}
			text, _ := io.ReadAll(r.Body)
			r.Body.Close()
			var answer struct {
				Addresses []string `json:"addresses"`
			}
			if r.StatusCode == http.StatusOK && json.Unmarshal(text, &answer) == nil && len(answer.Addresses) > 0 {
				return answer.Addresses
			}
		}
	}
	return nil
}

// pair sends a request for a large answer and a safe request behind it, unless the first answer has closed the
// connection by then. It reports whether the connection stays open.
func (w *world) pair(conn net.Conn, entry, id string) bool {
	d := &download{id: "d" + id, entry: entry, sent: time.Now()}
	_ = conn.SetDeadline(d.sent.Add(exportLimit + time.Second))
	w.record.Write("client sends %s (download) to %s", d.id, entry)
	if _, err := fmt.Fprintf(conn, "GET /pule252/%s HTTP/1.1\r\nHost: %s\r\nYuccaroute-Request-Id: %s\r\nYuccaroute-Affinity-Key: %d\r\nYuccaroute-Request-Deadline: %d\r\n\r\n",
		d.id, host, d.id, rand.IntN(24), exportLimit.Milliseconds()); err != nil {
		return false
	}
	var mu sync.Mutex
	closing, behind := false, false
	sender := make(chan struct{})
	go func() {
		defer close(sender)
		time.Sleep(250*time.Millisecond + rand.N(100*time.Millisecond))
		mu.Lock()
		defer mu.Unlock()
		if closing {
			return
		}
		d.behindSentAt, behind = time.Now(), true
		w.record.Write("client sends v%s (safe) behind d%s, which has not closed the connection", id, id)
		_, _ = fmt.Fprintf(conn, "GET /lohu930/%s HTTP/1.1\r\nHost: %s\r\nYuccaroute-Request-Id: %s\r\nYuccaroute-Affinity-Key: %d\r\nYuccaroute-Request-Deadline: %d\r\n\r\n",
			"v"+id, host, "v"+id, rand.IntN(54), viewLimit.Milliseconds())
	}()
	in := bufio.NewReader(conn)
	d.answer = lib.ReadAnswer(in, func(a *lib.Answer) {
		mu.Lock()
		defer mu.Unlock()
		if closing = a.Close; closing {
			d.closeSeenAt = time.Now()
		}
	})
	d.ended = time.Now()
	w.record.Write("client got for %s from %s after %d ms: %d, stamp %q, closes %v, body %d of %d bytes, %v", d.id, entry,
		d.ended.Sub(d.sent).Milliseconds(), d.answer.Status, d.answer.Stamp, d.answer.Close, len(d.answer.Got), d.answer.Length, d.answer.Err)
	w.mu.Lock()
	w.downloads = append(w.downloads, d)
	w.mu.Unlock()
	if d.answer.Close || !d.answer.Complete() {
		mu.Lock()
		closing = true
		mu.Unlock()
		return false
	}
	<-sender
	if !behind {
		return true
	}
	a := lib.ReadAnswer(in, func(*lib.Answer) {})
	w.record.Write("client got for v%s: %d, closes %v, body %d of %d bytes, %v", id, a.Status, a.Close, len(a.Got), a.Length, a.Err)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.views++
	if a.Complete() && a.Status == 200 {
		w.viewsOK++
	}
	return a.Complete() && !a.Close
}

// judge applies LOST: around the SIGTERM of the machine that took the request, the connection of a request that
// had been passed on to a server ended without a complete answer.
func (w *world) judge(stops []planned) int {
	complete, failed, lost := 0, 0, 0
	for _, d := range w.downloads {
		if d.answer.Complete() {
			complete++
			continue
		}
		failed++
		stop, around := w.stopOf(d, stops)
		run, ran := w.runOf(d.id)
		inTime := d.ended.Before(d.sent.Add(exportLimit - 100*time.Millisecond))
		w.record.Write("NOT COMPLETE: %s at %s, %d of %d bytes after %d ms (deadline %d ms); run by a server: %v, answered by it: %v; SIGTERM before: %v; request behind it sent %v before 'Connection: close' came",
			d.id, d.entry, len(d.answer.Got), d.answer.Length, d.ended.Sub(d.sent).Milliseconds(), exportLimit.Milliseconds(), ran, run.Answered, around, d.closeSeenAt.Sub(d.behindSentAt).Round(time.Microsecond))
		if around && ran && run.Answered && inTime && d.ended.Before(stop.began.Add(grace+time.Second)) {
			lost++
		}
	}
	summary := fmt.Sprintf("%d downloads: %d complete, %d not; %d lost around a SIGTERM; %d safe requests behind them, %d answered 200; %d SIGTERMs",
		len(w.downloads), complete, failed, lost, w.views, w.viewsOK, len(stops))
	w.record.Write("%s", summary)
	fmt.Println(filepath.Base(os.Args[0])+":", summary)
	switch {
	case len(w.downloads) == 0 || complete < len(w.downloads)/2:
		return 2
	case lost > 0:
		return 1
	}
	return 0
}

func (w *world) stopOf(d *download, stops []planned) (planned, bool) {
	for _, s := range stops {
		if s.vm.Entry == d.entry && d.ended.After(s.began) && d.sent.Before(s.began.Add(grace+time.Second)) {
			return s, true
		}
	}
	return planned{}, false
}

func (w *world) runOf(id string) (lib.Run, bool) {
	for _, s := range w.servers {
		for _, r := range s.RunsOf(id) {
			return r, true
		}
	}
	return lib.Run{}, false
}
